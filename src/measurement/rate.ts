/**
 * Event rates and means, both exponentially weighted moving averages.
 *
 * @module
 */

/** Counts events and computes their smoothed rate. */
export interface RateCounter {
  /** @param amount Amount to add to the count, for instance of events. */
  add(amount: number): void;
  /**
   * Reads the rate and resets the count.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The smoothed amount per second. Where no time has passed since the
   * last reading, that reading's result (0 without one); the count is then
   * kept.
   */
  read(nowMs: number): number;
}

/** Weight of the newest reading, 0 to 1. */
const SMOOTHING_FACTOR = 0.4;

/**
 * Creates a rate counter.
 *
 * @param startMs Monotonic time from which events are counted, in ms.
 * @returns A counter at 0.
 */
export function createRateCounter(startMs: number): RateCounter {
  let amount = 0;
  let lastMs = startMs;
  let smoothed: number | undefined;
  return {
    add(more) {
      amount += more;
    },
    read(nowMs) {
      const elapsedMs = nowMs - lastMs;
      if (elapsedMs <= 0) return smoothed ?? 0;
      const rate = amount * 1_000 / elapsedMs;
      amount = 0;
      lastMs = nowMs;
      smoothed = smoothed === undefined
        ? rate
        : smoothed + SMOOTHING_FACTOR * (rate - smoothed);
      return smoothed;
    },
  };
}

/** An exponentially weighted moving average. */
export interface MovingMean {
  /** @param value Value to include, in any unit. */
  add(value: number): void;
  /** @returns The mean, in the unit of the values; 0 before the first one. */
  value(): number;
}

/**
 * Creates a moving mean.
 *
 * @param smoothingFactor Weight of the newest value, 0 to 1.
 * @returns A mean without values.
 */
export function createMovingMean(smoothingFactor: number): MovingMean {
  let mean: number | undefined;
  return {
    add(value) {
      mean = mean === undefined
        ? value
        : mean + smoothingFactor * (value - mean);
    },
    value: () => mean ?? 0,
  };
}
