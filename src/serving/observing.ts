/**
 * What the end of an attempt tells: of the server, of the route's pace, of what
 * the server remembers.
 *
 * @module
 */
import type { ObjectMemory } from "../placement/memory.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Retention } from "../placement/retention.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { ServerBackoffs } from "../servers/backoffs.ts";
import type { ServerRateLimits } from "../servers/rate_limits.ts";
import type { RunTimes } from "../servers/run_times.ts";
import type { Log } from "../telemetry/log.ts";
import type { PaceTable } from "./pace.ts";
import { nameObject, type Progress } from "./progress.ts";
import {
  type ExchangeResult,
  FIRST_SERVER_ERROR,
  type LossReason,
} from "./types.ts";

/** What observing needs. */
export interface ObserverParts {
  clock: Clock;
  log: Log;
  pace: PaceTable;
  memory: ObjectMemory;
  retention: Retention;
  runTimes: RunTimes;
  rateLimits: Pick<ServerRateLimits, "record">;
  registry: Pick<ServerRegistry, "markDraining">;
  backoffs: Pick<ServerBackoffs, "begin">;
}

/** How one attempt ended. */
export interface AttemptEnd {
  result: ExchangeResult;
  tookMs: number;
  /** Load of the server when the attempt was sent. */
  useAtStart: number;
  /**
   * For how many other objects the server was asked since it was last asked for
   * this one; undefined where it never was.
   */
  depth: number | undefined;
  /** Whether the server was taken to know the object. */
  isKnown: boolean;
}

/** Learns from attempts. */
export interface Observer {
  /** Notes the end of an attempt. */
  note(progress: Progress, server: KnownServer, end: AttemptEnd): void;
}

/**
 * Requests a slot below which answers hardly waited: how long they took tells
 * what the server knew.
 */
const UNLOADED_USE = 0.8;
/** Requests a slot below which a request is begun at once, by and large. */
const FREE_SLOT_USE = 1;

/**
 * @param parts What observing needs.
 * @returns An observer.
 */
export function createObserver(parts: ObserverParts): Observer {
  const { clock, log, pace, memory, retention, runTimes } = parts;

  function note(
    progress: Progress,
    server: KnownServer,
    end: AttemptEnd,
  ): void {
    const { result, tookMs } = end;
    noteSignals(server, result);
    if (result.kind === "answer") noteAnswer(progress, server, end);
    if (result.kind === "not_run") server.health.recordOutcome("shed");
    if (result.kind === "not_sent") server.health.recordOutcome("unreachable");
    if (result.kind === "lost") noteLoss(server, result.reason, tookMs);
    if (
      progress.hasObject && end.depth === undefined && !hasBegun(end)
    ) {
      memory.forget(server.listed.id, nameObject(progress));
    }
    log.info(
      {
        requestId: progress.request.terms.requestId,
        server: server.listed.id,
        attempt: progress.tried.size,
        tookMs: Math.round(tookMs),
        isFirst: progress.hasObject && !end.isKnown,
        depth: end.depth,
        ...describeResult(result),
        ...describeSignals(result),
      },
      "attempt ended",
    );
  }

  function noteSignals(server: KnownServer, result: ExchangeResult): void {
    if (result.kind !== "answer" && result.kind !== "not_run") return;
    if (result.kind === "not_run" && result.reason === "other_server") return;
    const { load, limitPerS, isDraining, backoffMs } = result.signals;
    if (load !== undefined) server.load.report(load);
    parts.rateLimits.record(server.listed.id, limitPerS);
    if (isDraining) parts.registry.markDraining(server);
    if (backoffMs !== undefined) {
      parts.backoffs.begin(server.listed.id, backoffMs);
    }
  }

  function noteAnswer(
    progress: Progress,
    server: KnownServer,
    end: AttemptEnd,
  ): void {
    const { result, tookMs, useAtStart } = end;
    if (result.kind !== "answer") return;
    if (result.signals.backoffMs !== undefined) {
      return server.health.recordOutcome("shed");
    }
    if (result.answer.status >= FIRST_SERVER_ERROR) {
      return server.health.recordOutcome("failed");
    }
    server.health.recordOutcome("answered");
    const { route } = progress.request;
    pace.note(route, tookMs, useAtStart);
    runTimes.record(progress.service, tookMs);
    if (progress.hasObject && useAtStart < UNLOADED_USE) {
      noteRecall(progress, end);
    }
  }

  /** Tells from how long an answer took what its server remembers. */
  function noteRecall(progress: Progress, { depth, tookMs }: AttemptEnd): void {
    const { route } = progress.request;
    const wasKnown = pace.wasKnown(route, tookMs);
    pace.noteRun(route, depth, tookMs);
    if (wasKnown === undefined || depth === undefined) return;
    const before = retention.getKept(progress.service);
    retention.note(progress.service, depth, wasKnown);
    const kept = retention.getKept(progress.service);
    if (kept === before) return;
    const { service } = progress;
    log.info(
      { service, depth, wasKnown, tookMs, before, kept },
      "kept objects",
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
    if (reason === "client_left" || reason === "set_aside") return;
    if (reason !== "timeout") return server.health.recordOutcome("failed");
    const sentAtMs = clock.monotonicMs() - tookMs;
    if (server.health.hasRespondedSince(sentAtMs)) return;
    server.health.recordOutcome("unreachable");
  }

  return { note };
}

/**
 * Whether a server is taken to have begun a request: it knows the object from
 * then on, also where the request is cut off. Of first runs that were cut off
 * after 3 s, 25 were asked for again soon; 22 of these took 0.8 s, where first
 * runs take 2.4 s.
 */
function hasBegun({ result, useAtStart }: AttemptEnd): boolean {
  if (result.kind === "answer") {
    return result.answer.status < FIRST_SERVER_ERROR;
  }
  if (result.kind !== "lost") return false;
  const isCutOffHere = result.reason === "timeout" ||
    result.reason === "client_left";
  return isCutOffHere && useAtStart < FREE_SLOT_USE;
}

function describeResult(result: ExchangeResult): Record<string, unknown> {
  if (result.kind === "answer") {
    return { outcome: "answer", status: result.answer.status };
  }
  if (result.kind === "lost") {
    return { outcome: result.reason, detail: result.detail };
  }
  if (result.kind === "withdrawn") return { outcome: result.kind };
  return { outcome: result.kind, reason: result.reason };
}

/** What the server asked for; nothing where it asked for nothing. */
function describeSignals(result: ExchangeResult): Record<string, unknown> {
  if (result.kind !== "answer" && result.kind !== "not_run") return {};
  const { limitPerS, isDraining, backoffMs } = result.signals;
  return { limitPerS, backoffMs, ...(isDraining ? { isDraining } : {}) };
}
