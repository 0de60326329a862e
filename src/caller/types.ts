/**
 * Calls and their results.
 *
 * @module
 */
import type { Buffer } from "node:buffer";

/** A call to a service. */
export interface Call {
  service: string;
  method: string;
  /** Path and query at the service, starting with `/`. */
  path: string;
  body?: Buffer | string;
  contentType?: string;
  /** Time until the deadline, in ms. */
  deadlineMs: number;
  /** Whether the call may safely run more than once. */
  idempotent: boolean;
  /** IPv4 address of the client on whose behalf the call is made. */
  clientIp: string;
}

/** Result of a call. */
export type CallResult =
  | {
    kind: "answer";
    status: number;
    contentType: string | undefined;
    body: Buffer;
    /** Id of the request, which the backend server receives too. */
    requestId: string;
    serverId: string;
  }
  /** The call did not run; it may be retried after `retryAfterS`. */
  | {
    kind: "not_run";
    reason: string;
    retryAfterS: number;
    requestId: string;
  }
  /** The call may have run. */
  | {
    kind: "unknown";
    reason: string;
    requestId: string;
    /** Key with which the same call may be repeated to learn its result. */
    idempotencyKey: string | undefined;
  };
