/**
 * The client library: looks up an entry, fails over to the next one, enforces the
 * deadline, creates idempotency keys, and returns the answer, `not_run` or
 * `unknown`. It uses only the documented HTTP interface.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { HEADERS } from "../forwarding/types.ts";
import type { EntryChoice, LookupAnswer } from "../lookup/types.ts";
import { type Clock, createSystemClock } from "../runtime/clock.ts";
import { classifyTransportError, describeError } from "../runtime/errors.ts";
import { createHttpClient, type HttpResponse } from "../runtime/http_client.ts";
import { createId } from "../runtime/ids.ts";
import { createRandom, type Random } from "../runtime/random.ts";
import { createLookupCache } from "./lookup_cache.ts";
import type { Call, CallResult } from "./types.ts";

export type { Call, CallResult } from "./types.ts";

/** A client of the gateway. */
export interface Caller {
  /**
   * Makes a call.
   *
   * @param call The call.
   * @returns Its result; errors are results too, so it never throws.
   */
  call(call: Call): Promise<CallResult>;
  /** @returns Number of connections that broke during a request. */
  brokenCount(): number;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Options of a caller. */
export interface CallerOptions {
  /** Caller addresses of steers, `host:port`, nearest first. */
  steers: readonly string[];
  clock?: Clock;
  random?: Random;
}

const CONNECT_TIMEOUT_MS = 300;
const CONNECTIONS_PER_ENTRY = 256;
/** Largest answer; entries accept none that are larger. */
const MAX_ANSWER_BYTES = 4_194_304;
/** Bytes of all answers that are being read; further ones count as broken. */
const MAX_TOTAL_ANSWER_BYTES = 268_435_456;
/** Longer timers of Node fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;
/** Longer reasons are cut. */
const MAX_REASON_LENGTH = 1_000;
/** Longest time until a retry that an entry may ask for. */
const MAX_RETRY_AFTER_S = 600;

interface Attempt {
  call: Call;
  answer: LookupAnswer;
  entry: EntryChoice;
  requestId: string;
  key: string | undefined;
  remainingMs: number;
}

type AttemptResult =
  | { kind: "final"; result: CallResult }
  /** Nothing was sent: another entry may be tried with a new key. */
  | { kind: "not_sent"; reason: string }
  /** The connection broke: another entry may be tried with the same key. */
  | { kind: "broken"; reason: string };

/**
 * Creates a caller.
 *
 * @param options Steers and dependencies.
 * @returns The caller.
 */
export function createCaller(options: CallerOptions): Caller {
  const clock = options.clock ?? createSystemClock();
  const random = options.random ?? createRandom(Date.now() & 0x7fff_ffff);
  const client = createHttpClient({
    maxResponseBytes: MAX_ANSWER_BYTES,
    maxTotalBytes: MAX_TOTAL_ANSWER_BYTES,
    connections: CONNECTIONS_PER_ENTRY,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  let brokenCount = 0;
  const lookups = createLookupCache({
    steers: options.steers,
    clock,
    random,
    client,
  });

  async function call(spec: Call): Promise<CallResult> {
    const endMs = clock.monotonicMs() + spec.deadlineMs;
    const requestId = createId();
    const lookupResult = await lookups.find(spec, endMs);
    if ("reason" in lookupResult) {
      const { reason } = lookupResult;
      return { kind: "not_run", reason, retryAfterS: 1, requestId };
    }
    return tryEntries(spec, lookupResult, { requestId, endMs });
  }

  /**
   * Tries the entries in order. The idempotency key stays the same once a request
   * has been sent with it.
   */
  async function tryEntries(
    spec: Call,
    answer: LookupAnswer,
    { requestId, endMs }: { requestId: string; endMs: number },
  ): Promise<CallResult> {
    let key: string | undefined;
    let wasSent = false;
    let reason = "No entry was named";
    for (const entry of answer.entries) {
      const remainingMs = endMs - clock.monotonicMs();
      if (!(remainingMs > 0)) break;
      if (!spec.idempotent && !wasSent) {
        key = `${entry.keyPrefix}.${createId()}`;
      }
      const attempt = {
        call: spec,
        answer,
        entry,
        requestId,
        key,
        remainingMs,
      };
      const result = await send(attempt);
      if (result.kind === "final") {
        return resolveNotRun(spec, result.result, wasSent);
      }
      lookups.invalidate(spec);
      reason = result.reason;
      wasSent ||= result.kind === "broken";
    }
    if (!wasSent) return { kind: "not_run", reason, retryAfterS: 1, requestId };
    return { kind: "unknown", reason, requestId, idempotencyKey: key };
  }

  async function send(attempt: Attempt): Promise<AttemptResult> {
    const { call: spec, entry, remainingMs } = attempt;
    try {
      const url = new URL(
        `http://${entry.address}/v1/services/` +
          `${encodeURIComponent(spec.service)}${spec.path}`,
      );
      const response = await client.request({
        origin: url.origin,
        path: `${url.pathname}${url.search}`,
        method: spec.method,
        headers: makeHeaders(attempt),
        body: spec.body,
        signal: AbortSignal.timeout(
          Math.min(Math.ceil(remainingMs), MAX_TIMER_MS),
        ),
      });
      return readResponse(attempt, response);
    } catch (cause) {
      const reason = `${entry.address}: ${describeError(cause)}`;
      if (classifyTransportError(cause) === "not_sent") {
        return { kind: "not_sent", reason };
      }
      const timedOut = (cause as Error).name === "TimeoutError";
      if (!timedOut) brokenCount += 1;
      return { kind: "broken", reason };
    }
  }

  return { call, brokenCount: () => brokenCount, close: () => client.close() };
}

/**
 * Decides whether `not_run` holds for the call. It covers only the last attempt,
 * except that the owner of a key answers for all attempts with it: without a key,
 * an earlier attempt may have run, so the result is `unknown`.
 */
function resolveNotRun(
  spec: Call,
  result: CallResult,
  wasSent: boolean,
): CallResult {
  if (result.kind !== "not_run" || !wasSent || !spec.idempotent) return result;
  const { reason, requestId } = result;
  return { kind: "unknown", reason, requestId, idempotencyKey: undefined };
}

function makeHeaders(
  { call, answer, requestId, key, remainingMs }: Attempt,
): Record<string, string> {
  const headers: Record<string, string> = {
    [HEADERS.requestId]: requestId,
    [HEADERS.clientBlock]: answer.clientBlock,
    [HEADERS.deadlineMs]: String(Math.max(1, Math.floor(remainingMs))),
  };
  if (call.contentType) headers["content-type"] = call.contentType;
  if (key) headers[HEADERS.idempotencyKey] = key;
  return headers;
}

function readResponse(
  { requestId, key }: Attempt,
  { status, headers, body }: HttpResponse,
): AttemptResult {
  const header = (name: string) => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  const outcome = header(HEADERS.outcome);
  const answeredId = header(HEADERS.requestId);
  if (answeredId !== undefined && answeredId !== requestId) {
    return { kind: "broken", reason: "The answer belongs to another request" };
  }
  if (outcome === "answer") {
    return {
      kind: "final",
      result: {
        kind: "answer",
        status,
        contentType: header("content-type"),
        body,
        requestId,
        serverId: header(HEADERS.server) ?? "",
      },
    };
  }
  const problem = readProblem(body);
  const reason = problem.detail ?? `Status ${status}`;
  if ((outcome ?? problem.outcome) === "not_run") {
    const retryAfterS = readRetryAfterS(header("retry-after"));
    return {
      kind: "final",
      result: { kind: "not_run", reason, retryAfterS, requestId },
    };
  }
  return {
    kind: "final",
    result: { kind: "unknown", reason, requestId, idempotencyKey: key },
  };
}

function readRetryAfterS(text: string | undefined): number {
  const seconds = Number(text ?? 1);
  return seconds >= 0 ? Math.min(seconds, MAX_RETRY_AFTER_S) : 1;
}

function readProblem(body: Buffer): { detail?: string; outcome?: string } {
  try {
    const { detail, outcome } = JSON.parse(body.toString("utf8"));
    return {
      detail: detail === undefined
        ? undefined
        : String(detail).slice(0, MAX_REASON_LENGTH),
      outcome: String(outcome),
    };
  } catch {
    return {};
  }
}
