/**
 * Limits by equal parts: each VM may use its part, whatever the others use.
 *
 * Nothing has to be told and nothing can be exceeded, cut off or not. An account
 * whose requests come to few VMs is refused most of what it may have.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { refill, type TokenBucket } from "./bucket.ts";
import {
  type Admission,
  type LimitedSubject,
  type LimitState,
  type LimitUsage,
  MAX_LISTED,
  RateLimiter,
} from "./limiter.ts";

/** Gives each VM its part of each limit. */
export class EqualShareLimiter extends RateLimiter {
  readonly #clock: Clock;
  readonly #countVms: () => number;
  readonly #startedAtMs: number;
  readonly #buckets = new Map<string, TokenBucket>();

  /**
   * @param clock The clock.
   * @param countVms How many VMs may serve, this one included.
   */
  constructor(clock: Clock, countVms: () => number) {
    super();
    this.#clock = clock;
    this.#countVms = countVms;
    this.#startedAtMs = clock.monotonicMs();
  }

  protected override takeLimited(holder: LimitedSubject): Admission {
    const bucket = this.#refill(holder);
    if (bucket.level >= 1) {
      bucket.level--;
      return { kind: "within" };
    }
    const ownPerS = holder.ratePerS / this.#countVms();
    return { kind: "over", retryAfterMs: (1 - bucket.level) * 1_000 / ownPerS };
  }

  protected override count(holder: LimitedSubject, runs: number): void {
    this.#refill(holder).level -= runs;
  }

  override takeUsage(): LimitUsage[] {
    return [];
  }

  override receive(): void {}

  override list(): LimitState[] {
    return [...this.#buckets].slice(0, MAX_LISTED).map((
      [name, { level }],
    ) => ({ name, level, ownPerS: 0, othersPerS: 0 }));
  }

  #refill({ name, ratePerS, burst }: LimitedSubject): TokenBucket {
    const known = this.#buckets.get(name);
    const bucket = known ?? { level: 0, refilledAtMs: this.#startedAtMs };
    if (known === undefined) this.#buckets.set(name, bucket);
    const vms = this.#countVms();
    const terms = { ratePerS: ratePerS / vms, burst: burst / vms };
    refill(bucket, terms, this.#clock.monotonicMs());
    return bucket;
  }
}
