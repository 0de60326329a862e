/**
 * Which hubs can't be reached: wanted links that are missing, and for how long.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Follows wanted links. */
export interface Reach {
  /** Notes whether a link that is wanted is there. */
  note(id: string, isLinked: boolean): void;
  /** @returns Whether a link is missing for so long that this side may dial. */
  isOverdue(id: string): boolean;
  /** @returns Whether a VM is passed over as a hub, for a while. */
  isGivenUp(id: string): boolean;
}

/** A hub that can't be reached for this long is given up, for a while. */
const UNREACHABLE_MS = 1_500;
const GIVEN_UP_MS = 10_000;

/**
 * @param clock The clock.
 * @returns A reach in which nothing is missing.
 */
export function createReach(clock: Clock): Reach {
  const missingSinceMs = new Map<string, number>();
  const givenUpAtMs = new Map<string, number>();

  function getMissingMs(id: string): number {
    const sinceMs = missingSinceMs.get(id);
    return sinceMs === undefined ? 0 : clock.monotonicMs() - sinceMs;
  }

  return {
    note(id, isLinked) {
      if (isLinked) {
        missingSinceMs.delete(id);
        givenUpAtMs.delete(id);
        return;
      }
      if (!missingSinceMs.has(id)) {
        missingSinceMs.set(id, clock.monotonicMs());
      }
      if (getMissingMs(id) < UNREACHABLE_MS) return;
      givenUpAtMs.set(id, clock.monotonicMs());
      missingSinceMs.delete(id);
    },
    isOverdue: (id) => getMissingMs(id) > UNREACHABLE_MS / 2,
    isGivenUp(id) {
      const atMs = givenUpAtMs.get(id);
      return atMs !== undefined && clock.monotonicMs() - atMs < GIVEN_UP_MS;
    },
  };
}
