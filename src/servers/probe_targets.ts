/**
 * Selects servers of a service to which a VM opens connections as a probe.
 *
 * @module
 */
import type { Random } from "../runtime/random.ts";
import type { ListedServer } from "./types.ts";

/** How probe targets are selected. */
export interface ProbeTargetOptions {
  /** Most servers to select. */
  count: number;
  /** Servers to leave out. */
  except: readonly ListedServer[];
  /** Whether the last connection attempts to a server failed. */
  isFailing: (server: ListedServer) => boolean;
  random: Random;
}

/**
 * Selects random servers, of different failure domains where possible, and first
 * those that are not known to fail.
 *
 * @param servers Servers of the service.
 * @param options How to select.
 * @returns The selected servers.
 */
export function selectProbeTargets(
  servers: readonly ListedServer[],
  { count, except, isFailing, random }: ProbeTargetOptions,
): ListedServer[] {
  const excluded = new Set(except.map(({ id }) => id));
  const domains = new Set(except.map(({ failureDomain }) => failureDomain));
  const selected: ListedServer[] = [];
  const remaining = servers
    .filter(({ id }) => !excluded.has(id))
    .map((server) => ({
      server,
      order: random() + (isFailing(server) ? 1 : 0),
    }))
    .sort((a, b) => a.order - b.order)
    .map(({ server }) => server);
  const take = (server: ListedServer) => {
    selected.push(server);
    domains.add(server.failureDomain);
  };
  for (const server of remaining) {
    if (selected.length >= count) return selected;
    if (!domains.has(server.failureDomain)) take(server);
  }
  for (const server of remaining) {
    if (selected.length >= count) return selected;
    if (!selected.includes(server)) take(server);
  }
  return selected;
}
