/**
 * Decides from the reports in force how servers are used.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import { type Avoidance, countDomains } from "./reachability_types.ts";
import type { KnownServer } from "./registry.ts";
import type { RemoteReports } from "./remote_reports.ts";
import type { ServerContacts } from "./server_contacts.ts";
import type { ListedServer } from "./types.ts";

/** Dependencies of `createAvoidanceRule`. */
export interface AvoidanceOptions {
  clock: Clock;
  log: Log;
  contacts: Pick<ServerContacts, "hasRecentFailure">;
  remote: Pick<RemoteReports, "getCurrent" | "getAllCurrent">;
  /** @returns The servers of a service that may get requests. */
  listUsable: (service: string) => readonly KnownServer[];
}

/** Largest share of a service's servers that is avoided on reports. */
const MAX_AVOIDED_SHARE = 1 / 3;
/** Minimum interval between two log lines about a service. */
const LOG_INTERVAL_MS = 5_000;

/**
 * @param options Dependencies.
 * @returns A function that returns how a server is used because of reports.
 */
export function createAvoidanceRule(
  { clock, log, contacts, remote, listUsable }: AvoidanceOptions,
): (server: ListedServer) => Avoidance {
  const loggedAtMs = new Map<string, number>();
  /** Services with too many reported servers, for one set of reports. */
  let overBound = new Map<string, boolean>();
  let overBoundOf: ReturnType<RemoteReports["getAllCurrent"]> | undefined;

  /**
   * Whether more servers of a service are reported than may be avoided. Their
   * reports then count for nothing: the others could not take the load, and a
   * fault of the network is more likely.
   */
  function isOverBound(service: string): boolean {
    const current = remote.getAllCurrent();
    if (current !== overBoundOf) {
      overBound = new Map();
      overBoundOf = current;
    }
    const known = overBound.get(service);
    if (known !== undefined) return known;
    const servers = listUsable(service);
    const avoided = servers.filter(({ listed }) => current.has(listed.id));
    const isOver = avoided.length > MAX_AVOIDED_SHARE * servers.length;
    overBound.set(service, isOver);
    if (isOver) logOverBound(service, avoided.length, servers.length);
    return isOver;
  }

  function logOverBound(
    service: string,
    reported: number,
    servers: number,
  ): void {
    const nowMs = clock.monotonicMs();
    const lastMs = loggedAtMs.get(service) ?? -Infinity;
    if (nowMs - lastMs < LOG_INTERVAL_MS) return;
    loggedAtMs.set(service, nowMs);
    log.warn(
      { service, reported, servers },
      "too many servers reported unresponsive, reports ignored",
    );
  }

  return ({ id, service }) => {
    const current = remote.getCurrent(id);
    if (current.length === 0 || isOverBound(service)) return "none";
    return countDomains(current) > 1 || contacts.hasRecentFailure(id)
      ? "excluded"
      : "last";
  };
}
