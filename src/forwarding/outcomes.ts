/**
 * Creates outcomes without an answer, with a time to retry after.
 *
 * @module
 */
import { computeRetryAfterS } from "../admission/admission_control.ts";
import type { Random } from "../runtime/random.ts";
import type { Outcome } from "./types.ts";

/** Creates outcomes; the times to retry after are randomized. */
export interface OutcomeFactory {
  /**
   * Creates the outcome of a request that provably did not run.
   *
   * @param reason Why it did not run; shown to the caller.
   * @param waitMs Time until it could have started, in ms.
   * @returns The outcome.
   */
  notRun(reason: string, waitMs: number): Outcome;
  /**
   * Creates the outcome of a request that may have run.
   *
   * @param reason Why its outcome is unknown; shown to the caller.
   * @returns The outcome.
   */
  unknown(reason: string): Outcome;
}

/**
 * @param random Random source for the times to retry after.
 * @returns The factory.
 */
export function createOutcomeFactory(random: Random): OutcomeFactory {
  return {
    notRun(reason, waitMs) {
      const retryAfterS = computeRetryAfterS(waitMs, random());
      return { kind: "not_run", reason, retryAfterS };
    },
    unknown(reason) {
      const retryAfterS = computeRetryAfterS(0, random());
      return { kind: "unknown", reason, retryAfterS };
    },
  };
}
