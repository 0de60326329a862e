/**
 * Load balancing policies: choose a backend server for a request. Pure.
 *
 * @module
 */
import { pick, type Random } from "../runtime/random.ts";
import { estimateLatencyMs } from "./server_limits.ts";
import { type ServerState } from "./server_set.ts";

/** A server with a free slot. */
export interface Candidate {
  state: ServerState;
  /** Maximum number of requests in flight from this entry to the server. */
  limit: number;
}

/** Input of a policy besides the candidates. */
export interface BalancingContext {
  /** Median of the eligible servers' observed latencies, in ms. */
  medianMs: number;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/** A load balancing policy. */
export abstract class BalancingPolicy {
  /** Name used in reports. */
  abstract readonly name: string;
  /**
   * @param candidates Servers with a free slot; must not be empty.
   * @param context Median latency and time.
   * @returns The server to send the request to.
   */
  abstract choose(
    candidates: readonly Candidate[],
    context: BalancingContext,
  ): Candidate;
}

/** Base class of policies that use a random source. */
abstract class RandomizedPolicy extends BalancingPolicy {
  protected readonly random: Random;

  /** @param random The random source. */
  constructor(random: Random) {
    super();
    this.random = random;
  }
}

/** Chooses uniformly at random. */
export class RandomPolicy extends RandomizedPolicy {
  override readonly name = "random";
  override choose(candidates: readonly Candidate[]): Candidate {
    return pick(this.random, candidates);
  }
}

/** Chooses the servers in turn. */
export class RoundRobinPolicy extends BalancingPolicy {
  override readonly name = "round_robin";
  #next = 0;

  override choose(candidates: readonly Candidate[]): Candidate {
    this.#next += 1;
    return candidates[this.#next % candidates.length];
  }
}

/** Chooses the server with the lowest utilization. */
export class LeastInFlightPolicy extends RandomizedPolicy {
  override readonly name = "least_in_flight";
  override choose(candidates: readonly Candidate[]): Candidate {
    return pickLowest(candidates, this.random, getUtilization);
  }
}

/** Chooses the less utilized of two random servers. */
export class TwoChoicesPolicy extends RandomizedPolicy {
  override readonly name = "two_choices";
  override choose(candidates: readonly Candidate[]): Candidate {
    const first = pick(this.random, candidates);
    const second = pick(this.random, candidates);
    return getUtilization(first) <= getUtilization(second) ? first : second;
  }
}

/** Age from which a server's health report is ignored. */
const REPORT_EXPIRY_MS = 2_000;
/** Weight of a fresh report, relative to this entry's own utilization. */
const MAX_REPORT_WEIGHT = 0.3;

/**
 * Chooses the server with the lowest expected latency: its observed latency,
 * scaled up by its utilization from this entry and by the utilization that it
 * reports itself, which is discounted by the age of the report.
 */
export class ExpectedLatencyPolicy extends RandomizedPolicy {
  override readonly name = "expected_latency";
  override choose(
    candidates: readonly Candidate[],
    { medianMs, nowMs }: BalancingContext,
  ): Candidate {
    return pickLowest(candidates, this.random, (candidate) => {
      const { state } = candidate;
      const latencyMs = estimateLatencyMs(state, medianMs, nowMs);
      const ageMs = nowMs - state.healthAtMs;
      const freshness = Math.max(0, 1 - ageMs / REPORT_EXPIRY_MS);
      const reported = state.reportedUse * freshness * MAX_REPORT_WEIGHT;
      return latencyMs * (1 + getUtilization(candidate) + reported);
    });
  }
}

function getUtilization({ state, limit }: Candidate): number {
  return state.inFlight / limit;
}

/** Breaks ties at random, so that entries do not all choose the same server. */
function pickLowest(
  candidates: readonly Candidate[],
  random: Random,
  score: (candidate: Candidate) => number,
): Candidate {
  let best = candidates[0];
  let bestScore = Infinity;
  let ties = 0;
  for (const candidate of candidates) {
    const value = score(candidate);
    if (value > bestScore) continue;
    ties = value === bestScore ? ties + 1 : 1;
    if (value < bestScore || random() < 1 / ties) best = candidate;
    bestScore = value;
  }
  return best;
}
