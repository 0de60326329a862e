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
import type { Suspects } from "../quarantine/suspects.ts";
import { type Judgement, maySendAgain } from "../quarantine/types.ts";
import type { RetryBudget } from "../retries/budget.ts";
import type { Splitter } from "../routing/split.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import type { CrashCheck } from "../servers/crash_check.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { PermitOutcome, ServerPermits } from "../servers/permits.ts";
import type { Log } from "../telemetry/log.ts";
import type { DemandMeter } from "./demand.ts";
import type { Attempt, Exchange } from "./exchange.ts";
import type { Observer } from "./observing.ts";
import type { PaceTable } from "./pace.ts";
import type { Placed, Placer } from "./placing.ts";
import { nameObject, type Progress } from "./progress.ts";
import {
  type CallerRequest,
  type ExchangeResult,
  FIRST_SERVER_ERROR,
  type RefusalReason,
  type ServerAnswer,
  type ServeResult,
} from "./types.ts";

/** What serving needs. */
export interface FlowParts {
  clock: Clock;
  log: Log;
  random: Random;
  registry: ServerRegistry;
  placer: Placer;
  observer: Observer;
  budget: RetryBudget;
  splitter: Splitter;
  demand: DemandMeter;
  pace: PaceTable;
  memory: ObjectMemory;
  exchange: Exchange;
  endCheck: CrashCheck;
  suspects: Suspects;
  permits: ServerPermits;
  /** Limits of client accounts. */
  limiter: RateLimiter;
}

/** Serves requests. */
export interface Flow {
  /** @returns How the request ends; never rejects. */
  serve(request: CallerRequest): Promise<ServeResult>;
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
  const { method, headers, path, terms, caller, body } = request;
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
function mayHaveRun({ fallback, lost }: Progress): boolean {
  return fallback !== undefined || lost !== undefined;
}

function toPermitEnd(result: ExchangeResult): PermitOutcome {
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
export function createFlow(parts: FlowParts): Flow {
  const { clock, log, random, registry, exchange, budget, memory, suspects } =
    parts;

  async function serve(request: CallerRequest): Promise<ServeResult> {
    const progress = begin(request);
    const { route } = request;
    budget.noteRequest(progress.service);
    parts.demand.note(progress.service);
    for (;;) {
      if (request.signal.aborted) return { kind: "client_left" };
      const judgement = suspects.judge(progress.fingerprint);
      if (judgement.kind === "set_aside") {
        return turnAway(progress, judgement);
      }
      const remainingMs = progress.endsAtMs - clock.monotonicMs();
      if (remainingMs < MIN_ATTEMPT_MS) return giveUp(progress, "too_late");
      const placed = parts.placer.place(progress);
      if (placed.kind === "not_placed") {
        return giveUp(progress, placed.reason, placed.retryAfterMs);
      }
      if (judgement.kind === "suspect") {
        suspects.noteTried(progress.fingerprint);
      }
      const step = await attempt(progress, placed, remainingMs);
      if (step.kind === "done") return step.result;
      if (progress.tried.size >= route.maxAttempts) {
        return giveUp(progress, "not_run_anywhere");
      }
    }
  }

  /** Refuses at once what ends servers; clients are told when it may run. */
  function turnAway(
    progress: Progress,
    { ends, retryAfterMs }: Extract<Judgement, { kind: "set_aside" }>,
  ): ServeResult {
    const { request, fingerprint } = progress;
    const nowMs = clock.monotonicMs();
    log.info(
      {
        requestId: request.terms.requestId,
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

  function begin(request: CallerRequest): Progress {
    const { route, terms, arrivedAtMs } = request;
    const deadlineMs = terms.deadlineMs ?? DEFAULT_DEADLINE_MS;
    return {
      request,
      fingerprint: fingerprintOf(request),
      service: parts.splitter.pickService(route),
      objectKey: terms.objectKey ?? `unkeyed ${random()}`,
      hasObject: terms.objectKey !== undefined && route.isSticky,
      endsAtMs: arrivedAtMs + Math.min(route.timeoutMs, deadlineMs),
      tried: new Set(),
      lastUse: Infinity,
      fallback: undefined,
      lost: undefined,
    };
  }

  async function attempt(
    progress: Progress,
    { server, isKnown }: Placed,
    remainingMs: number,
  ): Promise<Step> {
    const { request } = progress;
    progress.tried.add(server.listed.id);
    if (request.account !== undefined && mayHaveRun(progress)) {
      parts.limiter.charge(request.account);
    }
    const startedAtMs = clock.monotonicMs();
    const useAtStart = server.load.getUtilization();
    progress.lastUse = useAtStart;
    const depth = progress.hasObject
      ? memory.note(server.listed.id, nameObject(progress))
      : undefined;
    server.load.begin();
    const running = exchange.send(
      server.listed,
      request,
      remainingMs,
      () => registry.isUsable(server) && parts.permits.isValid(server.listed),
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
    parts.observer.note(progress, server, {
      result,
      tookMs,
      useAtStart,
      depth,
      isKnown,
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
    { request, fingerprint }: Progress,
    running: Attempt,
  ): () => void {
    if (request.route.kind === "non_idempotent") return () => {};
    return suspects.watch(fingerprint, () => running.abort("set_aside"));
  }

  /** Tells a server that ended under a request from a connection that broke. */
  async function noteCut(
    progress: Progress,
    server: KnownServer,
  ): Promise<void> {
    const { request, fingerprint } = progress;
    const verdict = await parts.endCheck.check(server.listed);
    log.info(
      {
        requestId: request.terms.requestId,
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
    suspects.noteEnd(fingerprint, server.listed.id);
  }

  function judge(
    progress: Progress,
    server: KnownServer,
    result: ExchangeResult,
  ): Step {
    if (result.kind === "not_sent") return { kind: "again" };
    if (result.kind === "withdrawn") {
      progress.tried.delete(server.listed.id);
      return { kind: "again" };
    }
    if (result.kind === "answer") {
      suspects.noteAnswer(progress.fingerprint);
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

  function judgeAnswer(progress: Progress, answer: ServerAnswer): Step {
    const result: ServeResult = { kind: "answer", answer };
    const isRepeatable = progress.request.route.kind === "idempotent";
    if (answer.status < FIRST_SERVER_ERROR || !isRepeatable) {
      return { kind: "done", result };
    }
    progress.fallback = answer;
    return retryOr(progress, () => result);
  }

  function retryOr(progress: Progress, end: () => ServeResult): Step {
    const { request, tried, service } = progress;
    const denial = findDenial(progress);
    log.info(
      {
        requestId: request.terms.requestId,
        service,
        tried: tried.size,
        denial,
      },
      denial === undefined ? "retry" : "no retry",
    );
    if (denial === undefined) return { kind: "again" };
    return { kind: "done", result: end() };
  }

  function findDenial(progress: Progress): RetryDenial | undefined {
    const { request, tried, service, fingerprint } = progress;
    if (tried.size >= request.route.maxAttempts) return "attempts_used";
    if (!maySendAgain(suspects.judge(fingerprint))) return "servers_ended";
    const leftMs = progress.endsAtMs - clock.monotonicMs();
    if (leftMs < MIN_ATTEMPT_MS) return "too_late";
    return budget.take(service) ? undefined : "budget_spent";
  }

  function giveUp(
    progress: Progress,
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
    const use = reason === "not_run_anywhere" ? progress.lastUse : Infinity;
    return {
      kind: "refused",
      reason,
      retryAfterMs: retryAfterMs ??
        parts.pace.getRetryAfterMs(route, use, random()),
    };
  }

  return { serve };
}
