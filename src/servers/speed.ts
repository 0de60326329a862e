/**
 * Current speed of a backend server, from the slowdown that it reports.
 *
 * Load pattern: servers share their machines. At any time some take 2.5 times
 * as long as usual, and after 0.6 s it is others. A report is therefore worth
 * less the older it is, and says nothing after a few seconds.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** What this VM knows of the current speed of one server. */
export interface ServerSpeed {
  /**
   * Records a slowdown that the server reported.
   *
   * @param slowdown The slowdown.
   */
  report(slowdown: number): void;
  /** @returns The expected slowdown of work that starts now; 1 if unknown. */
  getSlowdown(): number;
}

/** Machines were measured to change their speed every 0.6 s. */
const HALF_LIFE_MS = 600;
/**
 * Bounds on a reported slowdown, so that no single report makes a server look
 * free or unusable.
 */
const MIN_SLOWDOWN = 0.25;
const MAX_SLOWDOWN = 8;
/** Machines with a smaller deviation count as having their usual speed. */
const MIN_DEVIATION = 0.2;

/**
 * @param slowdown A reported slowdown.
 * @returns The slowdown within the bounds.
 */
export function limitSlowdown(slowdown: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown));
}

/**
 * @param slowdown A slowdown.
 * @returns Whether it differs from usual.
 */
export function isUnusualSlowdown(slowdown: number): boolean {
  return Math.abs(slowdown - 1) >= MIN_DEVIATION;
}

/**
 * @param clock The clock.
 * @returns The speed of a server that has reported none.
 */
export function createServerSpeed(clock: Clock): ServerSpeed {
  let reported = 1;
  let reportedAtMs = 0;
  return {
    report(slowdown) {
      reported = limitSlowdown(slowdown);
      reportedAtMs = clock.monotonicMs();
    },
    getSlowdown() {
      if (reported === 1) return 1;
      const ageMs = clock.monotonicMs() - reportedAtMs;
      return 1 + (reported - 1) * 0.5 ** (ageMs / HALF_LIFE_MS);
    },
  };
}
