/**
 * Serves one request: chooses servers, sends, retries what may be retried, and
 * ends it in time.
 *
 * A request that isn't idempotent is sent again only after its server said
 * that it did not run, or where no byte of it can have left this VM.
 *
 * @module
 */
import { chooseServer } from "../placement/choose.ts";
import type { ObjectMemory } from "../placement/memory.ts";
import type { Ranking } from "../placement/ranking.ts";
import type { RegionPlan } from "../placement/regions.ts";
import {
  pickRegion,
  type RegionShare,
  scaleToOne,
} from "../placement/shares.ts";
import type { RetryBudget } from "../retries/budget.ts";
import type { Splitter } from "../routing/split.ts";
import type { ServiceTerms } from "../routing/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { Random } from "../runtime/random.ts";
import type { ColdLimit } from "../servers/cold_limit.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { Log } from "../telemetry/log.ts";
import type { Exchange } from "./exchange.ts";
import type { DemandMeter } from "./demand.ts";
import type { PaceTable } from "./pace.ts";
import type {
  CallerRequest,
  ExchangeResult,
  LossReason,
  RefusalReason,
  ServerAnswer,
  ServeResult,
} from "./types.ts";

/** What serving needs. */
export interface FlowParts {
  clock: Clock;
  log: Log;
  random: Random;
  registry: ServerRegistry;
  ranking: Ranking;
  plan: RegionPlan;
  coldLimit: ColdLimit;
  budget: RetryBudget;
  splitter: Splitter;
  demand: DemandMeter;
  pace: PaceTable;
  exchange: Exchange;
  memory: ObjectMemory;
  /** Terms of a service in the configuration in force. */
  getTerms: (service: string) => ServiceTerms | undefined;
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
/** Answers of this status and above are failures of the server. */
const FIRST_SERVER_ERROR = 500;

interface Progress {
  request: CallerRequest;
  service: string;
  objectKey: string;
  endsAtMs: number;
  tried: Set<string>;
  /** Attempts that a server received, as far as is known. */
  sent: number;
  /** An answer that a retry was hoped to better. */
  fallback: ServerAnswer | undefined;
  lost: LossReason | undefined;
}

interface AttemptFigures {
  tookMs: number;
  /** Load of the server when the attempt was sent. */
  useAtStart: number;
}

/** Why a request is not sent again. */
type RetryDenial = "attempts_used" | "too_late" | "budget_spent";

type Step = { kind: "again" } | { kind: "done"; result: ServeResult };

/**
 * @param parts What serving needs.
 * @returns The flow of requests through this VM.
 */
export function createFlow(parts: FlowParts): Flow {
  const { clock, log, random, registry, exchange, budget } = parts;

  async function serve(request: CallerRequest): Promise<ServeResult> {
    const progress = begin(request);
    const { route } = request;
    budget.noteRequest(progress.service);
    parts.demand.note(progress.service);
    for (;;) {
      if (request.signal.aborted) return { kind: "client_left" };
      const remainingMs = progress.endsAtMs - clock.monotonicMs();
      if (remainingMs < MIN_ATTEMPT_MS) return giveUp(progress, "too_late");
      const server = choose(progress);
      if (typeof server === "string") return giveUp(progress, server);
      const step = await attempt(progress, server, remainingMs);
      if (step.kind === "done") return step.result;
      if (progress.tried.size >= route.maxAttempts) {
        return giveUp(progress, "not_run_anywhere");
      }
    }
  }

  function begin(request: CallerRequest): Progress {
    const { route, terms, arrivedAtMs } = request;
    const deadlineMs = terms.deadlineMs ?? DEFAULT_DEADLINE_MS;
    return {
      request,
      service: parts.splitter.pickService(route),
      objectKey: terms.objectKey ?? `unkeyed ${random()}`,
      endsAtMs: arrivedAtMs + Math.min(route.timeoutMs, deadlineMs),
      tried: new Set(),
      sent: 0,
      fallback: undefined,
      lost: undefined,
    };
  }

  function choose(progress: Progress): KnownServer | RefusalReason {
    const { request, service, objectKey, tried } = progress;
    const { route } = request;
    const shares = parts.plan.getShares(service, route.homeRegions);
    const regions = orderRegions(shares, service, objectKey);
    const candidates = regions.map((region) =>
      parts.ranking.rank(service, region, objectKey)
    );
    const choice = chooseServer(
      {
        candidates,
        tried,
        maxUse: parts.pace.getMaxUse(route),
        coldRatePerS: parts.getTerms(service)?.coldRequestsPerS ?? 0,
        knowsObject: (id) => parts.memory.knows(id, memoryKey(progress)),
      },
      parts.coldLimit,
      clock,
    );
    const { requestId } = request.terms;
    if (choice.kind !== "server") {
      log.info({ requestId, service, regions, choice: choice.kind }, "choose");
      return choice.kind === "full" ? "all_full" : "no_server";
    }
    const { server, rank, use } = choice;
    log.info(
      {
        requestId,
        service,
        objectKey,
        regions,
        server: server.listed.id,
        rank,
        use,
      },
      "choose",
    );
    return server;
  }

  /**
   * The object's region, or another one where that has no server.
   * Sending on what finds its region full scatters objects over servers that
   * don't know them: it gained nothing against refusing.
   */
  function orderRegions(
    shares: readonly RegionShare[],
    service: string,
    objectKey: string,
  ): string[] {
    const position = hashToUnit(`${service} ${objectKey}`, REGION_SEED);
    const hasServers = ({ region }: RegionShare) =>
      parts.ranking.rank(service, region, objectKey).length > 0;
    const first = pickRegion(shares, position);
    const isServed = shares.some((share) =>
      share.region === first && hasServers(share)
    );
    if (first !== undefined && isServed) return [first];
    const other = pickRegion(scaleToOne(shares.filter(hasServers)), position);
    return other === undefined ? [] : [other];
  }

  async function attempt(
    progress: Progress,
    server: KnownServer,
    remainingMs: number,
  ): Promise<Step> {
    const { request } = progress;
    progress.tried.add(server.listed.id);
    const startedAtMs = clock.monotonicMs();
    const useAtStart = server.load.getUse();
    server.load.begin();
    const running = exchange.send(server.listed, request, remainingMs);
    const leave = () => running.abort("client_left");
    request.signal.addEventListener("abort", leave);
    const timer = clock.after(remainingMs, () => running.abort("timeout"));
    const result = await running.result;
    timer.cancel();
    request.signal.removeEventListener("abort", leave);
    const tookMs = clock.monotonicMs() - startedAtMs;
    noteResult(progress, server, result, { tookMs, useAtStart });
    server.load.end();
    return judge(progress, server, result);
  }

  function noteResult(
    progress: Progress,
    server: KnownServer,
    result: ExchangeResult,
    { tookMs, useAtStart }: AttemptFigures,
  ): void {
    if (result.kind === "answer" || result.kind === "not_run") {
      if (result.load !== undefined) server.load.report(result.load);
    }
    if (result.kind === "answer") {
      const isError = result.answer.status >= FIRST_SERVER_ERROR;
      server.health.note(isError ? "failed" : "answered");
      if (!isError) {
        parts.pace.note(progress.request.route, tookMs, useAtStart);
        parts.memory.note(server.listed.id, memoryKey(progress));
      }
    }
    if (result.kind === "not_run") server.health.note("shed");
    if (result.kind === "not_sent") server.health.note("unreachable");
    if (result.kind === "lost") noteLoss(server, result.reason, tookMs);
    log.info(
      {
        requestId: progress.request.terms.requestId,
        server: server.listed.id,
        attempt: progress.tried.size,
        tookMs: Math.round(tookMs),
        ...describeResult(result),
      },
      "attempt ended",
    );
  }

  /**
   * A request that runs out of time on a server that answers others is a sign
   * of load. Keeping such servers out moved their load to the rest, which then
   * ran out of time as well.
   */
  function noteLoss(
    server: KnownServer,
    reason: LossReason,
    tookMs: number,
  ): void {
    if (reason === "client_left") return;
    if (reason !== "timeout") return server.health.note("failed");
    const sentAtMs = clock.monotonicMs() - tookMs;
    if (server.health.wasHeardSince(sentAtMs)) return;
    server.health.note("unreachable");
  }

  function judge(
    progress: Progress,
    server: KnownServer,
    result: ExchangeResult,
  ): Step {
    if (result.kind === "not_sent") return { kind: "again" };
    progress.sent++;
    if (result.kind === "answer") return judgeAnswer(progress, result.answer);
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
    const { request, tried, service } = progress;
    if (tried.size >= request.route.maxAttempts) return "attempts_used";
    const leftMs = progress.endsAtMs - clock.monotonicMs();
    if (leftMs < MIN_ATTEMPT_MS) return "too_late";
    return budget.take(service) ? undefined : "budget_spent";
  }

  function giveUp(progress: Progress, reason: RefusalReason): ServeResult {
    if (progress.fallback !== undefined) {
      return { kind: "answer", answer: progress.fallback };
    }
    if (progress.lost === "timeout") return { kind: "timed_out" };
    if (progress.lost !== undefined) {
      return { kind: "failed", reason: progress.lost };
    }
    const { route } = progress.request;
    const retryAfterMs = parts.pace.getRetryAfterMs(route, random());
    return { kind: "refused", reason, retryAfterMs };
  }

  return { serve };
}

/** Servers remember objects by route: another route does other work on it. */
function memoryKey({ request, objectKey }: Progress): string {
  return `${request.route.prefix} ${objectKey}`;
}

/** Sets the choice of a region apart from that of a server. */
const REGION_SEED = 7;

function describeResult(result: ExchangeResult): Record<string, unknown> {
  if (result.kind === "answer") {
    return { outcome: "answer", status: result.answer.status };
  }
  if (result.kind === "lost") {
    return { outcome: result.reason, detail: result.detail };
  }
  return { outcome: result.kind, reason: result.reason };
}
