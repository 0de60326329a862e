/**
 * Makes outcomes without an answer, with when to come back.
 *
 * @module
 */
import { makeRetryAfter } from "../admission/logic.ts";
import type { Random } from "../runtime/random.ts";
import type { Outcome } from "./types.ts";

/** Makes outcomes; times to come back are spread by chance. */
export interface OutcomeMaker {
  /** Proven not run; `waitMs` is when it could have started. */
  notRun(reason: string, waitMs: number): Outcome;
  /** It may have run. */
  unknown(reason: string): Outcome;
}

/**
 * @param random The random source.
 * @returns The maker.
 */
export function createOutcomeMaker(random: Random): OutcomeMaker {
  return {
    notRun(reason, waitMs) {
      const retryAfterS = makeRetryAfter(waitMs, random());
      return { kind: "not_run", reason, retryAfterS };
    },
    unknown(reason) {
      const retryAfterS = makeRetryAfter(0, random());
      return { kind: "unknown", reason, retryAfterS };
    },
  };
}
