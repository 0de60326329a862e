/**
 * A token bucket: what an account may do at once, and how that refills.
 *
 * @module
 */

/** A bucket at some time. */
export interface Bucket {
  level: number;
  refilledAtMs: number;
}

/** How a bucket refills. */
export interface BucketTerms {
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
  bucket: Bucket,
  { ratePerS, burst }: BucketTerms,
  nowMs: number,
): void {
  const elapsedS = (nowMs - bucket.refilledAtMs) / 1_000;
  const capacity = Math.max(MIN_CAPACITY, burst);
  bucket.level = Math.min(capacity, bucket.level + ratePerS * elapsedS);
  bucket.refilledAtMs = nowMs;
}

/** Requests in a moving second, older ones counting less and less. */
export interface RateMeter {
  note(requests: number): void;
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
    note(requests) {
      age();
      total += requests;
    },
    getPerS() {
      age();
      return total * 1_000 / MEMORY_MS;
    },
  };
}
