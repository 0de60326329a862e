/**
 * Decides at arrival whether a request can still be answered in time. Pure.
 *
 * @module
 */

/** Safety factor on the expected wait. */
const WAIT_SAFETY_FACTOR = 1.2;
/** A request must have this many mean service times left to be started. */
const MIN_SERVICE_TIMES = 1.5;

/** What the decision is made from. */
export interface AdmissionInput {
  /** Time left until the deadline, in ms. */
  remainingMs: number;
  /** Mean time of a request at a backend server, in ms. */
  serviceMs: number;
  /** Requests that may be in flight at once. */
  limit: number;
  inFlight: number;
  /** Requests of the same class that wait. */
  waitingInClass: number;
  /** Share of the turns that the class gets, 0 to 1. */
  classShare: number;
}

/** Whether to let a request wait. */
export type AdmissionDecision =
  | { decision: "admit"; waitMs: number }
  /** It can't finish in time; `waitMs` is when it could have started. */
  | { decision: "refuse"; reason: string; waitMs: number };

/**
 * @param input See there.
 * @returns The decision.
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const { remainingMs, serviceMs, limit, inFlight } = input;
  if (limit <= 0) {
    const reason = "No backend server takes new work here";
    return { decision: "refuse", reason, waitMs: serviceMs };
  }
  const waitMs = estimateWaitMs(input);
  const neededMs = waitMs * WAIT_SAFETY_FACTOR + serviceMs * MIN_SERVICE_TIMES;
  const canStartNow = inFlight < limit && input.waitingInClass === 0;
  if (neededMs <= remainingMs || canStartNow && serviceMs < remainingMs) {
    return { decision: "admit", waitMs };
  }
  const reason = "It can't be answered before its deadline";
  return { decision: "refuse", reason, waitMs };
}

/** Time until a free slot comes to the class's last in line, in ms. */
function estimateWaitMs(input: AdmissionInput): number {
  const { serviceMs, limit, inFlight, waitingInClass, classShare: turnShare } =
    input;
  if (inFlight < limit && waitingInClass === 0) return 0;
  return (waitingInClass + 1) * serviceMs / (limit * turnShare);
}

/**
 * @param waitMs Expected wait, in ms.
 * @param random A number in [0, 1), so that callers do not return together.
 * @returns When to come back, in whole seconds, at least 1.
 */
export function computeRetryAfterS(waitMs: number, random: number): number {
  const baseS = Math.max(1, waitMs / 1_000);
  return Math.ceil(baseS * (0.5 + random));
}
