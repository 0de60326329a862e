/**
 * Limits by shared usage: each VM keeps a token bucket for the usage of all VMs
 * together, from the usage that they report to each other.
 *
 * Load patterns: the requests of one account reach a single VM, or sixty, or
 * move from one failure domain to another within seconds; an account sends five
 * times its limit; a region is partitioned. VMs that hear from each other hold
 * a common share of the limit; silent VMs keep theirs. Reports from other VMs
 * arrive a fraction of a second late. When the bucket runs low, requests are
 * therefore admitted in the proportion of the demand that the rate covers: if
 * every VM took all that was left at once, together they would exceed the limit.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import {
  createRateMeter,
  createWindowCounter,
  type RateMeter,
  refill,
  type TokenBucket,
  type WindowCounter,
} from "./bucket.ts";
import {
  type Admission,
  isLimited,
  type LimitedSubject,
  type LimitMargin,
  type LimitState,
  type LimitSubject,
  type LimitUsage,
  MAX_LISTED,
  RateLimiter,
} from "./limiter.ts";

/** Dependencies of `SharedUsageLimiter`. */
export interface SharedUsageOptions {
  clock: Clock;
  random: Random;
  /** Share of every limit that this VM and the VMs it hears from hold, 0 to 1. */
  getShare: () => number;
  /** Share that this VM holds alone, 0 to 1. */
  getOwnShare: () => number;
  /** How long this VM has received all usage of the common share, in ms. */
  getStableMs: () => number;
  margin: LimitMargin;
  /** Finds the subject of a limit whose usage another VM reported. */
  findSubject: (name: string) => LimitSubject | undefined;
}

interface Usage {
  bucket: TokenBucket;
  /** Share of the limit that the bucket represents. */
  share: number;
  own: RateMeter;
  others: RateMeter;
  /** Requests that ran at this VM. */
  window: WindowCounter;
  /** Requests that arrived and are not reported yet. */
  asked: number;
  /** Requests that ran and are not reported yet. */
  spent: number;
  /** Grows by the admitted fraction of each request; at 1, one is admitted. */
  credit: number;
  /** When all callers that were refused until now will have retried. */
  returnAtMs: number;
  usedAtMs: number;
}

/** Age of reported usage: two send intervals and the network delay. */
const REPORT_DELAY_S = 0.35;
/** Time in which the bucket is brought back to its target level. */
const CORRECTION_TIME_S = 0.4;
/** Largest fraction of the burst to be reserved for unreported usage. */
const MAX_RESERVE_RATIO = 0.5;
/** Below this share the VM relies on its own share of the limit alone. */
const MIN_COMMON_SHARE = 0.25;
/** Below 1, for what the VMs used just before from their common share. */
const OWN_SHARE_FACTOR = 0.8;
/** After this time without requests a bucket is full, and is dropped. */
const FORGET_MS = 60_000;
const MIN_RETRY_MS = 50;
/** Callers that are told to wait longer give up. */
const MAX_RETRY_MS = 10_000;

/** Enforces limits by the usage that VMs report to each other. */
export class SharedUsageLimiter extends RateLimiter {
  readonly #options: SharedUsageOptions;
  readonly #usages = new Map<string, Usage>();

  /** @param options The limiter's dependencies. */
  constructor(options: SharedUsageOptions) {
    super();
    this.#options = options;
  }

  protected override takeLimited(subject: LimitedSubject): Admission {
    const { ratePerS, burst } = subject;
    const usage = this.#get(subject);
    usage.asked++;
    usage.own.record(1);
    usage.usedAtMs = this.#options.clock.monotonicMs();
    const isWithin = this.#isWithin(usage, ratePerS, burst) ||
      this.#isWithinOwnShare(usage, ratePerS, burst);
    if (!isWithin) {
      return {
        kind: "over",
        retryAfterMs: this.#scheduleRetry(usage, ratePerS),
      };
    }
    spend(usage, 1);
    return { kind: "within" };
  }

  protected override count(subject: LimitedSubject, runs: number): void {
    spend(this.#get(subject), runs);
  }

  override takeUsage(): LimitUsage[] {
    const limitMs = this.#options.clock.monotonicMs() - FORGET_MS;
    const reports: LimitUsage[] = [];
    for (const [name, usage] of this.#usages) {
      if (usage.usedAtMs < limitMs) this.#usages.delete(name);
      const { asked, spent } = usage;
      if (asked === 0 && spent === 0) continue;
      reports.push({ name, asked, spent });
      usage.asked = 0;
      usage.spent = 0;
    }
    return reports;
  }

  override receive(reports: readonly LimitUsage[]): void {
    for (const { name, asked, spent } of reports) {
      const subject = this.#options.findSubject(name);
      if (subject === undefined || !isLimited(subject)) continue;
      const usage = this.#get(subject);
      usage.others.record(asked);
      usage.bucket.level -= spent;
      usage.usedAtMs = this.#options.clock.monotonicMs();
    }
  }

  override list(): LimitState[] {
    return [...this.#usages].slice(0, MAX_LISTED).map(([name, usage]) => ({
      name,
      level: usage.bucket.level,
      ownPerS: usage.own.getPerS(),
      othersPerS: usage.others.getPerS(),
    }));
  }

  #get(subject: LimitedSubject): Usage {
    const { name, ratePerS, burst } = subject;
    const { clock, getShare } = this.#options;
    const nowMs = clock.monotonicMs();
    const share = getShare();
    const usage = this.#usages.get(name) ?? this.#create(subject, share);
    const { bucket } = usage;
    // VMs that became silent keep their share of the bucket.
    if (share < usage.share && bucket.level > 0) {
      bucket.level *= share / usage.share;
    }
    usage.share = share;
    refill(bucket, { ratePerS: ratePerS * share, burst: burst * share }, nowMs);
    return usage;
  }

  #create(subject: LimitedSubject, share: number): Usage {
    const { clock, random } = this.#options;
    const nowMs = clock.monotonicMs();
    const getNowMs = () => clock.monotonicMs();
    const usage: Usage = {
      bucket: {
        level: this.#getInitialLevel(subject, share),
        refilledAtMs: nowMs,
      },
      share,
      own: createRateMeter(getNowMs),
      others: createRateMeter(getNowMs),
      window: createWindowCounter(getNowMs, this.#options.margin.windowMs),
      asked: 0,
      spent: 0,
      credit: random(),
      returnAtMs: nowMs,
      usedAtMs: nowMs,
    };
    this.#usages.set(subject.name, usage);
    return usage;
  }

  /**
   * A limit without reported usage has been idle for as long as this VM has
   * heard from the others. Usage before that time is unknown, so the bucket
   * starts with no more than was refilled since.
   */
  #getInitialLevel({ ratePerS, burst }: LimitedSubject, share: number): number {
    const stableS = this.#options.getStableMs() / 1_000;
    return Math.min(burst, ratePerS * stableS) * share;
  }

  /**
   * VMs that hear from few others have too small a common share: at sixty VMs a
   * fraction of a request a second. Each of them may instead use its own share
   * of what the limit allows in a window, less what it used in that window.
   * Otherwise nothing would be served for a second after all VMs restarted, or
   * while the hub of a region is replaced.
   */
  #isWithinOwnShare(usage: Usage, ratePerS: number, burst: number): boolean {
    if (usage.share >= MIN_COMMON_SHARE) return false;
    const { margin, getOwnShare } = this.#options;
    const allowed = ratePerS * margin.windowMs / 1_000 + burst;
    const bound = allowed * (1 + margin.ratio) + margin.allowance;
    return usage.window.count() + 1 <= OWN_SHARE_FACTOR * bound * getOwnShare();
  }

  #isWithin(usage: Usage, ratePerS: number, burst: number): boolean {
    const { bucket, share, own, others } = usage;
    if (bucket.level < 1) return false;
    const othersPerS = others.getPerS();
    const reserve = Math.min(
      othersPerS * REPORT_DELAY_S,
      ratePerS * share * REPORT_DELAY_S,
      burst * share * MAX_RESERVE_RATIO,
    );
    const allowedPerS = ratePerS * share +
      (bucket.level - reserve) / CORRECTION_TIME_S;
    const demandPerS = own.getPerS() + othersPerS;
    if (allowedPerS >= demandPerS) return true;
    usage.credit += Math.max(0, allowedPerS / demandPerS);
    if (usage.credit < 1) return false;
    usage.credit--;
    return true;
  }

  /** Spreads the retries of refused callers over time, by the allowed rate. */
  #scheduleRetry(usage: Usage, ratePerS: number): number {
    const nowMs = this.#options.clock.monotonicMs();
    const ownPerS = usage.own.getPerS();
    const demandPerS = ownPerS + usage.others.getPerS();
    const ownRatePerS = ratePerS * usage.share * ownPerS / demandPerS;
    const missing = Math.max(0, 1 - usage.bucket.level);
    const earliestMs = nowMs + missing * 1_000 / (ratePerS * usage.share);
    const latestMs = nowMs + MAX_RETRY_MS;
    usage.returnAtMs = Math.min(
      latestMs,
      Math.max(earliestMs, usage.returnAtMs) + 1_000 / ownRatePerS,
    );
    return Math.max(MIN_RETRY_MS, Math.round(usage.returnAtMs - nowMs));
  }
}

function spend(usage: Usage, requests: number): void {
  usage.bucket.level -= requests;
  usage.spent += requests;
  usage.window.record(requests);
}
