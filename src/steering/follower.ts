/**
 * The weights that a process uses. A process follows plans step by step; where
 * it missed steps or receives no plans, it moves within its local part of the
 * shift cap. Pure functions, which change only the state passed in.
 *
 * @module
 */
import {
  interpolateRow,
  listCountedSteps,
  LOCAL_CAP_FRACTION,
  MAX_STEP_DELAY_MS,
  measureLargestRowShift,
  measureRowShift,
  type ShiftCap,
} from "./shift.ts";
import type { Plan, RegionOf, Weights } from "./types.ts";

/** A move made within the local cap. */
interface LocalMove {
  /** Monotonic time, in ms. */
  atMs: number;
  /** Largest share of one region's traffic that changed region. */
  share: number;
}

/** The weights that a process uses for one service, and their origin. */
export interface FollowerState {
  /** Weights in force. */
  weights: Weights;
  /** Number of the plan last reached in full; 0 before any. */
  number: number;
  /** Whether `weights` are those of plan `number`. */
  inStep: boolean;
  /** Moves that count against the local cap. */
  moves: LocalMove[];
}

/** Cap, regions and time at a step. */
export interface FollowContext {
  cap: ShiftCap;
  regionOf: RegionOf;
  /** Monotonic time, in ms. */
  nowMs: number;
  /** Wall-clock time, in ms since the Unix epoch. */
  wallMs: number;
}

/**
 * Creates a follower.
 *
 * @param weights Weights to use until a plan is known.
 * @returns The initial state.
 */
export function createFollower(weights: Weights): FollowerState {
  return { weights, number: 0, inStep: true, moves: [] };
}

/**
 * Follows a plan. The first plan is adopted at once, and one that the process
 * can take in step with the others when it takes effect; towards any other plan
 * the process moves within its local cap.
 *
 * @param state Changed in place.
 * @param plan The newest plan known.
 * @param context Cap, regions and time.
 */
export function followPlan(
  state: FollowerState,
  plan: Plan,
  context: FollowContext,
): void {
  if (plan.number < state.number) return;
  if (state.inStep && plan.number === state.number) return;
  if (state.number === 0 || hasAllStepsOnTime(state, plan, context)) {
    if (state.number > 0 && context.wallMs < plan.effectiveAtMs) return;
    state.weights = plan.weights;
    state.number = plan.number;
    state.inStep = true;
    return;
  }
  moveWithinLocalCap(state, plan.weights, context);
  const remainingShift = measureLargestRowShift({
    from: state.weights,
    to: plan.weights,
    regionOf: context.regionOf,
  });
  if (remainingShift > 1e-9) return;
  state.weights = plan.weights;
  state.number = plan.number;
  state.inStep = true;
}

/**
 * Whether all steps since the plan in force are in the trail, and none that
 * moves traffic is too late.
 */
function hasAllStepsOnTime(
  state: FollowerState,
  plan: Plan,
  { wallMs }: FollowContext,
): boolean {
  if (!state.inStep) return false;
  const missing = plan.trail.filter((step) => step.number > state.number);
  const complete = missing.length === plan.number - state.number;
  return complete &&
    missing.every((step) =>
      step.share === 0 || wallMs - step.atMs <= MAX_STEP_DELAY_MS
    );
}

/**
 * Moves weights towards a target within the local cap.
 *
 * @param state Changed in place; no longer in step with a plan.
 * @param target The target weights.
 * @param context Cap, regions and time.
 */
export function moveWithinLocalCap(
  state: FollowerState,
  target: Weights,
  { cap, regionOf, nowMs }: FollowContext,
): void {
  state.moves = listCountedSteps(state.moves, cap, nowMs);
  const usedShare = state.moves.reduce((sum, move) => sum + move.share, 0);
  const budget = Math.max(0, cap.maxShare * LOCAL_CAP_FRACTION - usedShare);
  const next: Weights = {};
  let largestShift = 0;
  for (const [region, targetRow] of Object.entries(target)) {
    const startRow = state.weights[region] ?? targetRow;
    const shift = measureRowShift(startRow, targetRow, regionOf);
    const part = shift <= budget ? 1 : budget / shift;
    next[region] = interpolateRow(startRow, targetRow, { part, regionOf });
    largestShift = Math.max(largestShift, shift * part);
  }
  state.inStep = false;
  state.weights = next;
  if (largestShift > 0) state.moves.push({ atMs: nowMs, share: largestShift });
}
