/**
 * Running requests of other VMs at backend servers, from their recent reports.
 *
 * With 195 VMs, 700 servers and requests of one to ten seconds, a VM gets an
 * answer from a given server every few seconds at most. VMs that estimated load
 * from those answers alone took servers with two requests per slot for half
 * empty.
 *
 * @module
 */
import { forEachPair } from "../placement/object_cache_model.ts";
import type { Clock } from "../runtime/clock.ts";
import { hashToUint32 } from "../runtime/hash.ts";
import type { RequestPairs } from "./types.ts";

/** Reported running requests. */
export interface RunningRequests {
  /**
   * Replaces the report of a source.
   *
   * @param source The VM, region or relay that sent it.
   * @param running All running requests that it knows.
   * @param includesOwn Whether they include requests of this VM.
   */
  apply(source: string, running: RequestPairs, includesOwn: boolean): void;
  /**
   * Records what this VM sent, to subtract it from reports that include it.
   *
   * @param running This VM's own requests.
   */
  recordSent(running: RequestPairs): void;
  /**
   * @param serverId A server's id.
   * @param serverKey Its hash, where the caller keeps it.
   * @returns The number of running requests of other VMs at it.
   */
  getTotal(serverId: string, serverKey?: number): number;
  /** @returns Running requests by server hash, summed over all valid reports. */
  sum(): Map<number, number>;
}

/** How long a report is valid; reports are sent at least twice as often. */
export const REPORT_TTL_MS = 1_500;

/** Most servers of a report; further ones are left out. */
const MAX_SERVERS = 8_192;
/** Most running requests at a server. */
const MAX_REQUESTS = 1_000_000;

interface RequestReport {
  requests: Map<number, number>;
  includesOwn: boolean;
  untilMs: number;
}

/**
 * Creates a table of running requests.
 *
 * @param clock The clock.
 * @returns A table without reports.
 */
export function createRunningRequests(clock: Clock): RunningRequests {
  const reportBySource = new Map<string, RequestReport>();
  let ownSent = new Map<number, number>();

  function listValid(): RequestReport[] {
    const nowMs = clock.monotonicMs();
    for (const [source, { untilMs }] of reportBySource) {
      if (nowMs > untilMs) reportBySource.delete(source);
    }
    return [...reportBySource.values()];
  }

  return {
    apply(source, running, includesOwn) {
      const untilMs = clock.monotonicMs() + REPORT_TTL_MS;
      const requests = toMap(running);
      reportBySource.set(source, { requests, includesOwn, untilMs });
    },
    recordSent: (running) => void (ownSent = toMap(running)),
    getTotal(serverId, key = hashToUint32(serverId)) {
      const nowMs = clock.monotonicMs();
      let total = 0;
      // Runs several times a request, so it builds no list of valid reports.
      for (const [source, report] of reportBySource) {
        const { requests, includesOwn, untilMs } = report;
        if (nowMs > untilMs) {
          reportBySource.delete(source);
          continue;
        }
        const reported = requests.get(key) ?? 0;
        const own = includesOwn ? ownSent.get(key) ?? 0 : 0;
        total += Math.max(0, reported - own);
      }
      return total;
    },
    sum() {
      const sums = new Map<number, number>();
      for (const { requests } of listValid()) addRequests(sums, requests);
      return sums;
    },
  };
}

/**
 * Adds request counts to sums, in place.
 *
 * @param sums Sums by server hash.
 * @param requests Counts by server hash.
 */
export function addRequests(
  sums: Map<number, number>,
  requests: ReadonlyMap<number, number>,
): void {
  for (const [key, count] of requests) {
    sums.set(key, (sums.get(key) ?? 0) + count);
  }
}

function toMap(pairs: RequestPairs): Map<number, number> {
  const requests = new Map<number, number>();
  forEachPair(pairs, (key, count) => {
    if (requests.size >= MAX_SERVERS) return;
    requests.set(key, Math.min(count, MAX_REQUESTS));
  });
  return requests;
}
