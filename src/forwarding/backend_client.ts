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
import type { BackendServer, ServiceDocument } from "../config/schema.ts";
import { parseRetryAfterMs } from "../runtime/retry_after.ts";
import { classifyTransportError, describeError } from "../runtime/errors.ts";
import type { HealthReport } from "../control/messages.ts";
import { createHttpClient, type HttpResponse } from "../runtime/http_client.ts";
import { createFailureDetector } from "../serving/http_attempt.ts";
import type { ExchangeResult, ForwardRequest } from "./types.ts";
import { HEADERS } from "./types.ts";

/** Maximum size of an answer body, in bytes; larger ones count as failed. */
export const MAX_ANSWER_BYTES = 4_194_304;
/** Bytes of all answers that are being read; further ones count as failed. */
const MAX_TOTAL_ANSWER_BYTES = 67_108_864;
/** Largest answer to a probe. */
const MAX_PROBE_BYTES = 65_536;
/** Addresses whose number of connections is remembered. */
const MAX_KNOWN_ADDRESSES = 4_096;
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
  /** Connections by origin. */
  readonly #connections = new Map<string, number>();
  readonly #client = createHttpClient({
    maxResponseBytes: MAX_ANSWER_BYTES,
    maxTotalBytes: MAX_TOTAL_ANSWER_BYTES,
    connections: (origin) => this.#connections.get(origin) ?? 1,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    idleTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
    failures: createFailureDetector(),
  });

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
      const response = await this.#client.request({
        origin: this.#getOrigin(server),
        path: request.path,
        method: request.method,
        headers,
        body: request.body.length > 0 ? request.body : undefined,
        signal,
      });
      return readAnswer(response, { document, server, request });
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
      const response = await this.#client.request({
        origin: this.#getOrigin(server),
        path: "/health",
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      return readHealth(server, response);
    } catch {
      return {
        serverId: server.id,
        state: "failing",
        reportedUse: 0,
        ageMs: 0,
      };
    }
  }

  override close(): Promise<void> {
    return this.#client.close();
  }

  #getOrigin(server: BackendServer): string {
    const origin = `http://${server.address}`;
    if (this.#connections.size >= MAX_KNOWN_ADDRESSES) {
      this.#connections.clear();
    }
    const connections = Math.min(server.slots + 1, server.connections);
    this.#connections.set(origin, connections);
    return origin;
  }
}

/** @throws {SyntaxError} If the answer is not JSON. */
function readHealth(
  server: BackendServer,
  { status, body }: HttpResponse,
): HealthReport {
  if (body.length > MAX_PROBE_BYTES) throw new Error("answer is too large");
  const report = JSON.parse(body.toString("utf8")) as {
    state?: unknown;
    use?: unknown;
  };
  const state = report.state === "draining" || report.state === "leaving"
    ? "draining"
    : status < 500
    ? "healthy"
    : "failing";
  const use = Number(report.use ?? 0);
  const reportedUse = Number.isFinite(use) ? use : 0;
  return { serverId: server.id, state, reportedUse, ageMs: 0 };
}

interface AnswerContext {
  document: ServiceDocument;
  server: BackendServer;
  request: ForwardRequest;
}

/**
 * Accepts an answer only if it is complete and carries the request's id or none.
 */
function readAnswer(
  { status, headers, body }: HttpResponse,
  { document, server, request }: AnswerContext,
): ExchangeResult {
  const answeredId = headers[HEADERS.requestId];
  if (answeredId !== undefined && answeredId !== request.id) {
    const reason = `${server.id}: answer belongs to request ${answeredId}`;
    return { kind: "failed", reason };
  }
  const isShed = headers[HEADERS.outcome] === "not_run" ||
    document.shedStatuses.includes(status);
  const leaving = headers[HEADERS.state] === "leaving";
  if (isShed) {
    const backoffMs = readBackoffMs(headers);
    return { kind: "shed", leaving, ...(backoffMs ? { backoffMs } : {}) };
  }
  const contentType = headers["content-type"];
  return {
    kind: "answer",
    ...(leaving ? { leaving } : {}),
    answer: {
      status,
      contentType: Array.isArray(contentType) ? contentType[0] : contentType,
      body,
      serverId: server.id,
    },
  };
}

function readBackoffMs(
  headers: HttpResponse["headers"],
): number | undefined {
  const text = headers["retry-after"];
  return typeof text === "string" ? parseRetryAfterMs(text) : undefined;
}
