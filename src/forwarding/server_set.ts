/**
 * State of a service's backend servers in one entry: slot shares, requests in
 * flight, latency, failures, and whether they are leaving. Pure.
 *
 * @module
 */
import type { BackendServer, ServiceDocument } from "../config/schema.ts";
import type { HealthReport } from "../control/messages.ts";
import { createMovingMean, type MovingMean } from "../measurement/rate.ts";

/** Number of consecutive failures after which a server is ejected. */
const MAX_CONSECUTIVE_FAILURES = 3;
/** Time of the first ejection; it doubles with each consecutive one. */
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/** Weight of the newest latency in the moving mean. */
const LATENCY_SMOOTHING_FACTOR = 0.2;
/** Age from which a probe or a leaving signal is ignored. */
export const PROBE_EXPIRY_MS = 5_000;

/**
 * Delay before a larger share is used: the document must reach all entries, and
 * their requests in flight must end.
 */
export const SHARE_INCREASE_DELAY_MS = 15_000;

/** Why a server gets no new requests. */
export type LeavingReason = "document" | "vm_list" | "health" | "answer";

/** State of one backend server. */
export interface ServerState {
  server: BackendServer;
  /** This entry's share of its slots. */
  share: number;
  /** A larger share according to the documents, and when it takes effect. */
  pendingShare: { share: number; fromMs: number } | undefined;
  inFlight: number;
  /** Moving mean of the duration of exchanges that count as ok, in ms. */
  latency: MovingMean;
  latencyAtMs: number;
  /** Consecutive failures. */
  failures: number;
  consecutiveEjections: number;
  ejectedUntilMs: number;
  /** End of the time in which the server asked for no requests. */
  backoffUntilMs: number;
  /** Start of the cold ramp; undefined if the server was in the first document. */
  coldSinceMs: number | undefined;
  health: HealthReport["state"];
  healthAtMs: number;
  /** Utilization that the server's health answer reports, 0 to 1. */
  reportedUse: number;
  lastSuccessMs: number;
  leaving: LeavingReason | undefined;
  leavingSinceMs: number;
  /** Time from the start of leaving until no request was in flight, in ms. */
  drainMs: number | undefined;
}

/** Servers of one service in one failure domain. */
export interface ServerSet {
  document: ServiceDocument;
  servers: Map<string, ServerState>;
  /** Whether the set was synchronized before; servers added later are cold. */
  hasSynced: boolean;
}

/** Position of an entry in its failure domain; determines its slot shares. */
export interface EntryPosition {
  /** Index of the entry, from 0. */
  index: number;
  /** Number of entries; Infinity for an entry that must get no slots. */
  count: number;
}

/**
 * Splits a server's slots among the entries of a failure domain by the documents
 * alone, so that the shares add up without messages between entries.
 *
 * @param slots Number of slots of the server.
 * @param serverIndex Index of the server; spreads remainders over the entries.
 * @param entry Position of the entry.
 * @returns The entry's number of slots.
 */
export function getSlotShare(
  slots: number,
  serverIndex: number,
  { index, count }: EntryPosition,
): number {
  return Math.floor((slots + (index + serverIndex) % count) / count);
}

/**
 * @param document Document of the service.
 * @returns A set without servers.
 */
export function createServerSet(document: ServiceDocument): ServerSet {
  return { document, servers: new Map(), hasSynced: false };
}

/** Input of a synchronization besides the document. */
export interface SyncContext {
  /** The entry's own failure domain. */
  failureDomain: string;
  entry: EntryPosition;
  /** @returns Why a server must leave; undefined if it need not. */
  getLeavingReason(server: BackendServer): LeavingReason | undefined;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/**
 * Updates a set to the current document. Servers that the document no longer
 * lists are removed once they have no request in flight.
 *
 * @param set Changed in place.
 * @param document Current document of the service.
 * @param context The entry's position, leaving servers and the time.
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
 * Reduces a share at once and increases it only after a delay: until then, other
 * entries may not have the document yet, or still have requests at the server.
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
 * Marks a server as leaving, so that it gets no new requests.
 *
 * @param state Changed in place.
 * @param reason Source of the information.
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
 * Sends a server no new requests for a time. If several backoff times overlap, the
 * latest end counts.
 *
 * @param state Changed in place.
 * @param backoffMs Backoff time that the server asked for, in ms.
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
 * Records the result of a health probe, unless a newer one is known.
 *
 * @param set Changed in place.
 * @param report Result of the probe.
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
 * Counts a request sent to a server.
 *
 * @param state Changed in place.
 */
export function beginRequest(state: ServerState): void {
  state.inFlight += 1;
}

/** Result of an exchange, as recorded in the server's state. */
export interface ExchangeSummary {
  /** Whether the server had no fault; refusals and disconnects are no faults. */
  ok: boolean;
  /** Duration of the exchange, in ms. */
  durationMs: number;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/**
 * Records the end of an exchange with a server.
 *
 * @param state Changed in place.
 * @param report Result of the exchange.
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
