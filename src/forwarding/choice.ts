/**
 * Ways to choose a backend server. Pure.
 *
 * @module
 */
import { pick, type Random } from "../runtime/random.ts";
import { judgeLatency } from "./server_judgement.ts";
import { type ServerState } from "./servers.ts";

/** A server with room and what its choice depends on. */
export interface Candidate {
  state: ServerState;
  /** Requests that it may have in flight from this entry. */
  limit: number;
}

/** Circumstances of a choice. */
export interface ChoiceContext {
  medianMs: number;
  /** Monotonic time, in ms. */
  nowMs: number;
}

/** A way to choose. */
export abstract class ChoicePolicy {
  /** Name in reports. */
  abstract readonly name: string;
  /**
   * @param candidates Servers with room; not empty.
   * @param context See there.
   * @returns One of them.
   */
  abstract choose(
    candidates: readonly Candidate[],
    context: ChoiceContext,
  ): Candidate;
}

/** A way to choose in which chance has a part. */
abstract class ChanceChoice extends ChoicePolicy {
  protected readonly random: Random;

  /** @param random The random source. */
  constructor(random: Random) {
    super();
    this.random = random;
  }
}

/** Any, by chance. */
export class RandomChoice extends ChanceChoice {
  override readonly name = "random";
  override choose(candidates: readonly Candidate[]): Candidate {
    return pick(this.random, candidates);
  }
}

/** One after the other. */
export class RoundRobinChoice extends ChoicePolicy {
  override readonly name = "round_robin";
  #next = 0;

  override choose(candidates: readonly Candidate[]): Candidate {
    this.#next += 1;
    return candidates[this.#next % candidates.length];
  }
}

/** The one with the fewest in flight. */
export class LeastInFlightChoice extends ChanceChoice {
  override readonly name = "least_in_flight";
  override choose(candidates: readonly Candidate[]): Candidate {
    return pickLowest(candidates, this.random, getUse);
  }
}

/** The less used of two taken by chance. */
export class TwoChoices extends ChanceChoice {
  override readonly name = "two_choices";
  override choose(candidates: readonly Candidate[]): Candidate {
    const first = pick(this.random, candidates);
    const second = pick(this.random, candidates);
    return getUse(first) <= getUse(second) ? first : second;
  }
}

/** Reports older than this say nothing. */
const REPORT_EXPIRY_MS = 2_000;
/** Weight of a fresh report against what is in flight from here. */
const REPORT_WEIGHT = 0.3;

/**
 * The one expected to answer first: observed latency, drawn out by what is in
 * flight, then by the server's own report, discounted by its age.
 */
export class ExpectedLatencyChoice extends ChanceChoice {
  override readonly name = "expected_latency";
  override choose(
    candidates: readonly Candidate[],
    { medianMs, nowMs }: ChoiceContext,
  ): Candidate {
    return pickLowest(candidates, this.random, (candidate) => {
      const { state } = candidate;
      const latencyMs = judgeLatency(state, medianMs, nowMs);
      const ageMs = nowMs - state.healthAtMs;
      const freshness = Math.max(0, 1 - ageMs / REPORT_EXPIRY_MS);
      const reported = state.reportedUse * freshness * REPORT_WEIGHT;
      return latencyMs * (1 + getUse(candidate) + reported);
    });
  }
}

function getUse({ state, limit }: Candidate): number {
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
