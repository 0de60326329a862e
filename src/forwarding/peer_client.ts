/**
 * HTTP client that hands requests over to other entries.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Dispatcher, Pool } from "undici";
import { KEY_HEADER } from "../runtime/access.ts";
import { classifyTransportError, describeError } from "../runtime/errors.ts";
import { type ForwardRequest, HEADERS, type Outcome } from "./types.ts";

/** Path of hand-overs at an entry's peer address. */
export const HANDOVER_PATH = "/v1/handover";
const CONNECT_TIMEOUT_MS = 500;
const CONNECTIONS_PER_PEER = 64;

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

/** Hands requests over by HTTP/1.1, with one pool per address. */
export class HttpPeerClient extends PeerClient {
  readonly #key: string;
  readonly #resolveAddress: (address: string) => string;
  readonly #pools = new Map<string, Pool>();

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
      const response = await this.#getPool(address).request({
        method: "POST",
        path: HANDOVER_PATH,
        headers: makeHeaders(handover, this.#key),
        body: request.body,
        signal,
      });
      return await readOutcome(response, request);
    } catch (cause) {
      const reason = `${address}: ${describeError(cause)}`;
      return classifyTransportError(cause) === "not_sent"
        ? { kind: "not_sent", reason }
        : { kind: "failed", reason };
    }
  }

  override async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #getPool(address: string): Pool {
    const existing = this.#pools.get(address);
    if (existing) return existing;
    const pool = new Pool(`http://${this.#resolveAddress(address)}`, {
      connections: CONNECTIONS_PER_PEER,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(address, pool);
    return pool;
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

async function readOutcome(
  response: Dispatcher.ResponseData,
  request: ForwardRequest,
): Promise<HandoverResult> {
  const body = Buffer.from(await response.body.arrayBuffer());
  const header = (name: string) => {
    const value = response.headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  if (header(HEADERS.requestId) !== request.id) {
    return { kind: "failed", reason: "The answer belongs to another request" };
  }
  const kind = header(HEADERS.outcome);
  if (kind === "answer") {
    const answer = {
      status: response.statusCode,
      contentType: header("content-type"),
      body,
      serverId: header(HEADERS.server) ?? "",
    };
    return { kind: "outcome", outcome: { kind, answer } };
  }
  if (kind === "not_run" || kind === "unknown") {
    const retryAfterS = Number(header("retry-after") ?? 1);
    const reason = readReason(body);
    return { kind: "outcome", outcome: { kind, reason, retryAfterS } };
  }
  return { kind: "failed", reason: `Status ${response.statusCode}` };
}

function readReason(body: Buffer): string {
  try {
    return String(JSON.parse(body.toString("utf8")).detail);
  } catch {
    return "No reason given";
  }
}
