/**
 * Ways to choose a backend server. Pure.
 *
 * @module
 */
import { pick, type Random } from "../runtime/random.ts";
import { estimateLatencyMs } from "./server_limits.ts";
import { type ServerState } from "./server_set.ts";

/** A server with room and what its choice depends on. */
export interface Candidate {
  state: ServerState;
  /** Requests that it may have in flight from this entry. */
  limit: number;
}

/** Circumstances of a choice. */
export interface BalancingContext {
  medianMs: number;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/** A way to choose. */
export abstract class BalancingPolicy {
  /** Name in reports. */
  abstract readonly name: string;
  /**
   * @param candidates Servers with room; not empty.
   * @param context See there.
   * @returns One of them.
   */
  abstract choose(
    candidates: readonly Candidate[],
    context: BalancingContext,
  ): Candidate;
}

/** A way to choose in which chance has a part. */
abstract class RandomizedPolicy extends BalancingPolicy {
  protected readonly random: Random;

  /** @param random The random source. */
  constructor(random: Random) {
    super();
    this.random = random;
  }
}

/** Any, by chance. */
export class RandomPolicy extends RandomizedPolicy {
  override readonly name = "random";
  override choose(candidates: readonly Candidate[]): Candidate {
    return pick(this.random, candidates);
  }
}

/** One after the other. */
export class RoundRobinPolicy extends BalancingPolicy {
  override readonly name = "round_robin";
  #next = 0;

  override choose(candidates: readonly Candidate[]): Candidate {
    this.#next += 1;
    return candidates[this.#next % candidates.length];
  }
}

/** The one with the fewest in flight. */
export class LeastInFlightPolicy extends RandomizedPolicy {
  override readonly name = "least_in_flight";
  override choose(candidates: readonly Candidate[]): Candidate {
    return pickLowest(candidates, this.random, getUtilization);
  }
}

/** The less used of two taken by chance. */
export class TwoChoicesPolicy extends RandomizedPolicy {
  override readonly name = "two_choices";
  override choose(candidates: readonly Candidate[]): Candidate {
    const first = pick(this.random, candidates);
    const second = pick(this.random, candidates);
    return getUtilization(first) <= getUtilization(second) ? first : second;
  }
}

/** Reports older than this say nothing. */
const REPORT_EXPIRY_MS = 2_000;
/** Weight of a fresh report against what is in flight from here. */
const MAX_REPORT_WEIGHT = 0.3;

/**
 * The one expected to answer first: observed latency, drawn out by what is in
 * flight, then by the server's own report, discounted by its age.
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

/** Ties are broken by chance, so that entries do not all choose alike. */
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
