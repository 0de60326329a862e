/**
 * Requests on their way and how they end.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { RequestClass } from "../config/schema.ts";
import type { IdempotencyKey } from "./keys.ts";

/** A caller's request, whole. */
export interface ForwardRequest {
  /** Unique; answers are matched to it. */
  id: string;
  service: string;
  requestClass: RequestClass;
  method: string;
  /** Path and query at the backend server. */
  path: string;
  contentType: string | undefined;
  body: Buffer;
  /** Monotonic time of the latest useful answer, in ms. */
  deadlineMs: number;
  /** Set on requests that must run at most once. */
  key: IdempotencyKey | undefined;
  /** The client's block; decides the place. */
  block: string;
  callerRegion: string;
  /** Entries that handed it over so far. */
  hops: number;
  /** Aborted when the caller hangs up. */
  signal: AbortSignal;
}

/** A backend server's answer, whole. */
export interface Answer {
  status: number;
  contentType: string | undefined;
  body: Buffer;
  /** Backend server that gave it. */
  serverId: string;
}

/** How a request ended. */
export type Outcome =
  | { kind: "answer"; answer: Answer }
  /** Proven: no backend server ran it. */
  | { kind: "not_run"; reason: string; retryAfterS: number }
  /** It may have run. */
  | { kind: "unknown"; reason: string; retryAfterS: number };

/** How one exchange with a backend server or another entry ended. */
export type ExchangeResult =
  /** `leaving`: the server takes no more work at all. */
  | { kind: "answer"; answer: Answer; leaving?: boolean }
  /** It refused before running, and wants nothing from this entry for a time. */
  | { kind: "shed"; leaving: boolean; backoffMs?: number }
  /** Nothing was sent. */
  | { kind: "not_sent"; reason: string }
  /** Something was sent, and no whole answer of this request came. */
  | { kind: "failed"; reason: string };

/** Headers between callers, entries and backend servers. */
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
