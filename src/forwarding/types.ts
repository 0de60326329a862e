/**
 * Types of forwarded requests and their outcomes.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { RequestClass } from "../config/schema.ts";
import type { IdempotencyKey } from "./keys.ts";

/** A caller's request with its whole body. */
export interface ForwardRequest {
  /** Unique id; an answer must carry the same id. */
  id: string;
  service: string;
  requestClass: RequestClass;
  method: string;
  /** Path and query sent to the backend server. */
  path: string;
  contentType: string | undefined;
  body: Buffer;
  /** Monotonic time after which an answer is useless, in ms. */
  deadlineMs: number;
  /** Set on requests that must run at most once. */
  key: IdempotencyKey | undefined;
  /** The client's address block; determines region and failure domain. */
  block: string;
  callerRegion: string;
  /** Number of hand-overs so far. */
  hops: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

/** A backend server's answer with its whole body. */
export interface Answer {
  status: number;
  contentType: string | undefined;
  body: Buffer;
  /** Id of the backend server. */
  serverId: string;
}

/** How a request ended. */
export type Outcome =
  | { kind: "answer"; answer: Answer }
  /** Provably, no backend server ran the request. */
  | { kind: "not_run"; reason: string; retryAfterS: number }
  /** A backend server may have run the request. */
  | { kind: "unknown"; reason: string; retryAfterS: number };

/** How one exchange with a backend server or another entry ended. */
export type ExchangeResult =
  /** A complete answer; `leaving` if the server accepts no more work. */
  | { kind: "answer"; answer: Answer; leaving?: boolean }
  /**
   * The server refused the request without running it, and may ask this entry to
   * send none for `backoffMs`.
   */
  | { kind: "shed"; leaving: boolean; backoffMs?: number }
  /** Nothing was sent. */
  | { kind: "not_sent"; reason: string }
  /** At least a part was sent, and no complete answer to it arrived. */
  | { kind: "failed"; reason: string };

/** Names of the headers between callers, entries and backend servers. */
export const HEADERS = {
  requestId: "hawthorngw-request-id",
  deadlineMs: "hawthorngw-deadline-ms",
  clientBlock: "hawthorngw-client-block",
  outcome: "hawthorngw-outcome",
  state: "hawthorngw-state",
  server: "hawthorngw-backend-server",
  idempotencyKey: "idempotency-key",
  service: "hawthorngw-service",
  path: "hawthorngw-path",
  region: "hawthorngw-caller-region",
  hops: "hawthorngw-hops",
  mode: "hawthorngw-mode",
} as const;
