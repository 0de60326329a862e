/**
 * Measures shifts of traffic between regions and budgets them under a service's
 * shift cap. Moves between failure domains of one region do not count against
 * the cap. Pure functions.
 *
 * @module
 */
import type { PlanStep, RegionOf, WeightRow, Weights } from "./types.ts";

/**
 * Largest fraction of the cap that plans, written by the lease's holder, may
 * use.
 */
export const SHARED_CAP_FRACTION = 0.85;
/**
 * Fraction of the cap that each process may use by itself, without a plan. It
 * applies to the process's own traffic, so all processes together stay within
 * this fraction of the whole traffic without exchanging messages. The rest of
 * the cap covers the granularity of client blocks.
 */
export const LOCAL_CAP_FRACTION = 0.1;
/** Time from the writing of a plan until it takes effect everywhere, in ms. */
export const PLAN_LEAD_TIME_MS = 1_500;
/** Delay beyond which a process takes a step within its local cap, in ms. */
export const MAX_STEP_DELAY_MS = 1_000;
/** Largest assumed difference between two clocks, in ms. */
export const MAX_CLOCK_SKEW_MS = 250;
/**
 * Longest time between the first and the last process to take a step, in ms.
 */
export const MAX_STEP_SPREAD_MS = MAX_STEP_DELAY_MS + 2 * MAX_CLOCK_SKEW_MS;

/** Limit on the traffic of a service that changes region within a window. */
export interface ShiftCap {
  /** Share of the service's traffic, 0 to 1. */
  maxShare: number;
  /** Length of the window, in ms. */
  windowMs: number;
}

/**
 * Sums the weights of a row by region.
 *
 * @param row Weights by failure domain.
 * @param regionOf Region of each failure domain.
 * @returns Weights by region.
 */
export function sumByRegion(row: WeightRow, regionOf: RegionOf): WeightRow {
  const sums: WeightRow = {};
  for (const [domain, weight] of Object.entries(row)) {
    const region = regionOf.get(domain) ?? domain;
    sums[region] = (sums[region] ?? 0) + weight;
  }
  return sums;
}

/**
 * Measures the shift between two rows.
 *
 * @param from The row before.
 * @param to The row after.
 * @param regionOf Region of each failure domain.
 * @returns Share of the row's traffic that changes region, 0 to 1.
 */
export function measureRowShift(
  from: WeightRow,
  to: WeightRow,
  regionOf: RegionOf,
): number {
  const before = sumByRegion(from, regionOf);
  const after = sumByRegion(to, regionOf);
  const regions = new Set([...Object.keys(before), ...Object.keys(after)]);
  let difference = 0;
  for (const region of regions) {
    difference += Math.abs((before[region] ?? 0) - (after[region] ?? 0));
  }
  return difference / 2;
}

/** A change from one set of weights to another. */
export interface WeightChange {
  from: Weights;
  to: Weights;
  regionOf: RegionOf;
}

/**
 * Measures the shift that a change causes in the service's traffic. A region
 * without a row before counts as unmoved.
 *
 * @param change The weights before and after.
 * @param demandShare Share of the traffic that comes from each region.
 * @returns Share of the service's traffic that changes region.
 */
export function measureShift(
  { from, to, regionOf }: WeightChange,
  demandShare: Record<string, number>,
): number {
  return Object.keys(to).reduce((sum, region) => {
    const row = measureRowShift(
      from[region] ?? to[region],
      to[region],
      regionOf,
    );
    return sum + row * (demandShare[region] ?? 0);
  }, 0);
}

/**
 * Measures the largest shift that a change causes in one region's traffic.
 *
 * @param change The weights before and after.
 * @returns The share of that region's traffic that changes region, 0 to 1.
 */
export function measureLargestRowShift(
  { from, to, regionOf }: WeightChange,
): number {
  return Math.max(
    0,
    ...Object.keys(to).map((region) =>
      measureRowShift(from[region] ?? to[region], to[region], regionOf)
    ),
  );
}

/** Standard deviations of the moved share that are kept below the cap. */
const DEVIATION_MARGIN = 2;
/** Fraction of the cap that plans may use with any number of blocks. */
const MIN_SHARED_CAP_FRACTION = 0.25;

/**
 * Computes the share of the traffic that plans may move within a window.
 * Hashing selects the client blocks that move, so the share that actually moves
 * varies around the planned one: for n blocks and a share s, with a standard
 * deviation of sqrt(s / n).
 *
 * @param maxShare The service's cap, as a share of its traffic.
 * @param blockCount Number of client blocks in the fleet.
 * @returns The share of the traffic that plans may move in a window.
 */
export function getSharedCap(maxShare: number, blockCount: number): number {
  const deviation = Math.sqrt(maxShare / blockCount);
  const withinMargin = maxShare * (1 - LOCAL_CAP_FRACTION) -
    DEVIATION_MARGIN * deviation;
  return Math.max(
    maxShare * MIN_SHARED_CAP_FRACTION,
    Math.min(maxShare * SHARED_CAP_FRACTION, withinMargin),
  );
}

/**
 * Computes what plans may still move at a time.
 *
 * @param cap The service's cap, and the share of the traffic that plans may
 * move.
 * @param trail Steps taken so far.
 * @param nowMs Time on the clock of the steps, in ms.
 * @returns The remaining share of the service's traffic.
 */
export function getRemainingBudget(
  cap: ShiftCap & { sharedCap: number },
  trail: readonly PlanStep[],
  nowMs: number,
): number {
  const usedShare = listCountedSteps(trail, cap, nowMs)
    .reduce((sum, step) => sum + step.share, 0);
  return Math.max(0, cap.sharedCap - usedShare);
}

/**
 * Lists the steps that still count against the cap: those of the last window,
 * lengthened by the time in which processes may take a step one after another.
 *
 * @param trail Steps taken so far.
 * @param cap The service's cap.
 * @param nowMs Time on the clock of the steps, in ms.
 * @returns The steps that count.
 */
export function listCountedSteps<T extends { atMs: number }>(
  trail: readonly T[],
  cap: ShiftCap,
  nowMs: number,
): T[] {
  return trail.filter((step) =>
    nowMs - step.atMs < cap.windowMs + MAX_STEP_SPREAD_MS
  );
}

/**
 * Interpolates between two rows. Only the regions' sums are interpolated;
 * inside a region, the weights take the target's proportions at once.
 *
 * @param from The row in force.
 * @param to The target row.
 * @param options The fraction to move, 0 to 1, and the failure domains'
 * regions.
 * @returns The interpolated row.
 */
export function interpolateRow(
  from: WeightRow,
  to: WeightRow,
  { part, regionOf }: { part: number; regionOf: RegionOf },
): WeightRow {
  const before = sumByRegion(from, regionOf);
  const after = sumByRegion(to, regionOf);
  const row: WeightRow = {};
  for (const domain of new Set([...Object.keys(from), ...Object.keys(to)])) {
    const region = regionOf.get(domain) ?? domain;
    const source = (after[region] ?? 0) > 0 ? to : from;
    const sourceSum = (source === to ? after : before)[region] ?? 0;
    const shareInRegion = sourceSum > 0 ? (source[domain] ?? 0) / sourceSum : 0;
    const targetSum = (before[region] ?? 0) +
      part * ((after[region] ?? 0) - (before[region] ?? 0));
    if (targetSum * shareInRegion > 0) row[domain] = targetSum * shareInRegion;
  }
  return row;
}

/** Budget of a step and the order in which rows use it. */
export interface StepOptions {
  /** Share of the service's traffic that may change region. */
  budget: number;
  /** Share of the service's traffic that comes from each region. */
  demandShare: Record<string, number>;
  /**
   * @returns Whether a region's row moves first, as its domains can't serve it.
   */
  isUrgent(region: string): boolean;
}

/**
 * Moves weights towards a target as far as a budget allows. Urgent rows use the
 * budget first; rows of one group make the same part of their change.
 *
 * @param change The weights in force and the target.
 * @param options The budget and the urgent rows.
 * @returns The weights after the step.
 */
export function stepTowards(
  { from, to, regionOf }: WeightChange,
  { budget, demandShare, isUrgent }: StepOptions,
): Weights {
  const regions = Object.keys(to);
  const urgentRegions = regions.filter(isUrgent);
  const otherRegions = regions.filter((region) => !isUrgent(region));
  const next: Weights = {};
  let remainingBudget = budget;
  for (const group of [urgentRegions, otherRegions]) {
    const costs = group.map((region) =>
      measureRowShift(from[region] ?? to[region], to[region], regionOf) *
      (demandShare[region] ?? 0)
    );
    const total = costs.reduce((sum, cost) => sum + cost, 0);
    const part = total <= remainingBudget ? 1 : remainingBudget / total;
    remainingBudget = Math.max(0, remainingBudget - total * part);
    for (const region of group) {
      const start = from[region] ?? to[region];
      next[region] = interpolateRow(start, to[region], { part, regionOf });
    }
  }
  return next;
}
