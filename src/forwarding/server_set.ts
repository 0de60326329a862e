/**
 * Backend servers of one service as one entry sees them: limits, what is in
 * flight, how they behave, which take new work. Pure.
 *
 * @module
 */
import type { BackendServer, ServiceDocument } from "../config/schema.ts";
import type { HealthReport } from "../control/messages.ts";
import { createMovingMean, type MovingMean } from "../measurement/rate.ts";

/** Failures in a row after which a server gets no work for a while. */
const MAX_CONSECUTIVE_FAILURES = 3;
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
const LATENCY_SMOOTHING_FACTOR = 0.2;
/** Age at which a probe no longer says anything. */
export const PROBE_EXPIRY_MS = 5_000;

/** Time for a document to be in force everywhere, and for requests to end. */
export const SHARE_INCREASE_DELAY_MS = 15_000;

/** Why a server takes no new work. */
export type LeavingReason = "document" | "vm_list" | "health" | "answer";

/** One backend server. */
export interface ServerState {
  server: BackendServer;
  /** This entry's share of its slots. */
  share: number;
  /** A larger share by the documents, and when it may be used. */
  pendingShare: { share: number; fromMs: number } | undefined;
  inFlight: number;
  latency: MovingMean;
  latencyAtMs: number;
  failures: number;
  consecutiveEjections: number;
  ejectedUntilMs: number;
  /** It asked for rest until then. */
  backoffUntilMs: number;
  /** When it began to take work after being away; undefined: long ago. */
  coldSinceMs: number | undefined;
  health: HealthReport["state"];
  healthAtMs: number;
  reportedUse: number;
  lastSuccessMs: number;
  leaving: LeavingReason | undefined;
  leavingSinceMs: number;
  /** Time from the start of leaving until nothing was in flight. */
  drainMs: number | undefined;
}

/** All servers of a service in one failure domain. */
export interface ServerSet {
  document: ServiceDocument;
  servers: Map<string, ServerState>;
  /** Whether servers were synchronised before: later ones are cold. */
  hasSynced: boolean;
}

/** Which part of each server's slots belongs to an entry. */
export interface EntryPosition {
  /** Position of the entry among its failure domain's, from 0. */
  index: number;
  count: number;
}

/**
 * Splits slots among the entries of a failure domain by the documents alone:
 * the parts add up to the whole with no messages.
 *
 * @param slots Slots of the server.
 * @param serverIndex Position of the server, so that remainders spread.
 * @param entry Which entry asks.
 * @returns Its slots.
 */
export function getSlotShare(
  slots: number,
  serverIndex: number,
  { index, count }: EntryPosition,
): number {
  return Math.floor((slots + (index + serverIndex) % count) / count);
}

/** @returns A set that knows no server yet. */
export function createServerSet(document: ServiceDocument): ServerSet {
  return { document, servers: new Map(), hasSynced: false };
}

/** Circumstances of a synchronisation. */
export interface SyncContext {
  failureDomain: string;
  entry: EntryPosition;
  /** Why a server must leave, if it must. */
  getLeavingReason(server: BackendServer): LeavingReason | undefined;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/**
 * Brings a set in line with the document in force.
 *
 * @param set Changed in place.
 * @param document The document in force.
 * @param context See there.
 */
export function syncServers(
  set: ServerSet,
  document: ServiceDocument,
  context: SyncContext,
): void {
  set.document = document;
  const domainServers = document.backendServers.filter((server) =>
    server.failureDomain === context.failureDomain
  );
  const ids = new Set(domainServers.map(({ id }) => id));
  for (const [id, state] of set.servers) {
    if (ids.has(id)) continue;
    markLeaving(state, "document", context.nowMs);
    if (state.inFlight === 0) set.servers.delete(id);
  }
  domainServers.forEach((server, index) => {
    const share = getSlotShare(server.slots, index, context.entry);
    const coldSinceMs = set.hasSynced ? context.nowMs : undefined;
    const state = set.servers.get(server.id) ??
      createServerState(server, { share, coldSinceMs });
    state.server = server;
    updateShare(state, share, context.nowMs);
    set.servers.set(server.id, state);
    updateLeaving(state, context.getLeavingReason(server), context.nowMs);
  });
  set.hasSynced = true;
}

/**
 * A share shrinks at once and grows late: until then another entry may not have
 * heard of the document, or still have requests at the server.
 */
function updateShare(state: ServerState, share: number, nowMs: number): void {
  if (share <= state.share) {
    state.share = share;
    state.pendingShare = undefined;
    return;
  }
  if (state.pendingShare?.share !== share) {
    state.pendingShare = { share, fromMs: nowMs + SHARE_INCREASE_DELAY_MS };
  }
  if (nowMs < state.pendingShare.fromMs) return;
  state.share = share;
  state.pendingShare = undefined;
}

function createServerState(
  server: BackendServer,
  { share, coldSinceMs }: { share: number; coldSinceMs: number | undefined },
): ServerState {
  return {
    server,
    share,
    pendingShare: undefined,
    inFlight: 0,
    latency: createMovingMean(LATENCY_SMOOTHING_FACTOR),
    latencyAtMs: 0,
    failures: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
    backoffUntilMs: 0,
    coldSinceMs,
    health: "healthy",
    healthAtMs: -Infinity,
    reportedUse: 0,
    lastSuccessMs: -Infinity,
    leaving: undefined,
    leavingSinceMs: 0,
    drainMs: undefined,
  };
}

function updateLeaving(
  state: ServerState,
  reason: LeavingReason | undefined,
  nowMs: number,
): void {
  const cause = reason ??
    (state.health === "draining" ? "health" : undefined);
  if (cause !== undefined) return markLeaving(state, cause, nowMs);
  if (state.leaving === undefined) return;
  const isRecentSignal = state.leaving === "answer" &&
    nowMs - state.leavingSinceMs < PROBE_EXPIRY_MS;
  if (isRecentSignal) return;
  state.leaving = undefined;
  state.drainMs = undefined;
  state.coldSinceMs = nowMs;
}

/**
 * Stops new work for a server.
 *
 * @param state Changed in place.
 * @param reason Who said that it leaves.
 * @param nowMs Monotonic time, in ms.
 */
export function markLeaving(
  state: ServerState,
  reason: LeavingReason,
  nowMs: number,
): void {
  if (state.leaving === undefined) {
    state.leavingSinceMs = nowMs;
    state.drainMs = state.inFlight === 0 ? 0 : undefined;
  }
  state.leaving = reason;
}

/**
 * Stops new work for a server until it has rested; of several ends the latest
 * holds.
 *
 * @param state Changed in place.
 * @param backoffMs For how long it wants no more.
 * @param nowMs Monotonic time, in ms.
 */
export function markBackoff(
  state: ServerState,
  backoffMs: number,
  nowMs: number,
): void {
  state.backoffUntilMs = Math.max(state.backoffUntilMs, nowMs + backoffMs);
}

/**
 * Takes in a probe.
 *
 * @param set Changed in place.
 * @param report The probe.
 * @param nowMs Monotonic time, in ms.
 */
export function recordHealth(
  set: ServerSet,
  report: HealthReport,
  nowMs: number,
): void {
  const state = set.servers.get(report.serverId);
  const atMs = nowMs - report.ageMs;
  if (state === undefined || atMs < state.healthAtMs) return;
  if (state.health === "failing" && report.state === "healthy") {
    state.coldSinceMs = nowMs;
  }
  state.health = report.state;
  state.healthAtMs = atMs;
  state.reportedUse = report.reportedUse;
  if (report.state === "draining") markLeaving(state, "health", nowMs);
}

/**
 * Counts a request that goes to a server.
 *
 * @param state Changed in place.
 */
export function beginRequest(state: ServerState): void {
  state.inFlight += 1;
}

/** How an exchange went, for judging the server. */
export interface ExchangeSummary {
  ok: boolean;
  durationMs: number;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/**
 * Counts a request that came back from a server.
 *
 * @param state Changed in place.
 * @param report How it went.
 */
export function endRequest(
  state: ServerState,
  { ok, durationMs, nowMs }: ExchangeSummary,
): void {
  state.inFlight -= 1;
  if (state.leaving && state.inFlight === 0 && state.drainMs === undefined) {
    state.drainMs = nowMs - state.leavingSinceMs;
  }
  if (ok) {
    state.failures = 0;
    state.consecutiveEjections = 0;
    state.lastSuccessMs = nowMs;
    state.latency.add(durationMs);
    state.latencyAtMs = nowMs;
    return;
  }
  state.failures += 1;
  if (state.failures < MAX_CONSECUTIVE_FAILURES) return;
  const ejectionMs = INITIAL_EJECTION_MS * 2 ** state.consecutiveEjections;
  state.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
  state.consecutiveEjections += 1;
  state.failures = 0;
  state.coldSinceMs = state.ejectedUntilMs;
}
