/**
 * Rates and means that forget.
 *
 * @module
 */

/** Counts events and gives their rate since the last reading. */
export interface RateCounter {
  add(amount: number): void;
  /** @returns Amount a second, smoothed over a few readings. */
  read(nowMs: number): number;
}

/** Weight of the newest reading. */
const SMOOTHING_FACTOR = 0.4;

/**
 * @param startMs Monotonic time, in ms.
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

/** A mean that gives newer values more weight. */
export interface MovingMean {
  add(value: number): void;
  /** @returns The mean; 0 where nothing was added. */
  value(): number;
}

/**
 * @param smoothingFactor Weight of the newest value, 0 to 1.
 * @returns An empty mean.
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
