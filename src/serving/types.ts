/**
 * Requests on their way through a VM, and how they end.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { ClientAccount } from "../accounts/types.ts";
import type { ServerSignals } from "../servers/signals.ts";
import type { Route } from "../routing/types.ts";

/** What a client says about its request apart from the request itself. */
export interface CallerTerms {
  requestId: string | undefined;
  /** How long the client waits from now on; absent where it doesn't say. */
  deadlineMs: number | undefined;
  /** The object that the request concerns. */
  objectKey: string | undefined;
  /** What the client shows of who it is, the same in each of its requests. */
  callerKey: string | undefined;
  /** The key of its client account; absent where it shows none. */
  apiKey: string | undefined;
}

/** Who calls, as far as backend servers are told. */
export type Caller =
  /** The configuration has no accounts; what callers show is passed on. */
  | { kind: "no_accounts" }
  /** The route is public: nobody's name and nobody's key is passed on. */
  | { kind: "anyone" }
  | { kind: "account"; name: string };

/** What a backend server is told with a request. */
export interface ServerTerms {
  serverName: string;
  remainingMs: number;
  caller: Caller;
}

/** A request that was read whole. */
export interface CallerRequest {
  method: string;
  /** Path and query as they stand in the request line. */
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  terms: CallerTerms;
  caller: Caller;
  /** Whose limit it counts under; undefined where no account is needed. */
  account: ClientAccount | undefined;
  route: Route;
  /**
   * Regions that may serve the route for this caller; empty where all may,
   * undefined where none may.
   */
  homeRegions: readonly string[] | undefined;
  /** When its headers had arrived, on the monotonic clock. */
  arrivedAtMs: number;
  /** Aborted when the client leaves. */
  signal: AbortSignal;
}

/** What an answer's head says. */
export interface AnswerMark {
  requestId: string | undefined;
  /** Whether the server signed it. */
  isSigned: boolean;
  /** Whether the server says that it did not run the request. */
  isNotRun: boolean;
  /** Whether another server has the address now. */
  isOtherServer: boolean;
  signals: ServerSignals;
}

/** Answers of this status and above are failures of the server. */
export const FIRST_SERVER_ERROR = 500;

/** A whole answer of a backend server. */
export interface ServerAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** Why a request that was sent has no usable answer. */
export type LossReason =
  | "cut"
  | "malformed"
  | "crossed"
  | "unsigned"
  | "timeout"
  | "client_left"
  /** Taken back, since servers ended under the same request. */
  | "set_aside";

/** How one attempt ended. */
export type ExchangeResult =
  | { kind: "answer"; answer: ServerAnswer; signals: ServerSignals }
  /** The server said that it did not run the request. */
  | {
    kind: "not_run";
    reason: "shed" | "other_server";
    signals: ServerSignals;
  }
  /** Not sent: its server drained or backed off before a connection was free. */
  | { kind: "withdrawn" }
  /** No byte of the request can have reached the server. */
  | { kind: "not_sent"; reason: string }
  /** It may have run. */
  | { kind: "lost"; reason: LossReason; detail: string };

/** Why a request is turned away without having run. */
export type RefusalReason =
  | "no_configuration"
  | "no_server"
  | "all_full"
  /** Rate limits or backoffs of servers leave no room. */
  | "throttled"
  | "not_run_anywhere"
  | "too_late"
  /** Too long ago that the caller's key was known to be valid. */
  | "key_unproven"
  /** The route's home regions and the account's have none in common. */
  | "no_home"
  /** Servers ended under the same request; it is not run for now. */
  | "set_aside";

/** How a request ends for its client. */
export type ServeResult =
  | { kind: "answer"; answer: ServerAnswer }
  /** Did not run and never will. */
  | { kind: "refused"; reason: RefusalReason; retryAfterMs: number }
  /** Over the limit of its client account; did not run and never will. */
  | { kind: "limited"; retryAfterMs: number }
  /** Shows no key, or one that no configuration holds. */
  | { kind: "unknown_caller" }
  /** May have run; no usable answer came. */
  | { kind: "failed"; reason: LossReason }
  /** The route's time is over. */
  | { kind: "timed_out" }
  | { kind: "client_left" };

/** Turns the terms of requests and answers into headers and back. */
export abstract class WireCodec {
  /**
   * @param headers Headers of a client's request.
   * @returns What they say about it.
   */
  abstract decodeRequest(headers: IncomingHttpHeaders): CallerTerms;
  /**
   * @param headers Headers of the client's request, without those that concern
   *   one connection.
   * @param terms What the backend server is told.
   * @returns Headers to send.
   */
  abstract encodeRequest(
    headers: IncomingHttpHeaders,
    terms: ServerTerms,
  ): Record<string, string | string[]>;
  /**
   * @param status Status of an answer.
   * @param headers Its headers.
   * @returns What they say about it.
   */
  abstract decodeAnswer(
    status: number,
    headers: IncomingHttpHeaders,
  ): AnswerMark;
  /**
   * @param retryAfterMs When the client should come back.
   * @returns Headers of a refusal.
   */
  abstract encodeRefusal(retryAfterMs: number): Record<string, string>;
  /** @returns Headers that tell a caller how to show its key. */
  abstract encodeChallenge(): Record<string, string>;
}
