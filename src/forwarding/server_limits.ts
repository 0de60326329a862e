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
} from "./server_set.ts";

/** Ejections are ignored where fewer than this share would be left. */
const MIN_HEALTHY_SHARE = 0.5;
/** Observed latency loses half its say after this time without a new one. */
const LATENCY_HALF_LIFE_MS = 4_000;
/** A server slower than this many medians gets fewer slots. */
const SLOW_LATENCY_FACTOR = 3;

/**
 * Lists servers that may get new work. Ejected ones are included again where
 * too few would be left: then the fault is likely a common one.
 *
 * @param set The servers.
 * @param nowMs Monotonic time, in ms.
 * @returns The servers, full ones included.
 */
export function listEligibleServers(
  set: ServerSet,
  nowMs: number,
): ServerState[] {
  const available = [...set.servers.values()].filter((state) =>
    state.leaving === undefined && state.share > 0 &&
    nowMs >= state.backoffUntilMs
  );
  const healthy = available.filter((state) => isHealthy(state, nowMs));
  const hasEnoughHealthy =
    healthy.length >= available.length * MIN_HEALTHY_SHARE;
  return hasEnoughHealthy ? healthy : available;
}

/** Behaviour goes before reports: a success after the probe outweighs it. */
function isHealthy(state: ServerState, nowMs: number): boolean {
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
export function estimateLatencyMs(
  state: ServerState,
  medianMs: number,
  nowMs: number,
): number {
  const observedMs = state.latency.value();
  if (observedMs === 0) return medianMs;
  const ageMs = nowMs - state.latencyAtMs;
  const weight = 0.5 ** (ageMs / LATENCY_HALF_LIFE_MS);
  return medianMs + (observedMs - medianMs) * weight;
}

/**
 * @param states Servers.
 * @param fallbackMs Value where nothing was observed.
 * @returns Median of their observed latencies, in ms.
 */
export function getMedianLatencyMs(
  states: readonly ServerState[],
  fallbackMs: number,
): number {
  const latenciesMs = states.map((state) => state.latency.value())
    .filter((latencyMs) => latencyMs > 0)
    .sort((a, b) => a - b);
  return latenciesMs[Math.floor(latenciesMs.length / 2)] ?? fallbackMs;
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
export function getConcurrencyLimit(
  set: ServerSet,
  state: ServerState,
  { medianMs, nowMs }: LimitContext,
): number {
  const { rampS, initialShare } = set.document.coldStart;
  let fraction = 1;
  if (state.coldSinceMs !== undefined && rampS > 0) {
    const rampShare = (nowMs - state.coldSinceMs) / (rampS * 1_000);
    fraction = Math.min(
      1,
      initialShare + (1 - initialShare) * Math.max(0, rampShare),
    );
  }
  const latencyMs = estimateLatencyMs(state, medianMs, nowMs);
  if (medianMs > 0 && latencyMs > SLOW_LATENCY_FACTOR * medianMs) {
    fraction *= SLOW_LATENCY_FACTOR * medianMs / latencyMs;
  }
  return Math.min(state.share, Math.max(1, Math.round(state.share * fraction)));
}

/**
 * @param set The servers.
 * @param nowMs Monotonic time, in ms.
 * @returns Requests that this entry may have in flight in all.
 */
export function getTotalConcurrencyLimit(
  set: ServerSet,
  nowMs: number,
): number {
  const eligible = listEligibleServers(set, nowMs);
  const medianMs = getMedianLatencyMs(eligible, set.document.expectedServiceMs);
  return eligible.reduce(
    (sum, state) => sum + getConcurrencyLimit(set, state, { medianMs, nowMs }),
    0,
  );
}
