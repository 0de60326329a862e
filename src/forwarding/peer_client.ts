/**
 * HTTP client that hands requests over to other entries.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { KEY_HEADER } from "../runtime/access.ts";
import { classifyTransportError, describeError } from "../runtime/errors.ts";
import { createHttpClient, type HttpResponse } from "../runtime/http_client.ts";
import { createFailureDetector } from "../serving/http_attempt.ts";
import { MAX_ANSWER_BYTES } from "./backend_client.ts";
import { type ForwardRequest, HEADERS, type Outcome } from "./types.ts";

/** Path of hand-overs at an entry's peer address. */
export const HANDOVER_PATH = "/v1/handover";
const CONNECT_TIMEOUT_MS = 500;
const CONNECTIONS_PER_PEER = 64;
/** Bytes of all answers that are being read; further ones count as failed. */
const MAX_TOTAL_ANSWER_BYTES = 67_108_864;
/** Longer reasons are cut. */
const MAX_REASON_LENGTH = 1_000;
/** Longest time until a retry that a peer may ask for. */
const MAX_RETRY_AFTER_S = 600;

/** What the receiving entry does with the request. */
export type HandoverMode =
  /** Runs it in its own failure domain. */
  | "run"
  /** Owns its idempotency key, and so decides whether and where it runs. */
  | "own";

/** Parameters of one hand-over. */
export interface Handover {
  /** Peer address of the receiving entry. */
  address: string;
  mode: HandoverMode;
  request: ForwardRequest;
  /** Time left for the receiver to answer, in ms; sent as a header. */
  remainingMs: number;
  /** Aborts the hand-over. */
  signal: AbortSignal;
}

/** How a hand-over ended. */
export type HandoverResult =
  /** The receiver reported the outcome. */
  | { kind: "outcome"; outcome: Outcome }
  /** Nothing was sent. */
  | { kind: "not_sent"; reason: string }
  /** The receiver may have got the request, but reported no outcome. */
  | { kind: "failed"; reason: string };

/** Client for other entries. */
export abstract class PeerClient {
  /**
   * Hands a request over once, without retries. Never rejects.
   *
   * @param handover The request, its receiver and its time limit.
   * @returns How the hand-over ended.
   */
  abstract handOver(handover: Handover): Promise<HandoverResult>;
  /** Closes all connections. */
  abstract close(): Promise<void>;
}

/** Hands requests over by HTTP/1.1. */
export class HttpPeerClient extends PeerClient {
  readonly #key: string;
  readonly #resolveAddress: (address: string) => string;
  readonly #client = createHttpClient({
    maxResponseBytes: MAX_ANSWER_BYTES,
    maxTotalBytes: MAX_TOTAL_ANSWER_BYTES,
    connections: CONNECTIONS_PER_PEER,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    failures: createFailureDetector(),
  });

  /**
   * @param key Key that authenticates entries to each other.
   * @param resolveAddress Returns the address to connect to for a peer's address.
   */
  constructor(key: string, resolveAddress: (address: string) => string) {
    super();
    this.#key = key;
    this.#resolveAddress = resolveAddress;
  }

  override async handOver(handover: Handover): Promise<HandoverResult> {
    const { address, request, signal } = handover;
    try {
      const response = await this.#client.request({
        origin: `http://${this.#resolveAddress(address)}`,
        path: HANDOVER_PATH,
        method: "POST",
        headers: makeHeaders(handover, this.#key),
        body: request.body,
        signal,
      });
      return readOutcome(response, request);
    } catch (cause) {
      const reason = `${address}: ${describeError(cause)}`;
      return classifyTransportError(cause) === "not_sent"
        ? { kind: "not_sent", reason }
        : { kind: "failed", reason };
    }
  }

  override close(): Promise<void> {
    return this.#client.close();
  }
}

function makeHeaders(
  { mode, request, remainingMs }: Handover,
  key: string,
): Record<string, string> {
  const headers: Record<string, string> = {
    [KEY_HEADER]: key,
    [HEADERS.mode]: mode,
    [HEADERS.service]: request.service,
    [HEADERS.path]: request.path,
    "x-http-method": request.method,
    [HEADERS.requestId]: request.id,
    [HEADERS.deadlineMs]: String(Math.max(1, Math.floor(remainingMs))),
    [HEADERS.clientBlock]: request.block,
    [HEADERS.region]: request.callerRegion,
    [HEADERS.hops]: String(request.hops + 1),
  };
  if (request.contentType) headers["content-type"] = request.contentType;
  if (request.key) headers[HEADERS.idempotencyKey] = request.key.text;
  return headers;
}

function readOutcome(
  { status, headers, body }: HttpResponse,
  request: ForwardRequest,
): HandoverResult {
  const header = (name: string) => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  if (header(HEADERS.requestId) !== request.id) {
    return { kind: "failed", reason: "The answer belongs to another request" };
  }
  const kind = header(HEADERS.outcome);
  if (kind === "answer") {
    const answer = {
      status,
      contentType: header("content-type"),
      body,
      serverId: header(HEADERS.server) ?? "",
    };
    return { kind: "outcome", outcome: { kind, answer } };
  }
  if (kind === "not_run" || kind === "unknown") {
    const retryAfterS = readRetryAfterS(header("retry-after"));
    const reason = readReason(body);
    return { kind: "outcome", outcome: { kind, reason, retryAfterS } };
  }
  return { kind: "failed", reason: `Status ${status}` };
}

function readRetryAfterS(text: string | undefined): number {
  const seconds = Number(text ?? 1);
  return seconds >= 0 ? Math.min(seconds, MAX_RETRY_AFTER_S) : 1;
}

function readReason(body: Buffer): string {
  try {
    const { detail } = JSON.parse(body.toString("utf8"));
    return String(detail).slice(0, MAX_REASON_LENGTH);
  } catch {
    return "No reason given";
  }
}
