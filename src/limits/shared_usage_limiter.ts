/**
 * Limits by shared usage: each VM keeps a holder's bucket as all VMs
 * together use it, from what they tell each other.
 *
 * Load patterns: callers of one account come to one VM alone, or to sixty, or
 * move from one failure domain to another within seconds; one sends five times
 * what it may; a region is cut off. VMs that are heard from hold a common part
 * of the limit; the parts of those that are not stay with them. What others
 * used is heard a fraction of a second late, so where the bucket runs low
 * requests are let through by the part of the demand that the rate covers: VMs
 * that all took what was left at once would exceed it together.
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

/** What shared usage needs. */
export interface SharedUsageOptions {
  clock: Clock;
  random: Random;
  /** Part of every limit that this VM and those that it hears from hold. */
  getShare: () => number;
  /** Part that this VM holds alone. */
  getOwnShare: () => number;
  /** For how long this VM has heard what the common part is used for. */
  getStableMs: () => number;
  margin: LimitMargin;
  /** Finds whose limit other VMs told of. */
  findSubject: (name: string) => LimitSubject | undefined;
}

interface Usage {
  bucket: TokenBucket;
  /** Part of the limit that the bucket stands for. */
  part: number;
  own: RateMeter;
  others: RateMeter;
  /** What ran at this VM. */
  window: WindowCounter;
  /** Not told yet. */
  asked: number;
  spent: number;
  /** Rises by the admitted part of each request; a whole one is let through. */
  credit: number;
  /** When the callers that were turned away until now will have come back. */
  returnAtMs: number;
  usedAtMs: number;
}

/** How late what others used is heard: two pauses of telling and a way. */
const NEWS_LAG_S = 0.35;
/** Time in which the bucket is brought to where it should be. */
const SETTLE_S = 0.4;
/** The reserve for what is not heard yet takes this part of a burst at most. */
const MAX_RESERVE_PART = 0.5;
/** VMs that hear fewer than this part of all are on their own. */
const SCATTERED_PART = 0.25;
/** Kept below the whole, for what was in common use a moment before. */
const OWN_PART = 0.8;
/** Holders that rest for so long have a full bucket, and are forgotten. */
const FORGET_MS = 60_000;
const MIN_RETRY_MS = 50;
/** A caller that is told more gives up; more is told to none. */
const MAX_RETRY_MS = 10_000;

/** Keeps limits by what VMs tell each other. */
export class SharedUsageLimiter extends RateLimiter {
  readonly #parts: SharedUsageOptions;
  readonly #usages = new Map<string, Usage>();

  /** @param parts What it needs. */
  constructor(parts: SharedUsageOptions) {
    super();
    this.#parts = parts;
  }

  protected override takeLimited(holder: LimitedSubject): Admission {
    const { ratePerS, burst } = holder;
    const usage = this.#get(holder);
    usage.asked++;
    usage.own.record(1);
    usage.usedAtMs = this.#parts.clock.monotonicMs();
    const isWithin = this.#isWithin(usage, ratePerS, burst) ||
      this.#isWithinOwnPart(usage, ratePerS, burst);
    if (!isWithin) {
      return { kind: "over", retryAfterMs: this.#getReturn(usage, ratePerS) };
    }
    spend(usage, 1);
    return { kind: "within" };
  }

  protected override count(holder: LimitedSubject, runs: number): void {
    spend(this.#get(holder), runs);
  }

  override takeUsage(): LimitUsage[] {
    const limitMs = this.#parts.clock.monotonicMs() - FORGET_MS;
    const news: LimitUsage[] = [];
    for (const [name, usage] of this.#usages) {
      if (usage.usedAtMs < limitMs) this.#usages.delete(name);
      const { asked, spent } = usage;
      if (asked === 0 && spent === 0) continue;
      news.push({ name, asked, spent });
      usage.asked = 0;
      usage.spent = 0;
    }
    return news;
  }

  override receive(told: readonly LimitUsage[]): void {
    for (const { name, asked, spent } of told) {
      const holder = this.#parts.findSubject(name);
      if (holder === undefined || !isLimited(holder)) continue;
      const usage = this.#get(holder);
      usage.others.record(asked);
      usage.bucket.level -= spent;
      usage.usedAtMs = this.#parts.clock.monotonicMs();
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

  #get(holder: LimitedSubject): Usage {
    const { name, ratePerS, burst } = holder;
    const { clock, getShare: getPart } = this.#parts;
    const nowMs = clock.monotonicMs();
    const part = getPart();
    const usage = this.#usages.get(name) ?? this.#begin(holder, part);
    const { bucket } = usage;
    // Those that fell silent keep what was theirs.
    if (part < usage.part && bucket.level > 0) {
      bucket.level *= part / usage.part;
    }
    usage.part = part;
    refill(bucket, { ratePerS: ratePerS * part, burst: burst * part }, nowMs);
    return usage;
  }

  #begin(holder: LimitedSubject, part: number): Usage {
    const { clock, random } = this.#parts;
    const nowMs = clock.monotonicMs();
    const getNowMs = () => clock.monotonicMs();
    const usage: Usage = {
      bucket: {
        level: this.#getFirstLevel(holder, part),
        refilledAtMs: nowMs,
      },
      part,
      own: createRateMeter(getNowMs),
      others: createRateMeter(getNowMs),
      window: createWindowCounter(getNowMs, this.#parts.margin.windowMs),
      asked: 0,
      spent: 0,
      credit: random(),
      returnAtMs: nowMs,
      usedAtMs: nowMs,
    };
    this.#usages.set(holder.name, usage);
    return usage;
  }

  /**
   * A holder that nobody told of has rested for as long as others are heard
   * here. What was spent before that is not known.
   */
  #getFirstLevel({ ratePerS, burst }: LimitedSubject, part: number): number {
    const settledS = this.#parts.getStableMs() / 1_000;
    return Math.min(burst, ratePerS * settledS) * part;
  }

  /**
   * VMs that hear few others share nothing worth the name: parts of a request a
   * second, at sixty VMs. Each may use its part of what all may use in a window
   * instead, what it used before counted in. Otherwise nobody would be served
   * for a second after all VMs were lost, or while a region's hub is replaced.
   */
  #isWithinOwnPart(usage: Usage, ratePerS: number, burst: number): boolean {
    if (usage.part >= SCATTERED_PART) return false;
    const { margin, getOwnShare: getOwnPart } = this.#parts;
    const allowed = ratePerS * margin.windowMs / 1_000 + burst;
    const most = allowed * (1 + margin.ratio) + margin.allowance;
    return usage.window.count() + 1 <= OWN_PART * most * getOwnPart();
  }

  #isWithin(usage: Usage, ratePerS: number, burst: number): boolean {
    const { bucket, part, own, others } = usage;
    if (bucket.level < 1) return false;
    const othersPerS = others.getPerS();
    const reserve = Math.min(
      othersPerS * NEWS_LAG_S,
      ratePerS * part * NEWS_LAG_S,
      burst * part * MAX_RESERVE_PART,
    );
    const allowedPerS = ratePerS * part + (bucket.level - reserve) / SETTLE_S;
    const demandPerS = own.getPerS() + othersPerS;
    if (allowedPerS >= demandPerS) return true;
    usage.credit += Math.max(0, allowedPerS / demandPerS);
    if (usage.credit < 1) return false;
    usage.credit--;
    return true;
  }

  /** Callers that were turned away come back one after the other. */
  #getReturn(usage: Usage, ratePerS: number): number {
    const nowMs = this.#parts.clock.monotonicMs();
    const ownPerS = usage.own.getPerS();
    const demandPerS = ownPerS + usage.others.getPerS();
    const sharePerS = ratePerS * usage.part * ownPerS / demandPerS;
    const missing = Math.max(0, 1 - usage.bucket.level);
    const earliestMs = nowMs + missing * 1_000 / (ratePerS * usage.part);
    const latestMs = nowMs + MAX_RETRY_MS;
    usage.returnAtMs = Math.min(
      latestMs,
      Math.max(earliestMs, usage.returnAtMs) + 1_000 / sharePerS,
    );
    return Math.max(MIN_RETRY_MS, Math.round(usage.returnAtMs - nowMs));
  }
}

function spend(usage: Usage, requests: number): void {
  usage.bucket.level -= requests;
  usage.spent += requests;
  usage.window.record(requests);
}
