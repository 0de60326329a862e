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
