/**
 * Requests that other VMs have at backend servers, as they told a moment ago.
 *
 * Load pattern: 195 VMs send to 700 servers, runs last one to ten seconds, and
 * a VM gets an answer of a server every few seconds at most. VMs that went by
 * those answers took servers with two requests a slot for half empty.
 *
 * @module
 */
import { forEachPair } from "../placement/object_cache_model.ts";
import type { Clock } from "../runtime/clock.ts";
import { hashToUint32 } from "../runtime/hash.ts";
import type { RequestPairs } from "./types.ts";

/** What was told of running requests. */
export interface RunningRequests {
  /**
   * Takes in all requests that a source knows of; what it told before is over.
   *
   * @param source Who told.
   * @param running The requests.
   * @param includesOwn Whether this VM's requests are among them.
   */
  apply(source: string, running: RequestPairs, includesOwn: boolean): void;
  /** Notes what this VM told of itself, to be left out of what includes it. */
  noteTold(running: RequestPairs): void;
  /** @returns Requests of other VMs at a server. */
  getTotal(serverId: string): number;
  /** @returns Requests of all sources that hold, by server. */
  sum(): Map<number, number>;
}

/** What was told holds no longer than this; it is told at least twice as often. */
export const TOLD_VALID_MS = 1_500;

interface Told {
  requests: Map<number, number>;
  includesOwn: boolean;
  untilMs: number;
}

/**
 * @param clock The clock.
 * @returns A table in which nobody told anything.
 */
export function createRunningRequests(clock: Clock): RunningRequests {
  const toldBySource = new Map<string, Told>();
  let ownTold = new Map<number, number>();

  function listValid(): Told[] {
    const nowMs = clock.monotonicMs();
    for (const [source, { untilMs }] of toldBySource) {
      if (nowMs > untilMs) toldBySource.delete(source);
    }
    return [...toldBySource.values()];
  }

  return {
    apply(source, running, includesOwn) {
      const untilMs = clock.monotonicMs() + TOLD_VALID_MS;
      const requests = toMap(running);
      toldBySource.set(source, { requests, includesOwn, untilMs });
    },
    noteTold: (running) => void (ownTold = toMap(running)),
    getTotal(serverId) {
      const key = hashToUint32(serverId);
      let total = 0;
      for (const { requests, includesOwn } of listValid()) {
        const told = requests.get(key) ?? 0;
        const own = includesOwn ? ownTold.get(key) ?? 0 : 0;
        total += Math.max(0, told - own);
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
 * Adds requests to sums by server.
 *
 * @param sums What is added to.
 * @param requests What is added.
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
  forEachPair(pairs, (key, count) => void requests.set(key, count));
  return requests;
}
