/**
 * Test fixtures for requests that are being served.
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
import {
  type Clock,
  createFakeClock,
  createSystemClock,
} from "../runtime/clock.ts";
import { type OpenSocket, openSocket } from "../runtime/open_socket.ts";
import { createSilentLog } from "../telemetry/log.ts";
import type { ServerPermits } from "../servers/permits.ts";
import { type BodyBudget, createBodyBudget } from "./body_budget.ts";
import { createExchange, type Exchange } from "./exchange.ts";
import type { RequestProgress } from "./request_progress.ts";
import type { CallerRequest, WireCodec } from "./types.ts";

/** @returns A caller check for a configuration without accounts. */
export function makePermissiveCallerCheck(): CallerCheck {
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

/**
 * @param limitBytes Most bytes to hold; undefined for no limit.
 * @param clock The clock.
 * @returns A budget of which nothing is held.
 */
export function makeBodyBudget(
  limitBytes?: number,
  clock: Clock = createSystemClock(),
): BodyBudget {
  const log = createSilentLog();
  return createBodyBudget({ clock, log, random: () => 0, limitBytes });
}

/**
 * @param codec Codec of the headers.
 * @param connections Number of connections to each server.
 * @param open Opens sockets; those of the operating system by default.
 * @returns An exchange.
 */
export function makeExchange(
  codec: WireCodec,
  connections: number,
  open: OpenSocket = openSocket,
): Exchange {
  return createExchange({
    codec,
    clock: createSystemClock(),
    openSocket: open,
    observer: {
      recordConnected() {},
      recordConnectFailure() {},
      recordResponse() {},
    },
    getConnectionLimit: () => connections,
  });
}

/** @returns Permits of servers without rate limits and backoffs. */
export function makeUnlimitedPermits(): ServerPermits {
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
 * @param changes Fields that differ from a GET request for the object 17.
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
    metadata: {
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
    readDelayMs: 0,
    signal: new AbortController().signal,
    ...changes,
  };
}

/**
 * @param changes Fields that differ from a request that was not sent yet.
 * @returns The request's progress.
 */
export function makeProgress(
  changes: Partial<RequestProgress> = {},
): RequestProgress {
  return {
    request: makeRequest(),
    fingerprint: "a request",
    service: "s",
    objectKey: "17",
    priority: 1,
    usesObjectCache: true,
    deadlineAtMs: 1_000,
    triedServers: new Set(),
    excludedServers: new Set(),
    pathFailures: 0,
    lastUtilization: Infinity,
    prospect: undefined,
    wait: undefined,
    fallback: undefined,
    lost: undefined,
    ...changes,
  };
}
