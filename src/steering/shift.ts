/**
 * Shifts of traffic between regions, and the budget that keeps them under a
 * service's cap. A place, for the cap, is a region: what moves between failure
 * domains of one region does not count. Pure.
 *
 * @module
 */
import type { PlanStep, RegionOf, WeightRow, Weights } from "./types.ts";

/** Part of the cap that plans spend; written by the lease's holder only. */
export const SHARED_CAP_FRACTION = 0.85;
/**
 * Part of the cap that each process may spend by itself. It counts the share
 * of the process's own traffic, so that all processes' parts together are this
 * part of the whole traffic, with no messages. What is left of the cap covers
 * the granularity of client blocks.
 */
export const LOCAL_CAP_FRACTION = 0.1;
/** Time from the writing of a plan until it takes effect everywhere, in ms. */
export const PLAN_LEAD_TIME_MS = 1_500;
/** A process that is later than this walks by its local part, in ms. */
export const MAX_STEP_DELAY_MS = 1_000;
/** How far two clocks may be apart, in ms. */
export const MAX_CLOCK_SKEW_MS = 250;
/** Longest time between the first and the last process to take a step. */
export const MAX_STEP_SPREAD_MS = MAX_STEP_DELAY_MS + 2 * MAX_CLOCK_SKEW_MS;

/** A service's cap. */
export interface ShiftCap {
  /** Share of the service's traffic. */
  maxShare: number;
  windowMs: number;
}

/**
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
 * @param from One row.
 * @param to Another row.
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

/** Two sets of weights and what is needed to compare them. */
export interface WeightChange {
  from: Weights;
  to: Weights;
  regionOf: RegionOf;
}

/**
 * @param change The weights.
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
 * @param change The weights.
 * @returns The largest share of any one region's traffic that changes region.
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

/** Deviations of the moved share from its mean that stay under the cap. */
const DEVIATION_MARGIN = 2;
/** Part of the cap that plans spend however few blocks there are. */
const MIN_SHARED_CAP_FRACTION = 0.25;

/**
 * The share that a window of plans may move. Which blocks move is decided by
 * hashing, so the share that really moves varies around the one planned: with n
 * blocks and a share of s, by a standard deviation of sqrt(s / n).
 *
 * @param maxShare The service's cap.
 * @param blockCount Client blocks of the fleet.
 * @returns The share that plans spend in a window.
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
 * @param cap The service's cap, and the share of it that plans spend.
 * @param trail Steps taken so far.
 * @param nowMs Time on the clock of the steps, in ms.
 * @returns Share that a plan may still move now.
 */
export function getRemainingBudget(
  cap: ShiftCap & { sharedCap: number },
  trail: readonly PlanStep[],
  nowMs: number,
): number {
  const spent = listCountedSteps(trail, cap, nowMs)
    .reduce((sum, step) => sum + step.share, 0);
  return Math.max(0, cap.sharedCap - spent);
}

/**
 * @param trail Steps taken so far.
 * @param cap The service's cap.
 * @param nowMs Time on the clock of the steps, in ms.
 * @returns The steps that still count against the cap.
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
 * Goes part of the way from one row to another. Weights inside a region follow
 * the target at once; only the regions' sums go part of the way.
 *
 * @param from The row in force.
 * @param to The row wanted.
 * @param options Part of the way, 0 to 1, and the failure domains' regions.
 * @returns The row between.
 */
export function interpolateRow(
  from: WeightRow,
  to: WeightRow,
  { part: fraction, regionOf }: { part: number; regionOf: RegionOf },
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
      fraction * ((after[region] ?? 0) - (before[region] ?? 0));
    if (targetSum * shareInRegion > 0) row[domain] = targetSum * shareInRegion;
  }
  return row;
}

/** What a step may spend and on which rows first. */
export interface StepOptions {
  budget: number;
  demandShare: Record<string, number>;
  /** Rows that leave a place that can't serve them go first. */
  isUrgent(region: string): boolean;
}

/**
 * Goes towards wanted weights as far as a budget allows.
 *
 * @param change Weights in force and weights wanted.
 * @param options Budget, and which rows go first.
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
    const fraction = total <= remainingBudget ? 1 : remainingBudget / total;
    remainingBudget = Math.max(0, remainingBudget - total * fraction);
    for (const region of group) {
      const start = from[region] ?? to[region];
      next[region] = interpolateRow(start, to[region], {
        part: fraction,
        regionOf,
      });
    }
  }
  return next;
}
