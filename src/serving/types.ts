/**
 * Types of requests, attempts and their results.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { ClientAccount } from "../accounts/types.ts";
import type { ServerSignals } from "../servers/signals.ts";
import type { Route } from "../routing/types.ts";
import type { BodyHold } from "./body_budget.ts";

/** Metadata that a client sends in the headers of its request. */
export interface RequestMetadata {
  requestId: string | undefined;
  /** How long the client waits from now on; undefined if not given. */
  deadlineMs: number | undefined;
  /** Key of the object that the request concerns. */
  objectKey: string | undefined;
  /** Credentials that identify the caller; the same in each of its requests. */
  callerKey: string | undefined;
  /** Key of the client account; undefined if not given. */
  apiKey: string | undefined;
}

/** Identity of the caller as passed on to backend servers. */
export type CallerIdentity =
  /** The configuration has no accounts; the caller's headers are passed on. */
  | { kind: "no_accounts" }
  /** The route is public: neither account name nor key is passed on. */
  | { kind: "anyone" }
  | { kind: "account"; name: string };

/** Metadata that is sent to a backend server with a request. */
export interface ServerRequestMetadata {
  /** Name under which the server is registered. */
  serverName: string;
  /** Time that the server has to answer. */
  remainingMs: number;
  caller: CallerIdentity;
}

/**
 * Tells that a client has disconnected. An `AbortSignal` is one, but it is an
 * event target, whose creation and listeners cost more than the rest of the
 * record of a request.
 */
export interface ClientSignal {
  readonly aborted: boolean;
  /**
   * @param type The event.
   * @param listener Called once, when the client disconnects.
   */
  addEventListener(type: "abort", listener: () => void): void;
  /**
   * @param type The event.
   * @param listener A listener to remove.
   */
  removeEventListener(type: "abort", listener: () => void): void;
}

/** A request of a client, read completely. */
export interface CallerRequest {
  method: string;
  /** Path and query as they stand in the request line. */
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  metadata: RequestMetadata;
  caller: CallerIdentity;
  /** Account whose limit applies; undefined where no account is needed. */
  account: ClientAccount | undefined;
  route: Route;
  /**
   * Regions that may serve the route for this caller; empty where all may,
   * undefined where none may.
   */
  homeRegions: readonly string[] | undefined;
  /** When the headers may have arrived first, on the monotonic clock. */
  arrivedAtMs: number;
  /** Time from then until they were read, in ms; 0 where it is too short. */
  readDelayMs: number;
  /** Aborted when the client disconnects. */
  signal: ClientSignal;
  /**
   * Returns the memory held for large bodies; absent where it is not limited.
   */
  holdBodies?: () => BodyHold;
}

/** Metadata in the status and headers of an answer. */
export interface AnswerMetadata {
  requestId: string | undefined;
  /** Whether the server signed the answer. */
  isSigned: boolean;
  /** Whether the server states that it did not run the request. */
  isNotRun: boolean;
  /** Whether the address now belongs to another server. */
  isOtherServer: boolean;
  signals: ServerSignals;
}

/** Lowest status code that counts as a failure of the server. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** A complete answer of a backend server. */
export interface ServerAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** Why a request that was sent may have no usable answer. */
export const LOSS_REASONS = [
  "cut",
  "malformed",
  "crossed",
  "unsigned",
  "timeout",
  "client_left",
  /** Aborted because servers crashed under the same request. */
  "set_aside",
  /** Aborted because this VM lost its connections to the service. */
  "service_lost",
] as const;

/** Why a request that was sent has no usable answer. */
export type LossReason = typeof LOSS_REASONS[number];

/** Result of one attempt. */
export type ExchangeResult =
  | { kind: "answer"; answer: ServerAnswer; signals: ServerSignals }
  /** The server stated that it did not run the request. */
  | {
    kind: "not_run";
    reason: "shed" | "other_server";
    signals: ServerSignals;
    /** The response that says so. */
    answer: ServerAnswer;
  }
  /**
   * Not sent: its server drained or backed off, or its time ended, before a
   * connection was free.
   */
  | { kind: "withdrawn" }
  /** No byte of the request can have reached the server. */
  | {
    kind: "not_sent";
    reason: string;
    /** Whether the address did not respond, rather than refusing. */
    isUnresponsive?: boolean;
  }
  /** The request may have run. */
  | { kind: "lost"; reason: LossReason; detail: string };

/** Why a request is refused without having run. */
export type RefusalReason =
  | "no_configuration"
  | "no_server"
  /** No VM that was asked reaches the service. */
  | "out_of_reach"
  /** All servers that may take the request are saturated. */
  | "all_full"
  /** Rate limits or backoffs of servers leave no capacity. */
  | "throttled"
  | "not_run_anywhere"
  | "too_late"
  /** The last confirmation that the caller's key is valid is too old. */
  | "key_unproven"
  /** The home regions of the route and of the account don't overlap. */
  | "no_home"
  /** Servers crashed under the same request; it must not run for now. */
  | "set_aside"
  /** This VM has no memory for the request's bodies. */
  | "memory_short"
  /** This VM stops before the request's time ends. */
  | "leaving";

/**
 * Retry-After where other VMs can serve the request at once: it only separates
 * clients that are refused together.
 */
export const OTHER_VM_RETRY_MS = 10;

/** Result of a request for its client. */
export type ServeResult =
  | { kind: "answer"; answer: ServerAnswer }
  /** The request did not run and never will. */
  | { kind: "refused"; reason: RefusalReason; retryAfterMs: number }
  /** Over the limit of its client account; did not run and never will. */
  | { kind: "limited"; retryAfterMs: number }
  /** The request has no key, or one that the configuration doesn't contain. */
  | { kind: "unknown_caller" }
  /** The request may have run, but no usable answer arrived. */
  | { kind: "failed"; reason: LossReason }
  /** The route's timeout has expired. */
  | { kind: "timed_out" }
  | { kind: "client_left" };

/** Encodes and decodes the metadata of requests and answers as headers. */
export abstract class WireCodec {
  /**
   * @param headers Headers of a client's request.
   * @returns The request's metadata.
   */
  abstract decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * @param headers Headers of the client's request, without hop-by-hop headers.
   * @param metadata Metadata for the backend server.
   * @returns Headers to send.
   */
  abstract encodeRequest(
    headers: IncomingHttpHeaders,
    metadata: ServerRequestMetadata,
  ): Record<string, string | string[]>;
  /**
   * @param status Status of an answer.
   * @param headers Headers of the answer.
   * @returns The answer's metadata.
   */
  abstract decodeAnswer(
    status: number,
    headers: IncomingHttpHeaders,
  ): AnswerMetadata;
  /**
   * @param retryAfterMs Time after which the client should retry.
   * @returns Headers of a refusal.
   */
  abstract encodeRefusal(retryAfterMs: number): Record<string, string>;
  /** @returns Headers that tell a caller how to authenticate. */
  abstract encodeChallenge(): Record<string, string>;
}
