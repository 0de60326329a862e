/**
 * Evaluates finished attempts: updates what this VM knows of the server's
 * health and load, of the route's latency and of the server's object cache.
 *
 * @module
 */
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import type { Clock } from "../runtime/clock.ts";
import type { CacheSizeEstimator } from "../placement/cache_size.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { Withheld } from "../proxying/proxy_headers.ts";
import type { ServerBackoffs } from "../servers/backoffs.ts";
import type { ServerRateLimits } from "../servers/rate_limits.ts";
import type { ServerReachability } from "../servers/reachability.ts";
import type { RunTimes } from "../servers/run_times.ts";
import type { ServerSignals } from "../servers/signals.ts";
import { limitSlowdown } from "../servers/speed.ts";
import type { Log } from "../telemetry/log.ts";
import type { LatencyModel } from "./latency_model.ts";
import { makeObjectName, type RequestProgress } from "./request_progress.ts";
import type { TransportOutcome } from "./server_transport.ts";
import {
  type ExchangeResult,
  type LossReason,
  MIN_SERVER_ERROR_STATUS,
} from "./types.ts";

/** Options of an attempt observer. */
export interface AttemptObserverOptions {
  clock: Clock;
  log: Log;
  latencyModel: LatencyModel;
  cacheModel: ObjectCacheModel;
  cacheSizeEstimator: CacheSizeEstimator;
  runTimes: RunTimes;
  rateLimits: Pick<ServerRateLimits, "record">;
  registry: Pick<ServerRegistry, "markDraining">;
  backoffs: Pick<ServerBackoffs, "begin">;
  reachability: Pick<ServerReachability, "recordOwn" | "endTrial">;
}

/** Outcome of one attempt. */
export interface AttemptOutcome extends TransportOutcome {
  /** Duration of the attempt. */
  tookMs: number;
  /** Utilization of the server at the start, in requests per slot. */
  utilizationAtStart: number;
  /**
   * Number of other objects requested from the server since its last request
   * for this one; undefined where there was none.
   */
  depth: number | undefined;
  /** Whether the server was expected to have cached the object. */
  isCached: boolean;
  /** Whether it was the trial request of an avoided server. */
  isTrial: boolean;
}

/** Updates this VM's knowledge from finished attempts. */
export interface AttemptObserver {
  /**
   * Records a finished attempt.
   *
   * @param progress The request.
   * @param server The server that it was sent to.
   * @param outcome How the attempt ended.
   */
  recordAttempt(
    progress: RequestProgress,
    server: KnownServer,
    outcome: AttemptOutcome,
  ): void;
  /**
   * Records how a server ended an attempt of another VM.
   *
   * @param server The server.
   * @param result The result.
   */
  recordProxied(server: KnownServer, result: ExchangeResult): void;
}

/**
 * Utilization, in requests per slot, below which answers hardly queue, so that
 * their duration shows whether the server had cached the object.
 */
const UNLOADED_UTILIZATION = 0.8;
/** Requests per slot below which a request usually starts without queueing. */
const FREE_SLOT_UTILIZATION = 1;

/**
 * @param options Dependencies.
 * @returns An observer.
 */
export function createAttemptObserver(
  options: AttemptObserverOptions,
): AttemptObserver {
  const {
    clock,
    log,
    latencyModel,
    cacheModel,
    cacheSizeEstimator,
    runTimes,
    reachability,
  } = options;

  function recordAttempt(
    progress: RequestProgress,
    server: KnownServer,
    outcome: AttemptOutcome,
  ): void {
    const { result, tookMs, via, isPathBroken } = outcome;
    if (result.kind === "withheld") recordWithheld(server, result);
    else if (result.kind !== "no_path") recordSignals(server, result);
    // What a proxying VM observed it tells the others itself.
    if (via === undefined && !isPathBroken) recordReachability(server, result);
    if (outcome.isTrial) reachability.endTrial(server.listed.id);
    if (result.kind === "answer") recordAnswer(progress, server, outcome);
    if (result.kind === "not_run") server.health.recordOutcome("shed");
    if (!isPathBroken) recordFailure(server, outcome);
    if (
      progress.usesObjectCache && outcome.depth === undefined &&
      !hasProbablyStarted(outcome)
    ) {
      cacheModel.forget(server.listed.id, makeObjectName(progress));
    }
    log.info(
      {
        requestId: progress.request.metadata.requestId,
        server: server.listed.id,
        attempt: progress.triedServers.size,
        tookMs: Math.round(tookMs),
        isFirst: progress.usesObjectCache && !outcome.isCached,
        depth: outcome.depth,
        via,
        ...(isPathBroken ? { isPathBroken } : {}),
        ...describeResult(result),
        ...describeSignals(result),
      },
      "attempt ended",
    );
  }

  /** Records an attempt without a response of the server. */
  function recordFailure(
    server: KnownServer,
    { result, tookMs, via }: AttemptOutcome,
  ): void {
    if (result.kind === "not_sent") server.health.recordOutcome("unreachable");
    if (result.kind !== "lost") return;
    recordLoss(server, result.reason, { tookMs, isOwn: via === undefined });
  }

  function recordProxied(server: KnownServer, result: ExchangeResult): void {
    recordSignals(server, result);
    recordReachability(server, result);
    if (result.kind === "not_sent") server.health.recordOutcome("unreachable");
    if (result.kind === "not_run") server.health.recordOutcome("shed");
    if (result.kind !== "answer") return;
    const hasFailed = result.answer.status >= MIN_SERVER_ERROR_STATUS;
    server.health.recordOutcome(hasFailed ? "failed" : "answered");
  }

  function recordSignals(server: KnownServer, result: ExchangeResult): void {
    if (result.kind !== "answer" && result.kind !== "not_run") return;
    if (result.kind === "not_run" && result.reason === "other_server") return;
    const { load, limitPerS, isDraining, backoffMs } = result.signals;
    if (load !== undefined) server.load.report(load);
    options.rateLimits.record(server.listed.id, limitPerS);
    recordAvailability(server, { isDraining, backoffMs });
  }

  /** Records a drain or backoff, as the server or a proxying VM tells of it. */
  function recordAvailability(
    server: KnownServer,
    { isDraining, backoffMs }: Pick<ServerSignals, "isDraining" | "backoffMs">,
  ): void {
    if (isDraining) options.registry.markDraining(server);
    if (backoffMs !== undefined) {
      options.backoffs.begin(server.listed.id, backoffMs);
    }
  }

  function recordWithheld(
    server: KnownServer,
    { reason, backoffMs }: Withheld,
  ): void {
    recordAvailability(server, {
      isDraining: reason === "draining",
      backoffMs,
    });
  }

  function recordAnswer(
    progress: RequestProgress,
    server: KnownServer,
    outcome: AttemptOutcome,
  ): void {
    const { result, tookMs, utilizationAtStart } = outcome;
    if (result.kind !== "answer") return;
    if (result.signals.backoffMs !== undefined) {
      return server.health.recordOutcome("shed");
    }
    if (result.answer.status >= MIN_SERVER_ERROR_STATUS) {
      return server.health.recordOutcome("failed");
    }
    server.health.recordOutcome("answered");
    const { route } = progress.request;
    const usualMs = tookMs / limitSlowdown(result.signals.load?.slowdown ?? 1);
    latencyModel.recordAnswer(route, usualMs, utilizationAtStart);
    runTimes.record(progress.service, usualMs);
    if (progress.usesObjectCache && utilizationAtStart < UNLOADED_UTILIZATION) {
      recordCacheResult(progress, { ...outcome, tookMs: usualMs });
    }
  }

  /** Learns the size of the servers' caches from the duration of an answer. */
  function recordCacheResult(
    progress: RequestProgress,
    { depth, tookMs }: AttemptOutcome,
  ): void {
    const { route } = progress.request;
    const wasCached = latencyModel.wasCached(route, tookMs);
    latencyModel.recordUnloadedAnswer(route, depth, tookMs);
    if (wasCached === undefined || depth === undefined) return;
    const before = cacheSizeEstimator.getCacheSize(progress.service);
    cacheSizeEstimator.record(progress.service, depth, wasCached);
    const kept = cacheSizeEstimator.getCacheSize(progress.service);
    if (kept === before) return;
    const { service } = progress;
    log.info(
      { service, depth, wasKnown: wasCached, tookMs, before, kept },
      "estimated cache size changed",
    );
  }

  /**
   * A timeout at a server that answers other requests is a sign of load, not of
   * a failure. Excluding such servers moved their load to the others, which
   * then timed out as well.
   */
  function recordLoss(
    server: KnownServer,
    reason: LossReason,
    { tookMs, isOwn }: { tookMs: number; isOwn: boolean },
  ): void {
    const isAborted = reason === "client_left" || reason === "set_aside" ||
      reason === "service_lost";
    if (isAborted) return;
    if (reason !== "timeout") return server.health.recordOutcome("failed");
    const sentAtMs = clock.monotonicMs() - tookMs;
    if (server.health.hasRespondedSince(sentAtMs)) return;
    server.health.recordOutcome("unreachable");
    if (isOwn) reachability.recordOwn(server.listed.id, "unanswered");
  }

  /**
   * Records whether the server responded. A connection that was refused or cut
   * shows neither: something responded, but not the server.
   */
  function recordReachability(
    { listed }: KnownServer,
    result: TransportOutcome["result"],
  ): void {
    const isResponse = result.kind === "answer" ||
      result.kind === "not_run" && result.reason !== "other_server";
    if (isResponse) reachability.recordOwn(listed.id, "responded");
    if (result.kind === "not_sent" && result.isUnresponsive) {
      reachability.recordOwn(listed.id, "unreachable");
    }
  }

  return { recordAttempt, recordProxied };
}

/**
 * Whether a server has probably started to run a request. It has then cached
 * the object, even where the request was aborted: of cache misses aborted after
 * 3 s, 25 were repeated soon, and 22 of these took 0.8 s, where a cache miss
 * takes 2.4 s.
 */
function hasProbablyStarted(
  { result, utilizationAtStart }: AttemptOutcome,
): boolean {
  if (result.kind === "answer") {
    return result.answer.status < MIN_SERVER_ERROR_STATUS;
  }
  if (result.kind !== "lost") return false;
  const isAbortedHere = result.reason === "timeout" ||
    result.reason === "client_left";
  return isAbortedHere && utilizationAtStart < FREE_SLOT_UTILIZATION;
}

function describeResult(
  result: TransportOutcome["result"],
): Record<string, unknown> {
  if (result.kind === "answer") {
    return { outcome: "answer", status: result.answer.status };
  }
  if (result.kind === "lost") {
    return { outcome: result.reason, detail: result.detail };
  }
  if (result.kind === "withdrawn" || result.kind === "no_path") {
    return { outcome: result.kind };
  }
  return { outcome: result.kind, reason: result.reason };
}

/** Log fields for the signals of the server; empty where it sent none. */
function describeSignals(
  result: TransportOutcome["result"],
): Record<string, unknown> {
  if (result.kind !== "answer" && result.kind !== "not_run") return {};
  const { load, limitPerS, isDraining, backoffMs } = result.signals;
  return {
    limitPerS,
    backoffMs,
    slowdown: load?.slowdown,
    ...(isDraining ? { isDraining } : {}),
  };
}
