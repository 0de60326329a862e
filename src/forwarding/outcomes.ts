/**
 * Makes outcomes without an answer, with when to come back.
 *
 * @module
 */
import { computeRetryAfterS } from "../admission/admission_control.ts";
import type { Random } from "../runtime/random.ts";
import type { Outcome } from "./types.ts";

/** Makes outcomes; times to come back are spread by chance. */
export interface OutcomeFactory {
  /** Proven not run; `waitMs` is when it could have started. */
  notRun(reason: string, waitMs: number): Outcome;
  /** It may have run. */
  unknown(reason: string): Outcome;
}

/**
 * @param random The random source.
 * @returns The maker.
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
