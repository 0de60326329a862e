/**
 * How many connections a VM may open to a backend server.
 *
 * @module
 */

/** Part of a server's connections that all VMs together open. */
const CONNECTION_SHARE = 0.8;
const MIN_CONNECTIONS = 2;
/** Used until a configuration tells how many a server accepts. */
const DEFAULT_CONNECTIONS = 16;

/** VMs as one of them counts them, itself included. */
export interface VmCounts {
  /** VMs that serve now. */
  serving: number;
  /** VMs heard of, those that are down included. */
  known: number;
}

/**
 * VMs that are down count: their connections are as good as open when they come
 * back, since the others keep what they opened meanwhile.
 *
 * @param accepted Connections that the server accepts of all VMs together.
 * @param vms How many VMs there are.
 * @returns The part of one VM.
 */
export function computeConnectionLimit(
  accepted: number | undefined,
  { serving, known }: VmCounts,
): number {
  if (accepted === undefined) return DEFAULT_CONNECTIONS;
  const part = accepted * CONNECTION_SHARE / Math.max(serving, known);
  return Math.max(MIN_CONNECTIONS, Math.floor(part));
}
