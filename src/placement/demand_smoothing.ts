/**
 * Smooths the demand that region shares are computed from: the mean of the
 * current measurement and of its moving average over half a minute.
 *
 * Load pattern: demand of each region rises and falls within half a minute,
 * while shares may move by only a few hundredths per second. Shares that
 * followed the current demand kept all objects of a small region local while
 * its demand was low, and had not moved back when its demand peaked.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Demand of each region, in any unit that is the same for all regions. */
export type RegionDemand = ReadonlyMap<string, number>;

/** Smooths measured demand. */
export interface DemandSmoother {
  /**
   * Adds a measurement and returns the smoothed demand.
   *
   * @param service The name of the service.
   * @param measured Its current demand by region.
   * @returns Each region's share of the smoothed demand; the shares add up to 1.
   */
  smooth(service: string, measured: RegionDemand): RegionDemand;
}

/** Time constant of the moving average, about the length of one demand wave. */
const AVERAGE_TIME_CONSTANT_MS = 30_000;
/** Weight of the current measurement against the moving average. */
const CURRENT_WEIGHT = 0.5;

/** Exponential moving average of the regions' shares of the demand. */
interface MovingAverage {
  shares: Map<string, number>;
  updatedAtMs: number;
}

/**
 * @param clock The clock.
 * @returns A smoother whose averages start with the same share for all regions.
 */
export function createDemandSmoother(clock: Clock): DemandSmoother {
  const averages = new Map<string, MovingAverage>();

  function getAverage(
    service: string,
    regions: Iterable<string>,
  ): MovingAverage {
    const existing = averages.get(service);
    if (existing !== undefined) return existing;
    const names = [...regions];
    const shares = new Map(names.map((name) => [name, 1 / names.length]));
    const average = { shares, updatedAtMs: clock.monotonicMs() };
    averages.set(service, average);
    return average;
  }

  function updateAverage(average: MovingAverage, shares: RegionDemand): void {
    const nowMs = clock.monotonicMs();
    const weight = 1 -
      Math.exp(-(nowMs - average.updatedAtMs) / AVERAGE_TIME_CONSTANT_MS);
    average.updatedAtMs = nowMs;
    for (const [region, share] of shares) {
      const before = average.shares.get(region) ?? share;
      average.shares.set(region, before + weight * (share - before));
    }
  }

  return {
    smooth(service, measured) {
      const average = getAverage(service, measured.keys());
      const shares = normalize(measured);
      updateAverage(average, shares);
      const smoothed = new Map<string, number>();
      for (const [region, share] of shares) {
        const averageShare = average.shares.get(region) ?? share;
        smoothed.set(
          region,
          averageShare + CURRENT_WEIGHT * (share - averageShare),
        );
      }
      return smoothed;
    },
  };
}

/** Scales demand to a sum of 1; without any demand all shares are equal. */
function normalize(measured: RegionDemand): RegionDemand {
  const total = [...measured.values()].reduce((sum, value) => sum + value, 0);
  const equalShare = 1 / Math.max(1, measured.size);
  return new Map(
    [...measured].map((
      [region, demand],
    ) => [region, total > 0 ? demand / total : equalShare]),
  );
}
