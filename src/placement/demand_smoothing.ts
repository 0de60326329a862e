/**
 * The demand that regions are planned for: half as measured now, half its mean
 * over the last half minute.
 *
 * Load pattern: callers of each region come in waves of half a minute, and
 * shares may move by a few hundredths a second. Shares that chased a wave kept
 * all objects of a small region at home in its trough and were not back when
 * its crest came.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Demand of every region, in any unit that is the same for all. */
export type RegionDemand = ReadonlyMap<string, number>;

/** Smooths what was measured. */
export interface DemandSmoother {
  /**
   * @param service The service.
   * @param measured Its demand now.
   * @returns Each region's part of the demand to plan for; parts add up to 1.
   */
  smooth(service: string, measured: RegionDemand): RegionDemand;
}

/** Time constant of the mean; a wave lasts about as long. */
const MEAN_MS = 30_000;
/** Weight of what is measured now against the mean. */
const NOW_WEIGHT = 0.5;

interface Mean {
  parts: Map<string, number>;
  atMs: number;
}

/**
 * @param clock The clock.
 * @returns A trend that takes all regions for equal at first.
 */
export function createDemandSmoother(clock: Clock): DemandSmoother {
  const means = new Map<string, Mean>();

  function getMean(service: string, regions: Iterable<string>): Mean {
    const known = means.get(service);
    if (known !== undefined) return known;
    const names = [...regions];
    const parts = new Map(names.map((name) => [name, 1 / names.length]));
    const mean = { parts, atMs: clock.monotonicMs() };
    means.set(service, mean);
    return mean;
  }

  function follow(mean: Mean, parts: RegionDemand): void {
    const nowMs = clock.monotonicMs();
    const weight = 1 - Math.exp(-(nowMs - mean.atMs) / MEAN_MS);
    mean.atMs = nowMs;
    for (const [region, part] of parts) {
      const before = mean.parts.get(region) ?? part;
      mean.parts.set(region, before + weight * (part - before));
    }
  }

  return {
    smooth(service, measured) {
      const mean = getMean(service, measured.keys());
      const parts = toParts(measured);
      follow(mean, parts);
      const planned = new Map<string, number>();
      for (const [region, part] of parts) {
        const usual = mean.parts.get(region) ?? part;
        planned.set(region, usual + NOW_WEIGHT * (part - usual));
      }
      return planned;
    },
  };
}

function toParts(measured: RegionDemand): RegionDemand {
  const total = [...measured.values()].reduce((sum, part) => sum + part, 0);
  const equal = 1 / Math.max(1, measured.size);
  return new Map(
    [...measured].map((
      [region, demand],
    ) => [region, total > 0 ? demand / total : equal]),
  );
}
