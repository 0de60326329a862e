/**
 * Decides which backend servers may get new requests and how many, and estimates
 * their latency. Pure; `server_set.ts` holds the state of the servers.
 *
 * @module
 */
import {
  PROBE_EXPIRY_MS,
  type ServerSet,
  type ServerState,
} from "./server_set.ts";

/** Ejections are ignored if less than this share of servers would remain. */
const MIN_HEALTHY_SHARE = 0.5;
/** Time in which an observed latency loses half its weight. */
const LATENCY_HALF_LIFE_MS = 4_000;
/** Servers slower than this multiple of the median get fewer slots. */
const SLOW_LATENCY_FACTOR = 3;

/**
 * Lists the servers that may get new requests. If too few would remain, ejected
 * servers are included again, since the fault is then likely a common one.
 *
 * @param set Servers of the service.
 * @param nowMs Monotonic time, in ms.
 * @returns The servers, including those without a free slot.
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

/** A success after a failed probe overrides the probe. */
function isHealthy(state: ServerState, nowMs: number): boolean {
  if (nowMs < state.ejectedUntilMs) return false;
  const reportedFailing = state.health === "failing" &&
    nowMs - state.healthAtMs < PROBE_EXPIRY_MS;
  return !reportedFailing || state.lastSuccessMs > state.healthAtMs;
}

/**
 * Estimates a server's latency: the observed latency, which moves towards the
 * median of the servers as the observation ages.
 *
 * @param state State of the server.
 * @param medianMs Median of the servers' observed latencies, in ms.
 * @param nowMs Monotonic time, in ms.
 * @returns Expected latency, in ms.
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
 * @param states States of the servers.
 * @param fallbackMs Value if no latency was observed, in ms.
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

/** Input of a limit besides the server. */
export interface LimitContext {
  /** Median of the servers' observed latencies, in ms. */
  medianMs: number;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/**
 * Reduces this entry's share of a server's slots while the server is cold, and if
 * it is slow.
 *
 * @param set The set that the server belongs to.
 * @param state State of the server.
 * @param context Median latency and time.
 * @returns Maximum number of requests in flight from this entry to the server.
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
 * @param set Servers of the service.
 * @param nowMs Monotonic time, in ms.
 * @returns Maximum number of requests in flight from this entry to all servers.
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
