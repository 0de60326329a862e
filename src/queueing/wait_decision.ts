/**
 * Decides whether a request that finds all its servers full may wait. Pure.
 *
 * @module
 */

/** What a request that found all its servers full can expect of them. */
export interface SlotProspect {
  /**
   * Expected time until one of the servers accepts the request, in mean run
   * times of the service.
   */
  waitRuns: number;
  /** Utilization, in requests per slot, at which it would then be sent. */
  utilization: number;
  /** Whether one of the servers is expected to have cached the object. */
  isCached: boolean;
}

/** Why a request doesn't wait, or no longer. */
export type WaitDenial =
  /** No server that may take the request is warm, healthy and permitted. */
  | "no_prospect"
  /** No request of the service or route was answered yet. */
  | "unknown_run_time"
  /** The response is expected after the target. */
  | "late"
  /** A slot is expected long after the maximum wait. */
  | "long_queue"
  | "time_over"
  /** More urgent requests take up the bound on waiting requests. */
  | "queue_full"
  | "stopping";

/** Input of the decision. */
export interface WaitInput {
  prospect: SlotProspect | undefined;
  /** Mean run time of the service; undefined before the first answer. */
  meanRunMs: number | undefined;
  /** Run time expected of the request; undefined before the first answer. */
  expectedRunMs: number | undefined;
  /** Slots of all servers of the service. */
  serviceSlots: number;
  /** Waiting requests that come first. */
  ahead: number;
  /**
   * Time left of the target, counted from the arrival of the request, or until
   * its deadline where that is earlier.
   */
  targetLeftMs: number;
  /** Time left of the maximum wait. */
  waitLeftMs: number;
  /** Whether it waits already and was tried again without success. */
  isWaiting: boolean;
}

/** Whether a request may wait. */
export type WaitDecision =
  | { kind: "wait" }
  | { kind: "refuse"; denial: WaitDenial };

/** Share of its target that a request may wait. */
const MAX_WAIT_SHARE = 1 / 8;
/**
 * Expected wait, in maximum waits, from which a request is refused at once. At
 * this bound a slot becomes free in time in four of ten cases.
 */
const MAX_EXPECTED_WAITS = 2;

/**
 * @param targetMs Target latency of a request.
 * @returns Maximum time that it may wait.
 */
export function getMaxWaitMs(targetMs: number): number {
  return targetMs * MAX_WAIT_SHARE;
}

/**
 * @param input What is known of the servers and of the queue.
 * @returns Expected wait in ms; undefined where it is unknown.
 */
export function estimateWaitMs(
  { prospect, meanRunMs, serviceSlots, ahead }: Pick<
    WaitInput,
    "prospect" | "meanRunMs" | "serviceSlots" | "ahead"
  >,
): number | undefined {
  if (prospect === undefined || meanRunMs === undefined) return undefined;
  // Most requests ahead concern other objects and wait for other servers.
  return meanRunMs * (prospect.waitRuns + ahead / Math.max(1, serviceSlots));
}

/**
 * @param input The request and what is known of the servers and of the queue.
 * @returns Whether it may wait.
 */
export function decideWait(input: WaitInput): WaitDecision {
  const { prospect, expectedRunMs } = input;
  if (input.waitLeftMs <= 0) return { kind: "refuse", denial: "time_over" };
  if (prospect === undefined) return { kind: "refuse", denial: "no_prospect" };
  const waitMs = estimateWaitMs(input);
  if (waitMs === undefined || expectedRunMs === undefined) {
    return { kind: "refuse", denial: "unknown_run_time" };
  }
  const responseMs = waitMs + expectedRunMs * Math.max(1, prospect.utilization);
  if (responseMs > input.targetLeftMs) {
    return { kind: "refuse", denial: "late" };
  }
  if (!input.isWaiting && waitMs > MAX_EXPECTED_WAITS * input.waitLeftMs) {
    return { kind: "refuse", denial: "long_queue" };
  }
  return { kind: "wait" };
}
