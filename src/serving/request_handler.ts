/**
 * Serves a request: selects servers, sends the request, retries it where that
 * is allowed, and finishes before its deadline.
 *
 * A request that isn't idempotent is retried only if its server stated that it
 * did not run, or if no byte of it can have left this VM.
 *
 * @module
 */
import type { RateLimiter } from "../limits/limiter.ts";
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import { makeFingerprint } from "../quarantine/fingerprint.ts";
import type { AccountShares } from "../queueing/account_shares.ts";
import type { UrgentDemand } from "../queueing/urgency.ts";
import { getPriority } from "../queueing/urgency.ts";
import type { WaitQueue } from "../queueing/wait_queue.ts";
import type { SuspectTracker } from "../quarantine/suspect_tracker.ts";
import { mayRetry, type RequestAssessment } from "../quarantine/types.ts";
import type { RetryBudget } from "../retries/budget.ts";
import type { Splitter } from "../routing/split.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import type { CrashCheck } from "../servers/crash_check.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { ListedServer } from "../servers/types.ts";
import type { PermitOutcome, ServerPermits } from "../servers/permits.ts";
import type { Log } from "../telemetry/log.ts";
import { createDeadlineTimers } from "./deadline_timers.ts";
import type { DemandMeter } from "./demand_meter.ts";
import type { Attempt } from "./http_attempt.ts";
import type { AttemptObserver } from "./attempt_observer.ts";
import { getCountedBytes, type InflightBodies } from "./inflight_bodies.ts";
import type { LatencyModel } from "./latency_model.ts";
import type { PlacedAttempt, Placer } from "./placer.ts";
import { computeResponseEndMs, type ProcessEnd } from "./process_end.ts";
import {
  computeDeadlineAtMs,
  makeObjectName,
  type RequestProgress,
} from "./request_progress.ts";
import type { ServerTransport, TransportOutcome } from "./server_transport.ts";
import {
  type CallerRequest,
  MIN_SERVER_ERROR_STATUS,
  OTHER_VM_RETRY_MS,
  type RefusalReason,
  type ServerAnswer,
  type ServeResult,
} from "./types.ts";

/** Options of a request handler. */
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
  urgentDemand: UrgentDemand;
  accountShares: AccountShares;
  waitQueue: WaitQueue;
  latencyModel: LatencyModel;
  cacheModel: ObjectCacheModel;
  transport: Pick<ServerTransport, "send">;
  crashCheck: CrashCheck<ListedServer>;
  suspects: SuspectTracker;
  permits: ServerPermits;
  inflightBodies: Pick<InflightBodies, "begin" | "end" | "recordServerEnd">;
  /** Rate limits of client accounts. */
  limiter: RateLimiter;
  processEnd: Pick<ProcessEnd, "getMs" | "isAfter">;
}

/** Handles requests of clients. */
export interface RequestHandler {
  /**
   * @param request The request.
   * @returns The result for the client; never rejects.
   */
  handle(request: CallerRequest): Promise<ServeResult>;
}

/**
 * No attempt is made with less time left: a server needs that much to answer.
 */
const MIN_ATTEMPT_MS = 20;
/**
 * Least share of the route's timeout after which a timeout without a response
 * suggests that the server ended. After a short deadline of the client, or the
 * little time that is left for a retry, a server that runs may be silent too.
 */
const LONG_TIMEOUT_SHARE = 0.5;
/** Attempts that are repeated at once since own connections failed. */
const MAX_PATH_FAILURES = 2;
/** Why a request is not retried. */
type RetryDenial =
  | "attempts_used"
  | "too_late"
  | "budget_spent"
  | "servers_ended";

/** @returns The fingerprint of a request, the same for each repeat. */
function computeFingerprint(request: CallerRequest): string {
  const { method, headers, path, metadata, caller, body } = request;
  const { objectKey = "", callerKey = "" } = metadata;
  // An account may change its keys, so its name identifies the caller.
  const callerName = caller.kind === "account" ? caller.name : callerKey;
  return makeFingerprint({
    method,
    host: headers.host ?? "",
    path,
    caller: `${objectKey} ${callerName}`,
    body,
  });
}

/** Whether an earlier attempt ran or may have run. */
function mayHaveRun({ fallback, lost }: RequestProgress): boolean {
  return fallback !== undefined || lost !== undefined;
}

function toPermitOutcome(
  result: TransportOutcome["result"],
): PermitOutcome {
  if (result.kind === "lost") return "lost";
  if (result.kind === "not_run") return "turned_away";
  if (result.kind !== "answer") return "not_sent";
  return result.signals.backoffMs === undefined ? "taken" : "turned_away";
}

function isLongTimeout(
  { route }: CallerRequest,
  result: TransportOutcome["result"],
  tookMs: number,
): boolean {
  return result.kind === "lost" && result.reason === "timeout" &&
    tookMs >= LONG_TIMEOUT_SHARE * route.timeoutMs;
}

/** How to proceed after an attempt. */
type NextStep = { kind: "again" } | { kind: "done"; result: ServeResult };

/**
 * @param options Dependencies.
 * @returns A request handler.
 */
export function createRequestHandler(
  options: RequestHandlerOptions,
): RequestHandler {
  const {
    clock,
    log,
    random,
    registry,
    transport,
    budget,
    cacheModel,
    suspects,
    waitQueue,
    inflightBodies,
  } = options;
  const deadlineTimers = createDeadlineTimers(clock);

  async function handle(request: CallerRequest): Promise<ServeResult> {
    const progress = createProgress(request);
    budget.recordRequest(progress.service);
    options.demand.record(progress.service);
    const { route } = request;
    const runMs = options.latencyModel.getExpectedMs(route, "any") ?? 0;
    options.urgentDemand.record(
      progress.service,
      route.priority,
      route.targetLatencyMs - runMs,
    );
    options.accountShares.recordRequest(progress.service, request.account);
    const result = await serve(progress);
    const end = result.kind === "client_left" ? result.kind : "refused";
    waitQueue.recordEnd(progress, end);
    return result;
  }

  async function serve(progress: RequestProgress): Promise<ServeResult> {
    const { request } = progress;
    const { route } = request;
    for (;;) {
      if (request.signal.aborted) return { kind: "client_left" };
      const assessment = suspects.assess(progress.fingerprint);
      if (assessment.kind === "set_aside") {
        return refuseSetAside(progress, assessment);
      }
      if (!hasTimeForAttempt(progress)) return giveUp(progress, "too_late");
      if (!mayHaveRun(progress) && !mayFinish(request)) {
        return giveUp(progress, "leaving", OTHER_VM_RETRY_MS);
      }
      const placed = options.placer.place(progress);
      if (placed.kind === "not_placed") {
        // Only what has not run may wait.
        if (placed.reason === "all_full" && !mayHaveRun(progress)) {
          progress.prospect = placed.prospect;
          const outcome = await waitQueue.wait(progress);
          if (outcome === "try_again") continue;
          if (outcome === "client_left") return { kind: "client_left" };
          const retryAfterMs = waitQueue.getRetryAfterMs(progress);
          return giveUp(progress, placed.reason, retryAfterMs);
        }
        return giveUp(progress, placed.reason, placed.retryAfterMs);
      }
      if (assessment.kind === "suspect") {
        suspects.recordProbe(progress.fingerprint);
      }
      const remainingMs = progress.deadlineAtMs - clock.monotonicMs();
      const step = await runAttempt(progress, placed, remainingMs);
      if (step.kind === "done") return step.result;
      if (progress.triedServers.size >= route.maxAttempts) {
        return giveUp(progress, "not_run_anywhere");
      }
    }
  }

  /**
   * Whether an attempt has time. One that follows an attempt that may have run is
   * made also if the process may end under it: a refusal would not be true.
   */
  function hasTimeForAttempt(progress: RequestProgress): boolean {
    const endsAtMs = mayHaveRun(progress)
      ? Math.min(progress.deadlineAtMs, options.processEnd.getMs())
      : progress.deadlineAtMs;
    const leftMs = endsAtMs - clock.monotonicMs();
    return leftMs >= MIN_ATTEMPT_MS && !isBegunTooLate(progress, leftMs);
  }

  /**
   * Whether a request waited so long to be read, as it does while this VM lacks
   * processor time, that its first attempt would end without an answer.
   */
  function isBegunTooLate(
    { request: { route, readDelayMs }, triedServers }: RequestProgress,
    leftMs: number,
  ): boolean {
    if (triedServers.size > 0 || readDelayMs === 0) return false;
    return leftMs < (options.latencyModel.getExpectedMs(route, "any") ?? 0);
  }

  /** Whether a request can use all of its time before this process ends. */
  function mayFinish({ route, metadata, arrivedAtMs }: CallerRequest): boolean {
    const endMs = computeResponseEndMs(route, metadata, arrivedAtMs);
    return options.processEnd.isAfter(endMs);
  }

  /** Refuses a request that crashes servers, with the time when it may run. */
  function refuseSetAside(
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
      "set-aside request refused",
    );
    return giveUp(progress, "set_aside", retryAfterMs);
  }

  function createProgress(request: CallerRequest): RequestProgress {
    const { route, account, metadata, arrivedAtMs } = request;
    return {
      request,
      fingerprint: computeFingerprint(request),
      service: options.splitter.pickService(route),
      objectKey: metadata.objectKey ?? `unkeyed ${random()}`,
      priority: getPriority(route, account),
      usesObjectCache: metadata.objectKey !== undefined && route.isSticky,
      deadlineAtMs: computeDeadlineAtMs(route, metadata, arrivedAtMs),
      triedServers: new Set(),
      excludedServers: new Set(),
      pathFailures: 0,
      lastUtilization: Infinity,
      prospect: undefined,
      wait: undefined,
      fallback: undefined,
      lost: undefined,
    };
  }

  async function runAttempt(
    progress: RequestProgress,
    { server, isCached, isTrial }: PlacedAttempt,
    remainingMs: number,
  ): Promise<NextStep> {
    const { request } = progress;
    waitQueue.recordEnd(progress, "placed");
    progress.triedServers.add(server.listed.id);
    progress.excludedServers.add(server.listed.id);
    if (request.account !== undefined && mayHaveRun(progress)) {
      options.limiter.charge(request.account);
    }
    const startedAtMs = clock.monotonicMs();
    const utilizationAtStart = server.load.getUtilization();
    progress.lastUtilization = utilizationAtStart;
    const depth = progress.usesObjectCache
      ? cacheModel.recordRequest(server.listed.id, makeObjectName(progress))
      : undefined;
    server.load.begin();
    const bodyBytes = getCountedBytes(request);
    if (bodyBytes > 0) {
      inflightBodies.begin(server, request.route.name, bodyBytes);
    }
    const attempt = transport.send({
      server: server.listed,
      request,
      fingerprint: progress.fingerprint,
      remainingMs,
      maySend: () =>
        registry.isUsable(server) && options.permits.isValid(server.listed) &&
        (mayHaveRun(progress) || mayFinish(request)),
    });
    const onClientLeft = () => attempt.abort("client_left");
    request.signal.addEventListener("abort", onClientLeft);
    const timer = deadlineTimers.after(
      remainingMs,
      () => attempt.abort("timeout"),
    );
    const stopWatching = abortWhenSetAside(progress, attempt);
    const outcome = await attempt.result;
    const { result } = outcome;
    timer.cancel();
    stopWatching();
    request.signal.removeEventListener("abort", onClientLeft);
    const tookMs = clock.monotonicMs() - startedAtMs;
    options.observer.recordAttempt(progress, server, {
      ...outcome,
      tookMs,
      utilizationAtStart,
      depth,
      isCached,
      isTrial,
    });
    server.load.end();
    const heldBytes = bodyBytes > 0
      ? inflightBodies.end(server, bodyBytes, result.kind === "answer")
      : 0;
    if (
      heldBytes > 0 && !outcome.isPathBroken &&
      isLongTimeout(request, result, tookMs) &&
      !server.health.hasRespondedSince(startedAtMs)
    ) inflightBodies.recordServerEnd(server, heldBytes);
    options.permits.end(server.listed, toPermitOutcome(result));
    waitQueue.notify(progress.service);
    // A proxying VM checks the server itself.
    const isOwnCut = result.kind === "lost" && result.reason === "cut" &&
      outcome.via === undefined && !outcome.isPathBroken;
    if (isOwnCut) {
      const checkDone = recordCut(progress, server, heldBytes);
      // A request that must not run twice isn't retried, so it doesn't wait.
      if (request.route.kind === "idempotent") await checkDone;
    }
    return evaluateResult(progress, server, outcome);
  }

  /**
   * Aborts an attempt when its request is set aside, unless it must not run
   * twice. With queues of 0.3 s, each copy still queued at a server would crash
   * one more server.
   */
  function abortWhenSetAside(
    { request, fingerprint }: RequestProgress,
    attempt: Pick<Attempt, "abort">,
  ): () => void {
    if (request.route.kind === "non_idempotent") return () => {};
    return suspects.watch(fingerprint, () => attempt.abort("set_aside"));
  }

  /**
   * Records a crash if the server is gone, not only the connection to it.
   *
   * @param progress The request.
   * @param server The server that it was sent to.
   * @param heldBytes Bytes of large bodies that the server held of this VM; 0
   *   where the request's body is small.
   */
  async function recordCut(
    progress: RequestProgress,
    server: KnownServer,
    heldBytes: number,
  ): Promise<void> {
    const { request, fingerprint } = progress;
    const verdict = await options.crashCheck.check(server.listed);
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
    // A draining server would have stopped under any request.
    if (verdict === "runs" || !registry.isUsable(server)) return;
    if (verdict === "own_link") return;
    if (heldBytes > 0) inflightBodies.recordServerEnd(server, heldBytes);
    if (verdict !== "ended") return;
    suspects.recordCrash(fingerprint, server.listed.id);
  }

  /** Lets a request that was not sent to a server be placed there again. */
  function forgetAttempt(
    { triedServers, excludedServers }: RequestProgress,
    { listed }: KnownServer,
  ): void {
    triedServers.delete(listed.id);
    excludedServers.delete(listed.id);
  }

  function evaluateResult(
    progress: RequestProgress,
    server: KnownServer,
    { result, isPathBroken }: TransportOutcome,
  ): NextStep {
    if (result.kind === "no_path") {
      return { kind: "done", result: giveUp(progress, "out_of_reach") };
    }
    if (result.kind === "not_sent") {
      // The same server may be reached by way of another VM.
      if (isPathBroken && progress.pathFailures < MAX_PATH_FAILURES) {
        progress.pathFailures++;
        forgetAttempt(progress, server);
      }
      return { kind: "again" };
    }
    if (result.kind === "withheld") {
      // It was no attempt, but what this VM knows would place it there again.
      progress.triedServers.delete(server.listed.id);
      return { kind: "again" };
    }
    if (result.kind === "withdrawn") {
      forgetAttempt(progress, server);
      return { kind: "again" };
    }
    if (result.kind === "answer") {
      suspects.recordAnswer(progress.fingerprint);
      return evaluateAnswer(progress, result.answer);
    }
    if (result.kind === "not_run") {
      if (result.reason === "other_server") {
        registry.markReplaced(server.listed.id);
      }
      return retryOrFinish(
        progress,
        () => giveUp(progress, "not_run_anywhere"),
      );
    }
    if (result.reason === "client_left") {
      return { kind: "done", result: { kind: "client_left" } };
    }
    progress.lost = result.reason;
    if (progress.request.route.kind === "non_idempotent") {
      return { kind: "done", result: giveUp(progress, "too_late") };
    }
    return retryOrFinish(progress, () => giveUp(progress, "too_late"));
  }

  function evaluateAnswer(
    progress: RequestProgress,
    answer: ServerAnswer,
  ): NextStep {
    const result: ServeResult = { kind: "answer", answer };
    const isRepeatable = progress.request.route.kind === "idempotent";
    if (answer.status < MIN_SERVER_ERROR_STATUS || !isRepeatable) {
      return { kind: "done", result };
    }
    progress.fallback = answer;
    return retryOrFinish(progress, () => result);
  }

  function retryOrFinish(
    progress: RequestProgress,
    getResult: () => ServeResult,
  ): NextStep {
    const { request, triedServers, service } = progress;
    const denial = findRetryDenial(progress);
    log.info(
      {
        requestId: request.metadata.requestId,
        service,
        tried: triedServers.size,
        denial,
      },
      denial === undefined ? "retry" : "no retry",
    );
    if (denial === undefined) return { kind: "again" };
    return { kind: "done", result: getResult() };
  }

  function findRetryDenial(progress: RequestProgress): RetryDenial | undefined {
    const { request, triedServers, service, fingerprint } = progress;
    if (triedServers.size >= request.route.maxAttempts) return "attempts_used";
    if (!mayRetry(suspects.assess(fingerprint))) return "servers_ended";
    if (!hasTimeForAttempt(progress)) return "too_late";
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
    const utilization = reason === "not_run_anywhere"
      ? progress.lastUtilization
      : Infinity;
    return {
      kind: "refused",
      reason,
      retryAfterMs: retryAfterMs ??
        options.latencyModel.getRetryAfterMs(route, utilization, random()),
    };
  }

  return { handle };
}
