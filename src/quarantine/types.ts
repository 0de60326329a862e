/**
 * Requests under which backend servers ended.
 *
 * @module
 */

/** A backend server that ended while it had a request. */
export interface ServerEnd {
  /** The start of the server. */
  server: string;
  /** The VM that saw it. */
  vm: string;
  /** When this VM learned of it, on the monotonic clock. */
  atMs: number;
}

/** What is to be done with a request. */
export type Judgement =
  /** Nothing is held against it. */
  | { kind: "clear" }
  /** Servers ended under it; it, or what ran beside it, may be why. */
  | { kind: "suspect"; ends: readonly ServerEnd[] }
  /** It is not run for now. */
  | { kind: "set_aside"; ends: readonly ServerEnd[]; retryAfterMs: number };

/** When requests are set aside. */
export interface QuarantineTerms {
  /**
   * Servers that end under a request, with no answer to it in between, until it
   * is set aside; 0 sets none aside.
   */
  maxServerEnds: number;
}

/**
 * What runs on a server beside a deadly request ends with it as well; by chance
 * that seldom happens three times in a row.
 */
export const DEFAULT_MAX_SERVER_ENDS = 3;
/**
 * Servers that ended under a request up to which it is sent again at once. Most
 * of what a server takes along is harmless; of what took two, little is.
 */
const MAX_ENDS_FOR_RETRY = 1;

/**
 * @param judgement What is held against a request.
 * @returns Whether its arrival may be sent to a further server.
 */
export function maySendAgain(judgement: Judgement): boolean {
  return judgement.kind === "clear" ||
    judgement.ends.length <= MAX_ENDS_FOR_RETRY;
}
