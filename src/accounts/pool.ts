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
export interface LimitPool {
  /**
   * @param source Who speaks.
   * @param vms For how many VMs.
   */
  noteHeard(source: string, vms: number): void;
  /** @returns VMs that are heard from, this one included. */
  countHeard(): number;
  /** @returns The part, 0 to 1. */
  getPart(): number;
}

/** Sources speak twice as often at least, and a way between regions late. */
export const HEARD_MS = 1_000;

/**
 * @param clock The clock.
 * @param countKnown VMs that may serve, this one included.
 * @returns A pool in which nobody else is heard from.
 */
export function createLimitPool(
  clock: Clock,
  countKnown: () => number,
): LimitPool {
  const sources = new Map<string, { vms: number; atMs: number }>();

  function countHeard(): number {
    const limitMs = clock.monotonicMs() - HEARD_MS;
    let vms = 1;
    for (const [source, heard] of sources) {
      if (heard.atMs < limitMs) sources.delete(source);
      else vms += heard.vms;
    }
    return vms;
  }

  return {
    noteHeard: (source, vms) =>
      void sources.set(source, { vms, atMs: clock.monotonicMs() }),
    countHeard,
    getPart() {
      const heard = countHeard();
      return heard / Math.max(heard, countKnown());
    },
  };
}
