/**
 * Serves one request: chooses servers, sends, retries what may be retried, and
 * ends it in time.
 *
 * A request that isn't idempotent is sent again only after its server said
 * that it did not run, or where no byte of it can have left this VM.
 *
 * @module
 */
import type { RateLimiter } from "../limits/limiter.ts";
import type { ObjectMemory } from "../placement/memory.ts";
import { makeFingerprint } from "../quarantine/fingerprint.ts";
import type { SuspectTracker } from "../quarantine/suspect_tracker.ts";
import { mayRetry, type RequestAssessment } from "../quarantine/types.ts";
import type { RetryBudget } from "../retries/budget.ts";
import type { Splitter } from "../routing/split.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import type { EndCheck } from "../servers/end_check.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { PermitEnd, ServerPermits } from "../servers/permits.ts";
import type { Log } from "../telemetry/log.ts";
import type { DemandMeter } from "./demand_meter.ts";
import type { Attempt, Exchange } from "./exchange.ts";
import type { AttemptObserver } from "./attempt_observer.ts";
import type { LatencyModel } from "./latency_model.ts";
import type { PlacedAttempt, Placer } from "./placer.ts";
import { makeObjectName, type RequestProgress } from "./request_progress.ts";
import {
  type CallerRequest,
  type ExchangeResult,
  MIN_SERVER_ERROR_STATUS,
  type RefusalReason,
  type ServerAnswer,
  type ServeResult,
} from "./types.ts";

/** What serving needs. */
export interface RequestHandlerOptions {
  clock: Clock;
  log: Log;
  random: Random;
  registry: ServerRegistry;
  placer: Placer;
  observer: AttemptObserver;
  budget: RetryBudget;
  splitter: Splitter;
  demand: DemandMeter;
  latencyModel: LatencyModel;
  cacheModel: ObjectMemory;
  exchange: Exchange;
  crashCheck: EndCheck;
  suspects: SuspectTracker;
  permits: ServerPermits;
  /** Limits of client accounts. */
  limiter: RateLimiter;
}

/** Serves requests. */
export interface RequestHandler {
  /** @returns How the request ends; never rejects. */
  handle(request: CallerRequest): Promise<ServeResult>;
}

/** A server needs this long to answer at all; less is not worth a try. */
const MIN_ATTEMPT_MS = 20;
/** Clients that don't say how long they wait. */
const DEFAULT_DEADLINE_MS = 30_000;
/** Why a request is not sent again. */
type RetryDenial =
  | "attempts_used"
  | "too_late"
  | "budget_spent"
  | "servers_ended";

/** @returns A name that each repeat of a request has as well. */
function fingerprintOf(request: CallerRequest): string {
  const { method, headers, path, metadata: terms, caller, body } = request;
  const { objectKey = "", callerKey = "" } = terms;
  // Accounts may change keys; the account is the caller.
  const callerName = caller.kind === "account" ? caller.name : callerKey;
  return makeFingerprint({
    method,
    host: headers.host ?? "",
    path,
    caller: `${objectKey} ${callerName}`,
    body,
  });
}

/** Whether an earlier attempt ran, or may have. */
function mayHaveRun({ fallback, lost }: RequestProgress): boolean {
  return fallback !== undefined || lost !== undefined;
}

function toPermitEnd(result: ExchangeResult): PermitEnd {
  if (result.kind === "lost") return "lost";
  if (result.kind === "not_run") return "turned_away";
  if (result.kind !== "answer") return "not_sent";
  return result.signals.backoffMs === undefined ? "taken" : "turned_away";
}

type Step = { kind: "again" } | { kind: "done"; result: ServeResult };

/**
 * @param parts What serving needs.
 * @returns The flow of requests through this VM.
 */
export function createRequestHandler(
  parts: RequestHandlerOptions,
): RequestHandler {
  const {
    clock,
    log,
    random,
    registry,
    exchange,
    budget,
    cacheModel: memory,
    suspects,
  } = parts;

  async function serve(request: CallerRequest): Promise<ServeResult> {
    const progress = begin(request);
    const { route } = request;
    budget.noteRequest(progress.service);
    parts.demand.record(progress.service);
    for (;;) {
      if (request.signal.aborted) return { kind: "client_left" };
      const judgement = suspects.assess(progress.fingerprint);
      if (judgement.kind === "set_aside") {
        return turnAway(progress, judgement);
      }
      const remainingMs = progress.deadlineAtMs - clock.monotonicMs();
      if (remainingMs < MIN_ATTEMPT_MS) return giveUp(progress, "too_late");
      const placed = parts.placer.place(progress);
      if (placed.kind === "not_placed") {
        return giveUp(progress, placed.reason, placed.retryAfterMs);
      }
      if (judgement.kind === "suspect") {
        suspects.recordProbe(progress.fingerprint);
      }
      const step = await attempt(progress, placed, remainingMs);
      if (step.kind === "done") return step.result;
      if (progress.triedServers.size >= route.maxAttempts) {
        return giveUp(progress, "not_run_anywhere");
      }
    }
  }

  /** Refuses at once what ends servers; clients are told when it may run. */
  function turnAway(
    progress: RequestProgress,
    { ends, retryAfterMs }: Extract<RequestAssessment, { kind: "set_aside" }>,
  ): ServeResult {
    const { request, fingerprint } = progress;
    const nowMs = clock.monotonicMs();
    log.info(
      {
        requestId: request.metadata.requestId,
        request: fingerprint,
        ends: ends.map(({ server, vm, atMs }) => ({
          server,
          by: vm,
          ageMs: Math.round(nowMs - atMs),
        })),
        retryAfterMs: Math.round(retryAfterMs),
      },
      "set aside",
    );
    return giveUp(progress, "set_aside", retryAfterMs);
  }

  function begin(request: CallerRequest): RequestProgress {
    const { route, metadata: terms, arrivedAtMs } = request;
    const deadlineMs = terms.deadlineMs ?? DEFAULT_DEADLINE_MS;
    return {
      request,
      fingerprint: fingerprintOf(request),
      service: parts.splitter.pickService(route),
      objectKey: terms.objectKey ?? `unkeyed ${random()}`,
      usesObjectCache: terms.objectKey !== undefined && route.isSticky,
      deadlineAtMs: arrivedAtMs + Math.min(route.timeoutMs, deadlineMs),
      triedServers: new Set(),
      lastUtilization: Infinity,
      fallback: undefined,
      lost: undefined,
    };
  }

  async function attempt(
    progress: RequestProgress,
    { server, isCached: isKnown }: PlacedAttempt,
    remainingMs: number,
  ): Promise<Step> {
    const { request } = progress;
    progress.triedServers.add(server.listed.id);
    if (request.account !== undefined && mayHaveRun(progress)) {
      parts.limiter.charge(request.account);
    }
    const startedAtMs = clock.monotonicMs();
    const useAtStart = server.load.getUse();
    progress.lastUtilization = useAtStart;
    const depth = progress.usesObjectCache
      ? memory.note(server.listed.id, makeObjectName(progress))
      : undefined;
    server.load.begin();
    const running = exchange.send(
      server.listed,
      request,
      remainingMs,
      () => registry.isUsable(server) && parts.permits.holds(server.listed),
    );
    const leave = () => running.abort("client_left");
    request.signal.addEventListener("abort", leave);
    const timer = clock.after(remainingMs, () => running.abort("timeout"));
    const endWatch = watchSuspect(progress, running);
    const result = await running.result;
    timer.cancel();
    endWatch();
    request.signal.removeEventListener("abort", leave);
    const tookMs = clock.monotonicMs() - startedAtMs;
    parts.observer.recordAttempt(progress, server, {
      result,
      tookMs,
      utilizationAtStart: useAtStart,
      depth,
      isCached: isKnown,
    });
    server.load.end();
    parts.permits.end(server.listed, toPermitEnd(result));
    if (result.kind === "lost" && result.reason === "cut") {
      const isChecked = noteCut(progress, server);
      // What must not run twice waits for nothing more.
      if (request.route.kind === "idempotent") await isChecked;
    }
    return judge(progress, server, result);
  }

  /**
   * A copy that still waits at a server when its request is set aside is taken
   * back, as far as it may run twice: with queues of 0.3 s each copy would end
   * one server more.
   */
  function watchSuspect(
    { request, fingerprint }: RequestProgress,
    running: Attempt,
  ): () => void {
    if (request.route.kind === "non_idempotent") return () => {};
    return suspects.watch(fingerprint, () => running.abort("set_aside"));
  }

  /** Tells a server that ended under a request from a connection that broke. */
  async function noteCut(
    progress: RequestProgress,
    server: KnownServer,
  ): Promise<void> {
    const { request, fingerprint } = progress;
    const verdict = await parts.crashCheck.check(server.listed);
    log.info(
      {
        requestId: request.metadata.requestId,
        request: fingerprint,
        method: request.method,
        path: request.path,
        server: server.listed.id,
        service: progress.service,
        verdict,
      },
      "connection cut",
    );
    // One that drained would have ended under whatever it ran.
    if (verdict !== "ended" || !registry.isUsable(server)) return;
    suspects.recordCrash(fingerprint, server.listed.id);
  }

  function judge(
    progress: RequestProgress,
    server: KnownServer,
    result: ExchangeResult,
  ): Step {
    if (result.kind === "not_sent") return { kind: "again" };
    if (result.kind === "withdrawn") {
      progress.triedServers.delete(server.listed.id);
      return { kind: "again" };
    }
    if (result.kind === "answer") {
      suspects.recordAnswer(progress.fingerprint);
      return judgeAnswer(progress, result.answer);
    }
    if (result.kind === "not_run") {
      if (result.reason === "other_server") {
        registry.markReplaced(server.listed.id);
      }
      return retryOr(progress, () => giveUp(progress, "not_run_anywhere"));
    }
    if (result.reason === "client_left") {
      return { kind: "done", result: { kind: "client_left" } };
    }
    progress.lost = result.reason;
    if (progress.request.route.kind === "non_idempotent") {
      return { kind: "done", result: giveUp(progress, "too_late") };
    }
    return retryOr(progress, () => giveUp(progress, "too_late"));
  }

  function judgeAnswer(progress: RequestProgress, answer: ServerAnswer): Step {
    const result: ServeResult = { kind: "answer", answer };
    const isRepeatable = progress.request.route.kind === "idempotent";
    if (answer.status < MIN_SERVER_ERROR_STATUS || !isRepeatable) {
      return { kind: "done", result };
    }
    progress.fallback = answer;
    return retryOr(progress, () => result);
  }

  function retryOr(progress: RequestProgress, end: () => ServeResult): Step {
    const { request, triedServers: tried, service } = progress;
    const denial = findDenial(progress);
    log.info(
      {
        requestId: request.metadata.requestId,
        service,
        tried: tried.size,
        denial,
      },
      denial === undefined ? "retry" : "no retry",
    );
    if (denial === undefined) return { kind: "again" };
    return { kind: "done", result: end() };
  }

  function findDenial(progress: RequestProgress): RetryDenial | undefined {
    const { request, triedServers: tried, service, fingerprint } = progress;
    if (tried.size >= request.route.maxAttempts) return "attempts_used";
    if (!mayRetry(suspects.assess(fingerprint))) return "servers_ended";
    const leftMs = progress.deadlineAtMs - clock.monotonicMs();
    if (leftMs < MIN_ATTEMPT_MS) return "too_late";
    return budget.take(service) ? undefined : "budget_spent";
  }

  function giveUp(
    progress: RequestProgress,
    reason: RefusalReason,
    retryAfterMs?: number,
  ): ServeResult {
    if (progress.fallback !== undefined) {
      return { kind: "answer", answer: progress.fallback };
    }
    if (progress.lost === "timeout") return { kind: "timed_out" };
    if (progress.lost !== undefined) {
      return { kind: "failed", reason: progress.lost };
    }
    const { route } = progress.request;
    const use = reason === "not_run_anywhere"
      ? progress.lastUtilization
      : Infinity;
    return {
      kind: "refused",
      reason,
      retryAfterMs: retryAfterMs ??
        parts.latencyModel.getRetryAfterMs(route, use, random()),
    };
  }

  return { handle: serve };
}
