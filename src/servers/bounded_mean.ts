/**
 * Moving means of run times that single long runs hardly change.
 *
 * Load pattern: three in 100 requests take seven times as long as others. Such
 * a run says nothing about the next ones, but in a plain moving mean it counted
 * as seven: learned run times were a sixth too long.
 *
 * @module
 */

/** Moving means by key. */
export interface BoundedMeans {
  /**
   * Updates a mean.
   *
   * @param key The key.
   * @param value The value; counted as at most five times the mean.
   */
  record(key: string, value: number): void;
  /** @returns The mean of a key; undefined before its first value. */
  get(key: string): number | undefined;
}

/**
 * Cache misses take 3.3 times as long as hits, and waiting adds to that: with a
 * ratio of 4, means also changed in a service without long runs.
 */
const MAX_RATIO = 5;
/** Number of first values that may show that an earlier one was an outlier. */
const FIRST_VALUES = 10;

interface BoundedMean {
  value: number;
  count: number;
}

/**
 * @param weight Weight of one value in the moving mean.
 * @returns An empty table of means.
 */
export function createBoundedMeans(weight: number): BoundedMeans {
  const means = new Map<string, BoundedMean>();
  return {
    record(key, value) {
      const mean = means.get(key) ?? { value, count: 0 };
      means.set(key, mean);
      mean.count++;
      if (mean.count <= FIRST_VALUES) {
        mean.value = Math.min(mean.value, MAX_RATIO * value);
      }
      const bounded = Math.min(value, MAX_RATIO * mean.value);
      mean.value += weight * (bounded - mean.value);
    },
    get: (key) => means.get(key)?.value,
  };
}
