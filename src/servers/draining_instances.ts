/**
 * Instances of backend servers that announced their drain in an answer.
 *
 * An announcement overrides the register, which may list the server as ready
 * while the store is unreachable, and again once it is back.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Server instances that are draining. */
export interface DrainingInstances {
  /**
   * @param instance Id of a server instance.
   * @returns Whether it was not in the set yet.
   */
  add(instance: string): boolean;
  has(instance: string): boolean;
  /** @returns Number of draining instances. */
  count(): number;
}

/** Drains end earlier; an instance that still drains announces it again. */
const FORGET_MS = 600_000;
const MAX_INSTANCES = 4_096;

/**
 * @param clock The clock.
 * @returns An empty set.
 */
export function createDrainingInstances(clock: Clock): DrainingInstances {
  /** When each instance was added, the oldest first. */
  const addedAtMs = new Map<string, number>();

  function forgetOld(): void {
    const limitMs = clock.monotonicMs() - FORGET_MS;
    for (const [instance, atMs] of addedAtMs) {
      if (atMs > limitMs && addedAtMs.size <= MAX_INSTANCES) return;
      addedAtMs.delete(instance);
    }
  }

  return {
    add(instance) {
      if (addedAtMs.has(instance)) return false;
      addedAtMs.set(instance, clock.monotonicMs());
      forgetOld();
      return true;
    },
    has: (instance) => addedAtMs.has(instance),
    count() {
      forgetOld();
      return addedAtMs.size;
    },
  };
}
