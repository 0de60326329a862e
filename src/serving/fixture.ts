/**
 * Requests on their way, for tests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { EqualShareLimiter } from "../limits/equal_share_limiter.ts";
import {
  type CallerCheck,
  createCallerCheck,
} from "../accounts/caller_check.ts";
import { makeRoute } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import type { ServerPermits } from "../servers/permits.ts";
import type { Progress } from "./progress.ts";
import type { CallerRequest } from "./types.ts";

/** @returns A check of callers by a configuration without accounts. */
export function makeOpenCallerCheck(): CallerCheck {
  const clock = createFakeClock();
  return createCallerCheck({
    log: createSilentLog(),
    random: () => 0,
    bounds: {
      configurationDeadlineMs: 2_000,
      limitMargin: { windowMs: 5_000, ratio: 0, allowance: 0 },
    },
    limiter: new EqualShareLimiter(clock, () => 1),
    getKnowledgeAgeMs: () => 0,
  });
}

/** @returns Permits of servers that ask for nothing. */
export function makeOpenPermits(): ServerPermits {
  return {
    isRateLimited: () => false,
    take: () => true,
    isValid: () => true,
    end() {},
    getEffectiveSlots: ({ slots }) => slots,
    getWaitMs: () => 0,
    describe: ({ id }) => ({ server: id }),
  };
}

/**
 * @param changes Fields that differ from a plain GET for the object 17.
 * @returns The request.
 */
export function makeRequest(
  changes: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    method: "GET",
    path: "/a",
    headers: {},
    body: Buffer.alloc(0),
    terms: {
      requestId: "q",
      deadlineMs: undefined,
      objectKey: "17",
      callerKey: undefined,
      apiKey: undefined,
    },
    caller: { kind: "no_accounts" },
    account: undefined,
    homeRegions: [],
    route: makeRoute(),
    arrivedAtMs: 0,
    signal: new AbortController().signal,
    ...changes,
  };
}

/**
 * @param changes Fields that differ from a plain request, not sent yet.
 * @returns The request on its way.
 */
export function makeProgress(changes: Partial<Progress> = {}): Progress {
  return {
    request: makeRequest(),
    fingerprint: "a request",
    service: "s",
    objectKey: "17",
    hasObject: true,
    endsAtMs: 1_000,
    tried: new Set(),
    lastUse: Infinity,
    fallback: undefined,
    lost: undefined,
    ...changes,
  };
}
