/**
 * Which part of every limit this VM and those that it hears from hold.
 *
 * A VM that is silent may be down, or cut off and serving: nobody can tell, so
 * its part stays with it.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Who is heard from. */
export interface LimitShares {
  /**
   * @param source Who speaks.
   * @param vms For how many VMs.
   */
  recordHeartbeat(source: string, vms: number): void;
  /** @returns VMs that are heard from, this one included. */
  countReachable(): number;
  /** @returns The part, 0 to 1. */
  getShare(): number;
  /** @returns The part that this VM holds alone. */
  getOwnShare(): number;
  /** @returns For how long no other VM with much of a part was new here. */
  getStableMs(): number;
}

/** Sources speak twice as often at least, and a way between regions late. */
export const HEARTBEAT_TIMEOUT_MS = 1_000;

/** The part has grown by much when it is this many times what it was. */
const MUCH_GROWN = 1.1;

/**
 * @param clock The clock.
 * @param countKnown VMs that may serve, this one included.
 * @returns A pool in which nobody else is heard from.
 */
export function createLimitShares(
  clock: Clock,
  countKnown: () => number,
): LimitShares {
  let settledPart = 0;
  let settledAtMs = clock.monotonicMs();
  const sources = new Map<string, { vms: number; atMs: number }>();

  function countHeard(): number {
    const limitMs = clock.monotonicMs() - HEARTBEAT_TIMEOUT_MS;
    let vms = 1;
    for (const [source, heard] of sources) {
      if (heard.atMs < limitMs) sources.delete(source);
      else vms += heard.vms;
    }
    return vms;
  }

  function getPart(): number {
    const heard = countHeard();
    return heard / Math.max(heard, countKnown());
  }

  function settle(): void {
    const part = getPart();
    if (part > MUCH_GROWN * settledPart) settledAtMs = clock.monotonicMs();
    else if (part >= settledPart) return;
    settledPart = part;
  }

  return {
    recordHeartbeat(source, vms) {
      sources.set(source, { vms, atMs: clock.monotonicMs() });
      settle();
    },
    countReachable: countHeard,
    getShare: getPart,
    getStableMs() {
      settle();
      return clock.monotonicMs() - settledAtMs;
    },
    getOwnShare: () => 1 / Math.max(countHeard(), countKnown()),
  };
}
