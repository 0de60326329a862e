/**
 * The number of connections that a VM may open to a backend server.
 *
 * @module
 */

/** Share of the connections a server accepts that all VMs together may open. */
const CONNECTION_SHARE = 0.8;
const MIN_CONNECTIONS = 2;
/** Used without a configuration that sets how many a server accepts. */
const DEFAULT_CONNECTIONS = 16;

/** Numbers of VMs as one of them sees them, itself included. */
export interface VmCounts {
  /** VMs that serve now. */
  serving: number;
  /** All VMs heard of, including those that are down. */
  known: number;
}

/**
 * Divides the connections of a server among the VMs. VMs that are down count as
 * well: the others don't close connections when they come back.
 *
 * @param accepted Connections that the server accepts from all VMs together.
 * @param vms Numbers of VMs.
 * @returns Maximum number of connections that one VM may open.
 */
export function computeConnectionLimit(
  accepted: number | undefined,
  { serving, known }: VmCounts,
): number {
  if (accepted === undefined) return DEFAULT_CONNECTIONS;
  const limit = accepted * CONNECTION_SHARE / Math.max(serving, known);
  return Math.max(MIN_CONNECTIONS, Math.floor(limit));
}
