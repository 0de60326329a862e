/**
 * Limits divided equally: each VM may use its share, whatever the others use.
 *
 * VMs exchange no messages and can't exceed a limit together, even during a
 * network partition. The drawback: an account whose requests reach only a few
 * VMs is refused most of what its limit allows.
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

/** Divides each limit equally among the VMs. */
export class EqualShareLimiter extends RateLimiter {
  readonly #clock: Clock;
  readonly #countVms: () => number;
  readonly #startedAtMs: number;
  readonly #buckets = new Map<string, TokenBucket>();

  /**
   * @param clock The clock.
   * @param countVms Number of VMs that may serve, this one included.
   */
  constructor(clock: Clock, countVms: () => number) {
    super();
    this.#clock = clock;
    this.#countVms = countVms;
    this.#startedAtMs = clock.monotonicMs();
  }

  protected override takeLimited(subject: LimitedSubject): Admission {
    const bucket = this.#refill(subject);
    if (bucket.level >= 1) {
      bucket.level--;
      return { kind: "within" };
    }
    const ownPerS = subject.ratePerS / this.#countVms();
    return { kind: "over", retryAfterMs: (1 - bucket.level) * 1_000 / ownPerS };
  }

  protected override count(subject: LimitedSubject, runs: number): void {
    this.#refill(subject).level -= runs;
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
    const existing = this.#buckets.get(name);
    const bucket = existing ?? { level: 0, refilledAtMs: this.#startedAtMs };
    if (existing === undefined) this.#buckets.set(name, bucket);
    const vms = this.#countVms();
    const settings = { ratePerS: ratePerS / vms, burst: burst / vms };
    refill(bucket, settings, this.#clock.monotonicMs());
    return bucket;
  }
}
