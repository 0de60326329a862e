/**
 * HTTP client for backend servers.
 *
 * A backend server reports that it did not run a request with the header
 * `hawthorngw-outcome: not_run` or with a status that the service's document
 * lists in `shedStatuses`. In such an answer, `Retry-After` gives the time for
 * which this entry must send it no requests. With any answer,
 * `hawthorngw-state: leaving` reports that the server accepts no more work.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { buildConnector, type Dispatcher, Pool } from "undici";
import type { BackendServer, ServiceDocument } from "../config/schema.ts";
import { parseRetryAfterMs } from "../runtime/retry_after.ts";
import { classifyTransportError, describeError } from "../runtime/errors.ts";
import type { HealthReport } from "../control/messages.ts";
import { confineConnections } from "../serving/connection_errors.ts";
import {
  createFailureDetector,
  type FailureDetector,
} from "../serving/http_attempt.ts";
import type { ExchangeResult, ForwardRequest } from "./types.ts";
import { HEADERS } from "./types.ts";

/** Maximum size of an answer body, in bytes; larger ones count as failed. */
export const MAX_ANSWER_BYTES = 4_194_304;
const CONNECT_TIMEOUT_MS = 500;
const IDLE_CONNECTION_TIMEOUT_MS = 4_000;
const PROBE_TIMEOUT_MS = 400;

/** Parameters of one exchange. */
export interface BackendExchange {
  document: ServiceDocument;
  server: BackendServer;
  request: ForwardRequest;
  /** Time left for the server to answer, in ms; sent as a header. */
  remainingMs: number;
  /** Aborts the exchange. */
  signal: AbortSignal;
}

/** Client for backend servers. */
export abstract class BackendClient {
  /**
   * Sends a request once, without retries. Never rejects.
   *
   * @param exchange The request, its server and its time limit.
   * @returns The answer, or how the exchange failed.
   */
  abstract exchange(exchange: BackendExchange): Promise<ExchangeResult>;
  /**
   * Requests `/health` from a server. Never rejects.
   *
   * @param server The server to probe.
   * @returns The server's report; `failing` where it does not answer in time.
   */
  abstract probe(server: BackendServer): Promise<HealthReport>;
  /** Closes all connections. */
  abstract close(): Promise<void>;
}

/** Sends requests to backend servers over HTTP/1.1, one pool per address. */
export class HttpBackendClient extends BackendClient {
  readonly #pools = new Map<string, Dispatcher>();
  readonly #failures = createFailureDetector();

  override async exchange(
    exchange: BackendExchange,
  ): Promise<ExchangeResult> {
    const { server, request, document, remainingMs, signal } = exchange;
    const headers: Record<string, string> = {
      [HEADERS.requestId]: request.id,
      [HEADERS.deadlineMs]: String(Math.max(1, Math.floor(remainingMs))),
      [HEADERS.clientBlock]: request.block,
    };
    if (request.contentType) headers["content-type"] = request.contentType;
    if (request.key) headers[HEADERS.idempotencyKey] = request.key.text;
    try {
      const response = await this.#getPool(server).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers,
        body: request.body.length > 0 ? request.body : undefined,
        signal,
      });
      return await readAnswer(response, { document, server, request });
    } catch (cause) {
      const kind = classifyTransportError(cause);
      const reason = `${server.id}: ${describeError(cause)}`;
      return kind === "not_sent"
        ? { kind: "not_sent", reason }
        : { kind: "failed", reason };
    }
  }

  override async probe(server: BackendServer): Promise<HealthReport> {
    try {
      const response = await this.#getPool(server).request({
        method: "GET",
        path: "/health",
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      const body = await response.body.json() as {
        state?: string;
        use?: number;
      };
      const state = body.state === "draining" || body.state === "leaving"
        ? "draining"
        : response.statusCode < 500
        ? "healthy"
        : "failing";
      const reportedUse = Number(body.use ?? 0) || 0;
      return { serverId: server.id, state, reportedUse, ageMs: 0 };
    } catch {
      return {
        serverId: server.id,
        state: "failing",
        reportedUse: 0,
        ageMs: 0,
      };
    }
  }

  override async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #getPool(server: BackendServer): Dispatcher {
    const existing = this.#pools.get(server.address);
    if (existing) return existing;
    const pool = new Pool(`http://${server.address}`, {
      connections: Math.min(server.slots + 1, server.connections),
      pipelining: 1,
      connect: createConnector(this.#failures),
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    }).compose(createResetInterceptor(this.#failures));
    this.#pools.set(server.address, pool);
    return pool;
  }
}

function createConnector(failures: FailureDetector): buildConnector.connector {
  const connect = confineConnections(
    buildConnector({ timeout: CONNECT_TIMEOUT_MS }),
  );
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) failures.watch(socket);
      callback(...result);
    });
}

/** Fails answers that end because their connection is reset. */
function createResetInterceptor(
  failures: FailureDetector,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
      onResponseEnd(controller, trailers) {
        if (failures.isFailing()) {
          const error = new Error("The connection was reset");
          return handler.onResponseError?.(controller, error);
        }
        handler.onResponseEnd?.(controller, trailers);
      },
    });
}

interface AnswerContext {
  document: ServiceDocument;
  server: BackendServer;
  request: ForwardRequest;
}

/**
 * Accepts an answer only if it is complete and carries the request's id or none.
 */
async function readAnswer(
  response: Dispatcher.ResponseData,
  { document, server, request }: AnswerContext,
): Promise<ExchangeResult> {
  const body = await readBody(response.body);
  if (body === undefined) {
    return { kind: "failed", reason: `${server.id}: answer is too large` };
  }
  const answeredId = response.headers[HEADERS.requestId];
  if (answeredId !== undefined && answeredId !== request.id) {
    const reason = `${server.id}: answer belongs to request ${answeredId}`;
    return { kind: "failed", reason };
  }
  const isShed = response.headers[HEADERS.outcome] === "not_run" ||
    document.shedStatuses.includes(response.statusCode);
  const leaving = response.headers[HEADERS.state] === "leaving";
  if (isShed) {
    const backoffMs = readBackoffMs(response.headers);
    return { kind: "shed", leaving, ...(backoffMs ? { backoffMs } : {}) };
  }
  const contentType = response.headers["content-type"];
  return {
    kind: "answer",
    ...(leaving ? { leaving } : {}),
    answer: {
      status: response.statusCode,
      contentType: Array.isArray(contentType) ? contentType[0] : contentType,
      body,
      serverId: server.id,
    },
  };
}

function readBackoffMs(
  headers: Dispatcher.ResponseData["headers"],
): number | undefined {
  const text = headers["retry-after"];
  return typeof text === "string" ? parseRetryAfterMs(text) : undefined;
}

/**
 * Reads a body; undefined where it is too large. undici throws if the body ends
 * before its stated length.
 */
async function readBody(
  body: Dispatcher.ResponseData["body"],
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_ANSWER_BYTES) return undefined;
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
