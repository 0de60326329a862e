/**
 * Tracks which hubs can't be reached, by how long the links to them are missing.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Tracks the links that this VM should have. */
export interface HubReachability {
  /**
   * Records the state of a link that this VM should have.
   *
   * @param id The id of the VM at the other end.
   * @param isLinked Whether the link is open.
   */
  record(id: string, isLinked: boolean): void;
  /**
   * @param id A VM's id.
   * @returns Whether its link is missing for so long that this VM should dial,
   *   even if it is the other one's turn.
   */
  isOverdue(id: string): boolean;
  /**
   * @param id A VM's id.
   * @returns Whether the VM is currently excluded as a hub.
   */
  isExcluded(id: string): boolean;
}

/** A hub whose link is missing for this long is excluded for a while. */
const UNREACHABLE_AFTER_MS = 1_500;
const EXCLUSION_MS = 10_000;

/**
 * Creates a tracker.
 *
 * @param clock The clock.
 * @returns A tracker without missing links.
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
