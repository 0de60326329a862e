/**
 * Errors that carry the step and the peer at which they arose.
 *
 * @module
 */

/** What kind of failure it was; decides whether a retry is allowed. */
export type FailureKind =
  /** Nothing was sent: the peer can't have acted on it. */
  | "not_sent"
  /** Something was sent and no answer came: the peer may have acted on it. */
  | "unknown"
  /** The peer answered that it did not act. */
  | "refused"
  /** A compare-and-set found another version. */
  | "conflict"
  /** The input is not acceptable. */
  | "invalid";

/** Where an error arose. */
export interface ErrorPlace {
  /** The step, for instance `table.transact`. */
  step: string;
  /** The peer's address or id; `self` where no peer took part. */
  peer: string;
  kind: FailureKind;
  cause?: unknown;
}

/** An error with its step and peer. */
export class StepError extends Error {
  readonly step: string;
  readonly peer: string;
  readonly kind: FailureKind;

  /**
   * @param message What went wrong, for a person.
   * @param place Where it arose.
   */
  constructor(message: string, place: ErrorPlace) {
    super(message, { cause: place.cause });
    this.name = "StepError";
    this.step = place.step;
    this.peer = place.peer;
    this.kind = place.kind;
  }
}

/** Codes of connection errors that arise before any byte is sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Decides whether a failed exchange may have reached its peer.
 *
 * @param cause The error thrown by the HTTP client.
 * @returns `not_sent` only when no byte can have left this process.
 */
export function classifyTransportError(cause: unknown): FailureKind {
  const code = (cause as { code?: unknown } | undefined)?.code;
  if (typeof code === "string" && NOT_SENT_CODES.has(code)) return "not_sent";
  return "unknown";
}

/**
 * @param cause Anything thrown.
 * @returns A one-line text for logs.
 */
export function describeError(cause: unknown): string {
  if (cause instanceof StepError) {
    return `${cause.message} (step ${cause.step}, peer ${cause.peer}, ${cause.kind})`;
  }
  if (cause instanceof Error) return cause.message || cause.name;
  return String(cause);
}
