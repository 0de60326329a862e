/**
 * A token bucket: what may be done at once, and how that refills.
 *
 * @module
 */

/** A bucket at some time. */
export interface TokenBucket {
  level: number;
  refilledAtMs: number;
}

/** How a bucket refills. */
export interface BucketSettings {
  ratePerS: number;
  burst: number;
}

/** One request has to fit, however small the part of a limit is. */
const MIN_CAPACITY = 1;

/**
 * @param bucket The bucket, which is refilled up to now.
 * @param terms How it refills.
 * @param nowMs Now, on the monotonic clock.
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

/** Requests in a moving second, older ones counting less and less. */
export interface RateMeter {
  record(requests: number): void;
  getPerS(): number;
}

/** Weight of a request falls to 0.37 in this time. */
const MEMORY_MS = 1_000;

/**
 * @param getNowMs The monotonic clock.
 * @returns A meter that counted nothing.
 */
export function createRateMeter(getNowMs: () => number): RateMeter {
  let total = 0;
  let atMs = getNowMs();

  function age(): void {
    const nowMs = getNowMs();
    total *= Math.exp((atMs - nowMs) / MEMORY_MS);
    atMs = nowMs;
  }

  return {
    record(requests) {
      age();
      total += requests;
    },
    getPerS() {
      age();
      return total * 1_000 / MEMORY_MS;
    },
  };
}

/** Requests in a moving window. */
export interface WindowCounter {
  /** @param requests Added; below zero, taken back. */
  record(requests: number): void;
  count(): number;
}

/** Steps in which a window moves on; what leaves it leaves late, never early. */
const WINDOW_STEPS = 10;

/**
 * @param getNowMs The monotonic clock.
 * @param windowMs Length of the window.
 * @returns A counter that counted nothing.
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
