/**
 * Which hubs can't be reached: wanted links that are missing, and for how long.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Follows wanted links. */
export interface HubReachability {
  /** Notes whether a link that is wanted is there. */
  record(id: string, isLinked: boolean): void;
  /** @returns Whether a link is missing for so long that this side may dial. */
  isOverdue(id: string): boolean;
  /** @returns Whether a VM is passed over as a hub, for a while. */
  isExcluded(id: string): boolean;
}

/** A hub that can't be reached for this long is given up, for a while. */
const UNREACHABLE_AFTER_MS = 1_500;
const EXCLUSION_MS = 10_000;

/**
 * @param clock The clock.
 * @returns A reach in which nothing is missing.
 */
export function createHubReachability(clock: Clock): HubReachability {
  const missingSinceMs = new Map<string, number>();
  const excludedAtMs = new Map<string, number>();

  function getMissingMs(id: string): number {
    const sinceMs = missingSinceMs.get(id);
    return sinceMs === undefined ? 0 : clock.monotonicMs() - sinceMs;
  }

  return {
    record(id, isLinked) {
      if (isLinked) {
        missingSinceMs.delete(id);
        excludedAtMs.delete(id);
        return;
      }
      if (!missingSinceMs.has(id)) {
        missingSinceMs.set(id, clock.monotonicMs());
      }
      if (getMissingMs(id) < UNREACHABLE_AFTER_MS) return;
      excludedAtMs.set(id, clock.monotonicMs());
      missingSinceMs.delete(id);
    },
    isOverdue: (id) => getMissingMs(id) > UNREACHABLE_AFTER_MS / 2,
    isExcluded(id) {
      const atMs = excludedAtMs.get(id);
      return atMs !== undefined && clock.monotonicMs() - atMs < EXCLUSION_MS;
    },
  };
}
