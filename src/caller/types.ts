/**
 * What a caller asks and gets.
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
  /** Time until the answer is of no more use, in ms. */
  deadlineMs: number;
  /** Whether running it twice does no harm. */
  idempotent: boolean;
  /** The client on whose behalf the call is made, as an IPv4 number. */
  clientIp: string;
}

/** How a call ended. */
export type CallResult =
  | {
    kind: "answer";
    status: number;
    contentType: string | undefined;
    body: Buffer;
    /** Id of the request, the same at the backend server. */
    requestId: string;
    serverId: string;
  }
  /** It did not run; it may be made again after `retryAfterS`. */
  | {
    kind: "not_run";
    reason: string;
    retryAfterS: number;
    requestId: string;
  }
  /** It may have run. */
  | {
    kind: "unknown";
    reason: string;
    requestId: string;
    /** Key under which the same call may be asked about again. */
    idempotencyKey: string | undefined;
  };
