/**
 * Starts of backend servers that announced in an answer that they drain.
 *
 * An announcement overrides the register, which may list the server as ready
 * while the store is away, and anew once it is back.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Starts that drain. */
export interface DrainingInstances {
  /**
   * @param start The start of a server.
   * @returns Whether this is new.
   */
  add(start: string): boolean;
  has(start: string): boolean;
  /** @returns How many there are. */
  count(): number;
}

/** A server that drains is gone by then; one that isn't announces it again. */
const FORGET_MS = 600_000;
const MAX_STARTS = 4_096;

/**
 * @param clock The clock.
 * @returns A set without starts.
 */
export function createDrainingInstances(clock: Clock): DrainingInstances {
  /** When each was added, the oldest first. */
  const addedAtMs = new Map<string, number>();

  function forgetOld(): void {
    const limitMs = clock.monotonicMs() - FORGET_MS;
    for (const [start, atMs] of addedAtMs) {
      if (atMs > limitMs && addedAtMs.size <= MAX_STARTS) return;
      addedAtMs.delete(start);
    }
  }

  return {
    add(start) {
      if (addedAtMs.has(start)) return false;
      addedAtMs.set(start, clock.monotonicMs());
      forgetOld();
      return true;
    },
    has: (start) => addedAtMs.has(start),
    count() {
      forgetOld();
      return addedAtMs.size;
    },
  };
}
