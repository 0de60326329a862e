/**
 * Errors with the step in which they occurred and the peer involved.
 *
 * @module
 */

/** Kind of a failure; determines whether the step may be retried. */
export type FailureKind =
  /** Nothing was sent, so the peer can't have acted on it. */
  | "not_sent"
  /** Data was sent but no answer arrived: the peer may have acted on it. */
  | "unknown"
  /** The peer answered that it did not act. */
  | "refused"
  /** A compare-and-set found a different version. */
  | "conflict"
  /** The input is invalid. */
  | "invalid";

/** Context of an error. */
export interface ErrorContext {
  /** Step that failed, such as `table.transact`. */
  step: string;
  /** Address or id of the peer; `self` where no peer took part. */
  peer: string;
  kind: FailureKind;
  cause?: unknown;
}

/** An error with the step that failed and the peer involved. */
export class StepError extends Error {
  readonly step: string;
  readonly peer: string;
  readonly kind: FailureKind;

  /**
   * @param message Description of the failure, for people.
   * @param context Step, peer, kind and cause of the failure.
   */
  constructor(message: string, context: ErrorContext) {
    super(message, { cause: context.cause });
    this.name = "StepError";
    this.step = context.step;
    this.peer = context.peer;
    this.kind = context.kind;
  }
}

/** Codes of connection errors that occur before any byte is sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Determines whether a failed request may have reached the peer.
 *
 * @param cause The error thrown by the HTTP client.
 * @returns `not_sent` where certainly no byte left this process, otherwise
 *   `unknown`.
 */
export function classifyTransportError(cause: unknown): FailureKind {
  const code = (cause as { code?: unknown } | undefined)?.code;
  if (typeof code === "string" && NOT_SENT_CODES.has(code)) return "not_sent";
  return "unknown";
}

/**
 * @param cause Any thrown value.
 * @returns A description for logs.
 */
export function describeError(cause: unknown): string {
  if (cause instanceof StepError) {
    return `${cause.message} (step ${cause.step}, peer ${cause.peer}, ${cause.kind})`;
  }
  if (cause instanceof Error) return cause.message || cause.name;
  return String(cause);
}
