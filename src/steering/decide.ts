/**
 * Decides on a service's next plan. A plan close to the best one is kept, since
 * each change uses up part of the shift cap. Pure functions.
 *
 * @module
 */
import type { ServiceDocument } from "../config/schema.ts";
import { assessWeights, assign } from "./assign.ts";
import type { Estimate } from "./estimate.ts";
import {
  getRemainingBudget,
  getSharedCap,
  listCountedSteps,
  measureShift,
  PLAN_LEAD_TIME_MS,
  type ShiftCap,
  stepTowards,
} from "./shift.ts";
import type { AssignInput, Plan, RegionOf, Weights } from "./types.ts";

/** Added delay that is tolerated rather than move traffic, in ms. */
const TOLERATED_DELAY_MS = 0.5;
/** The same, as a share of the delay of the best weights. */
const TOLERATED_DELAY_SHARE = 0.05;
/**
 * Excess utilization that is tolerated rather than move traffic, as a share.
 */
const TOLERATED_EXCESS_UTILIZATION = 0.02;
/**
 * While less than this fraction of the shared cap is left, partial steps wait.
 */
const MIN_STEP_FRACTION = 0.25;
/** Shares and weights that differ by less than this count as equal. */
const EPSILON = 1e-6;

/** Input of a decision. */
export interface DecideInput {
  document: ServiceDocument;
  /** The plan in force, if any. */
  current: Plan | undefined;
  /** Weights that processes use before any plan. */
  defaultWeights: Weights;
  estimate: Estimate;
  regionOf: RegionOf;
  /** Number of client blocks in the fleet. */
  blockCount: number;
  /** Epoch of the lease that this steer holds. */
  epoch: number;
  /** Wall-clock time, in ms since the Unix epoch. */
  wallMs: number;
}

/**
 * Reads the shift cap of a service.
 *
 * @param document The service's document.
 * @returns The cap, with its window in ms.
 */
export function getShiftCap(document: ServiceDocument): ShiftCap {
  const { maxShare, windowS } = document.shiftCap;
  return { maxShare, windowMs: windowS * 1_000 };
}

/**
 * Decides on a service's next plan. The first plan is made of the default
 * weights.
 *
 * @param input The plan in force, the estimated load and the time.
 * @returns The plan to write, or undefined where the current one is kept: it
 * has not taken effect yet, it is acceptable, or the budget allows no useful
 * step.
 */
export function decidePlan(input: DecideInput): Plan | undefined {
  const { current, estimate, document } = input;
  if (current === undefined) return makePlan(input, input.defaultWeights, 0);
  if (input.wallMs < current.effectiveAtMs) return undefined;
  const target = assign(estimate.input);
  if (isAcceptable(estimate.input, current.weights, target)) return undefined;
  const change = {
    from: current.weights,
    to: target,
    regionOf: input.regionOf,
  };
  const cap = getShiftCap(document);
  const sharedCap = getSharedCap(cap.maxShare, input.blockCount);
  const budget = getRemainingBudget(
    { ...cap, sharedCap },
    current.trail,
    input.wallMs + PLAN_LEAD_TIME_MS,
  );
  const requiredShare = measureShift(change, estimate.demandShare);
  const minBudget = sharedCap * MIN_STEP_FRACTION;
  if (requiredShare > budget && budget < minBudget) return undefined;
  const next = stepTowards(change, {
    budget,
    demandShare: estimate.demandShare,
    isUrgent: (region) =>
      usesUnavailableDomain(estimate.input, current, region),
  });
  const share = measureShift({ ...change, to: next }, estimate.demandShare);
  if (share < EPSILON && areEqual(current.weights, next)) return undefined;
  return makePlan(input, next, share);
}

function makePlan(input: DecideInput, weights: Weights, share: number): Plan {
  const { document, current, estimate, epoch, wallMs } = input;
  const number = (current?.number ?? 0) + 1;
  const effectiveAtMs = wallMs + PLAN_LEAD_TIME_MS;
  const cap = getShiftCap(document);
  const trail = listCountedSteps(current?.trail ?? [], cap, wallMs);
  return {
    service: document.service,
    number,
    epoch,
    effectiveAtMs,
    weights,
    demandShare: estimate.demandShare,
    trail: [...trail, { number, atMs: effectiveAtMs, share }],
  };
}

/** Whether the current weights are within tolerance of the target's effect. */
function isAcceptable(
  input: AssignInput,
  current: Weights,
  target: Weights,
): boolean {
  if (input.demand.some(({ region }) => current[region] === undefined)) {
    return false;
  }
  const currentAssessment = assessWeights(input, current);
  const targetAssessment = assessWeights(input, target);
  const allowedUtilization = Math.max(1, targetAssessment.maxUtilization) +
    TOLERATED_EXCESS_UTILIZATION;
  const allowedDelayMs =
    targetAssessment.meanDelayMs * (1 + TOLERATED_DELAY_SHARE) +
    TOLERATED_DELAY_MS;
  return currentAssessment.maxUtilization <= allowedUtilization &&
    currentAssessment.meanDelayMs <= allowedDelayMs;
}

/** Whether a region's callers are sent to a failure domain without slots. */
function usesUnavailableDomain(
  input: AssignInput,
  current: Plan,
  region: string,
): boolean {
  const row = current.weights[region] ?? {};
  return input.domainCapacities.some((domain) =>
    domain.slots === 0 && (row[domain.failureDomain] ?? 0) > 0
  );
}

function areEqual(a: Weights, b: Weights): boolean {
  return Object.entries(b).every(([region, row]) => {
    const other = a[region] ?? {};
    const domains = new Set([...Object.keys(row), ...Object.keys(other)]);
    return [...domains].every((domain) =>
      Math.abs((row[domain] ?? 0) - (other[domain] ?? 0)) < EPSILON
    );
  });
}
