/**
 * Decides a service's next plan. A plan that is good enough is kept. Pure.
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

/** Added delay that is not worth a move, in ms and as a share. */
const TOLERATED_DELAY_MS = 0.5;
const TOLERATED_DELAY_SHARE = 0.05;
/** Excess use that is not worth a move. */
const TOLERATED_EXCESS_UTILIZATION = 0.02;
/** A step smaller than this part of the shared budget waits for more. */
const MIN_STEP_FRACTION = 0.25;
/** Differences below this are none. */
const EPSILON = 1e-6;

/** What a decision is made from. */
export interface DecideInput {
  document: ServiceDocument;
  /** The plan in force, if any. */
  current: Plan | undefined;
  /** Weights that processes act on before any plan. */
  defaultWeights: Weights;
  estimate: Estimate;
  regionOf: RegionOf;
  /** Client blocks of the fleet. */
  blockCount: number;
  /** Epoch of the lease held. */
  epoch: number;
  /** Wall-clock time, in ms since the epoch. */
  wallMs: number;
}

/**
 * @param document A service's document.
 * @returns Its cap.
 */
export function getShiftCap(document: ServiceDocument): ShiftCap {
  const { maxShare, windowS } = document.shiftCap;
  return { maxShare, windowMs: windowS * 1_000 };
}

/**
 * @param input See there.
 * @returns The plan to write, or undefined where the one in force is kept.
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

function usesUnavailableDomain(
  input: AssignInput,
  current: Plan,
  region: string,
): boolean {
  const row = current.weights[region] ?? {};
  return input.domainCapacities.some((place) =>
    place.slots === 0 && (row[place.failureDomain] ?? 0) > 0
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
