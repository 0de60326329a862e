/**
 * Types and thresholds of the quarantine of requests that crash backend
 * servers.
 *
 * @module
 */

/** A crash of a backend server while it had a request. */
export interface ServerCrash {
  /** Id of the server's start; a restarted server has another one. */
  server: string;
  /** Id of the VM that observed the crash. */
  vm: string;
  /** When this VM learned of the crash, on the monotonic clock. */
  atMs: number;
}

/** How a request is to be treated, given the crashes recorded under it. */
export type RequestAssessment =
  /** No crashes are recorded under the request. */
  | { kind: "clear" }
  /** Servers crashed under it; it or a concurrent request may be the cause. */
  | { kind: "suspect"; ends: readonly ServerCrash[] }
  /** The request must not run for another `retryAfterMs` milliseconds. */
  | { kind: "set_aside"; ends: readonly ServerCrash[]; retryAfterMs: number };

/** Settings of the quarantine. */
export interface QuarantineSettings {
  /**
   * Number of server crashes under a request, without an answer in between,
   * after which it is set aside; 0 disables the quarantine.
   */
  maxServerCrashes: number;
}

/**
 * Requests that run beside a poison request crash together with it, but that
 * rarely happens to the same request three times in a row.
 */
export const DEFAULT_MAX_SERVER_CRASHES = 3;
/**
 * Highest number of crashes at which a request is still retried at once. Most
 * of the requests lost in a single crash are harmless; few of those lost in two
 * crashes are.
 */
const MAX_CRASHES_FOR_RETRY = 1;

/**
 * @param assessment Assessment of a request.
 * @returns Whether the request may be sent to another server at once.
 */
export function mayRetry(assessment: RequestAssessment): boolean {
  return assessment.kind === "clear" ||
    assessment.ends.length <= MAX_CRASHES_FOR_RETRY;
}
