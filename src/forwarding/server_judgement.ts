/**
 * Judges backend servers by what is known of them: which may get new work, how
 * much, and how soon they answer. Pure; `servers.ts` keeps what is known.
 *
 * @module
 */
import {
  PROBE_EXPIRY_MS,
  type ServerSet,
  type ServerState,
} from "./servers.ts";

/** Ejections are ignored where fewer than this share would be left. */
const EJECTION_FLOOR_SHARE = 0.5;
/** Observed latency loses half its say after this time without a new one. */
const LATENCY_HALF_LIFE_MS = 4_000;
/** A server slower than this many medians gets fewer slots. */
const SLOW_FACTOR = 3;

/**
 * Lists servers that may get new work. Ejected ones are included again where
 * too few would be left: then the fault is likely a common one.
 *
 * @param set The servers.
 * @param nowMs Monotonic time, in ms.
 * @returns The servers, full ones included.
 */
export function listEligible(set: ServerSet, nowMs: number): ServerState[] {
  const staying = [...set.servers.values()].filter((state) =>
    state.leaving === undefined && state.share > 0 &&
    nowMs >= state.backoffUntilMs
  );
  const sound = staying.filter((state) => isSound(state, nowMs));
  const enough = sound.length >= staying.length * EJECTION_FLOOR_SHARE;
  return enough ? sound : staying;
}

/** Behaviour goes before reports: a success after the probe outweighs it. */
function isSound(state: ServerState, nowMs: number): boolean {
  if (nowMs < state.ejectedUntilMs) return false;
  const reportedFailing = state.health === "failing" &&
    nowMs - state.healthAtMs < PROBE_EXPIRY_MS;
  return !reportedFailing || state.lastSuccessMs > state.healthAtMs;
}

/**
 * Judges a server's latency: what was observed, drawn towards the median of the
 * others as the observation ages.
 *
 * @param state The server.
 * @param medianMs Median of the servers' observed latencies, in ms.
 * @param nowMs Monotonic time, in ms.
 * @returns Latency to expect, in ms.
 */
export function judgeLatency(
  state: ServerState,
  medianMs: number,
  nowMs: number,
): number {
  const observedMs = state.latency.value();
  if (observedMs === 0) return medianMs;
  const ageMs = nowMs - state.latencyAtMs;
  const say = 0.5 ** (ageMs / LATENCY_HALF_LIFE_MS);
  return medianMs + (observedMs - medianMs) * say;
}

/**
 * @param states Servers.
 * @param fallbackMs Value where nothing was observed.
 * @returns Median of their observed latencies, in ms.
 */
export function getMedianLatency(
  states: readonly ServerState[],
  fallbackMs: number,
): number {
  const seen = states.map((state) => state.latency.value())
    .filter((latencyMs) => latencyMs > 0)
    .sort((a, b) => a - b);
  return seen[Math.floor(seen.length / 2)] ?? fallbackMs;
}

/** Circumstances of a limit. */
export interface LimitContext {
  medianMs: number;
  nowMs: number;
}

/**
 * @param set The set that the server belongs to.
 * @param state The server.
 * @param context See there.
 * @returns Requests that it may have in flight from this entry.
 */
export function getLimit(
  set: ServerSet,
  state: ServerState,
  { medianMs, nowMs }: LimitContext,
): number {
  const { rampS, initialShare } = set.document.coldStart;
  let part = 1;
  if (state.coldSinceMs !== undefined && rampS > 0) {
    const warmed = (nowMs - state.coldSinceMs) / (rampS * 1_000);
    part = Math.min(1, initialShare + (1 - initialShare) * Math.max(0, warmed));
  }
  const latencyMs = judgeLatency(state, medianMs, nowMs);
  if (medianMs > 0 && latencyMs > SLOW_FACTOR * medianMs) {
    part *= SLOW_FACTOR * medianMs / latencyMs;
  }
  return Math.min(state.share, Math.max(1, Math.round(state.share * part)));
}

/**
 * @param set The servers.
 * @param nowMs Monotonic time, in ms.
 * @returns Requests that this entry may have in flight in all.
 */
export function getTotalLimit(set: ServerSet, nowMs: number): number {
  const eligible = listEligible(set, nowMs);
  const medianMs = getMedianLatency(eligible, set.document.expectedServiceMs);
  return eligible.reduce(
    (sum, state) => sum + getLimit(set, state, { medianMs, nowMs }),
    0,
  );
}
