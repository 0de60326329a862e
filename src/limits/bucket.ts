/**
 * Token buckets, and meters for the rate and the number of recent requests.
 *
 * @module
 */

/** Contents of a token bucket at some time. */
export interface TokenBucket {
  /** Requests that may run at once; below 0 where the limit was exceeded. */
  level: number;
  refilledAtMs: number;
}

/** Refill rate and capacity of a token bucket. */
export interface BucketSettings {
  ratePerS: number;
  burst: number;
}

/** A single request must fit, however small a share of the limit is. */
const MIN_CAPACITY = 1;

/**
 * Refills a bucket up to the given time.
 *
 * @param bucket The bucket, which is modified.
 * @param settings Its refill rate and capacity.
 * @param nowMs Current time on the monotonic clock.
 */
export function refill(
  bucket: TokenBucket,
  { ratePerS, burst }: BucketSettings,
  nowMs: number,
): void {
  const elapsedS = (nowMs - bucket.refilledAtMs) / 1_000;
  const capacity = Math.max(MIN_CAPACITY, burst);
  bucket.level = Math.min(capacity, bucket.level + ratePerS * elapsedS);
  bucket.refilledAtMs = nowMs;
}

/** Measures a request rate; the weight of a request decays exponentially. */
export interface RateMeter {
  record(requests: number): void;
  /** @returns Requests a second. */
  getPerS(): number;
}

/** The weight of a request falls to 1/e (0.37) in this time. */
const TIME_CONSTANT_MS = 1_000;

/**
 * @param getNowMs The monotonic clock.
 * @returns A meter whose rate is 0.
 */
export function createRateMeter(getNowMs: () => number): RateMeter {
  let total = 0;
  let atMs = getNowMs();

  function decay(): void {
    const nowMs = getNowMs();
    total *= Math.exp((atMs - nowMs) / TIME_CONSTANT_MS);
    atMs = nowMs;
  }

  return {
    record(requests) {
      decay();
      total += requests;
    },
    getPerS() {
      decay();
      return total * 1_000 / TIME_CONSTANT_MS;
    },
  };
}

/** Counts requests in a sliding window. */
export interface WindowCounter {
  /** @param requests Requests to add; negative for a refund. */
  record(requests: number): void;
  /** @returns Requests in the window. */
  count(): number;
}

/** Steps per window. Requests leave the window up to a step late, never early. */
const WINDOW_STEPS = 10;

/**
 * @param getNowMs The monotonic clock.
 * @param windowMs Length of the window.
 * @returns An empty counter.
 */
export function createWindowCounter(
  getNowMs: () => number,
  windowMs: number,
): WindowCounter {
  const stepMs = windowMs / WINDOW_STEPS;
  const counts = new Map<number, number>();

  function getStep(): number {
    return Math.floor(getNowMs() / stepMs);
  }

  return {
    record(requests) {
      const step = getStep();
      counts.set(step, (counts.get(step) ?? 0) + requests);
    },
    count() {
      const oldest = getStep() - WINDOW_STEPS;
      let total = 0;
      for (const [step, requests] of counts) {
        if (step < oldest) counts.delete(step);
        else total += requests;
      }
      return total;
    },
  };
}
