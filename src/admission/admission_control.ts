/**
 * Admission control: decides at arrival whether a request can be answered before
 * its deadline. Pure.
 *
 * @module
 */

/** Safety factor for the expected wait. */
const WAIT_SAFETY_FACTOR = 1.2;
/** Number of mean service times that must remain when a request starts. */
const MIN_SERVICE_TIMES = 1.5;

/** Input of an admission decision. */
export interface AdmissionInput {
  /** Time left until the deadline, in ms. */
  remainingMs: number;
  /** Mean service time of a request at a backend server, in ms. */
  serviceMs: number;
  /** Maximum number of requests in flight. */
  limit: number;
  /** Number of requests in flight. */
  inFlight: number;
  /** Number of waiting requests of the same class. */
  waitingInClass: number;
  /** Share of turns that the class gets, 0 to 1. */
  classShare: number;
}

/** Whether a request is admitted. */
export type AdmissionDecision =
  /** It is queued; `waitMs` is its expected wait. */
  | { decision: "admit"; waitMs: number }
  /** It cannot finish in time; `waitMs` is the time until it could start. */
  | { decision: "refuse"; reason: string; waitMs: number };

/**
 * @param input Remaining time, service time and queue length.
 * @returns Whether the request is admitted, with its expected wait in ms.
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

/** Estimates the time until a new request of the class gets a slot, in ms. */
function estimateWaitMs(input: AdmissionInput): number {
  const { serviceMs, limit, inFlight, waitingInClass, classShare } = input;
  if (inFlight < limit && waitingInClass === 0) return 0;
  return (waitingInClass + 1) * serviceMs / (limit * classShare);
}

/**
 * Computes the time for a `Retry-After` header, with jitter so that refused
 * callers do not retry at the same time.
 *
 * @param waitMs Expected wait, in ms.
 * @param random Random number in [0, 1).
 * @returns Time to retry after, in whole seconds, at least 1.
 */
export function computeRetryAfterS(waitMs: number, random: number): number {
  const baseS = Math.max(1, waitMs / 1_000);
  return Math.ceil(baseS * (0.5 + random));
}
