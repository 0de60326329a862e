/**
 * How far a request has come.
 *
 * @module
 */
import type { CallerRequest, LossReason, ServerAnswer } from "./types.ts";

/** A request that is being served. */
export interface Progress {
  request: CallerRequest;
  /** The same for each repeat of the request. */
  fingerprint: string;
  service: string;
  objectKey: string;
  /** Whether servers run it faster for having run the object before. */
  hasObject: boolean;
  /** When its time is over, on the monotonic clock. */
  endsAtMs: number;
  /** Servers that it was sent to. */
  tried: Set<string>;
  /**
   * Load of the server that it was last sent to, in requests a slot; infinite
   * before it was sent.
   */
  lastUse: number;
  /** An answer that a retry was hoped to better. */
  fallback: ServerAnswer | undefined;
  /** Why the last attempt that may have run has no answer. */
  lost: LossReason | undefined;
}

/**
 * @param progress A request.
 * @returns What its server remembers it by: another route does other work on
 *   the same object.
 */
export function nameObject({ request, objectKey }: Progress): string {
  return `${request.route.prefix} ${objectKey}`;
}
