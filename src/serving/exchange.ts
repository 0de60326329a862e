/**
 * Sends single requests to backend servers over persistent connections.
 *
 * Only a complete, signed answer to this very request is accepted. undici
 * closes a connection on which bytes arrive without an outstanding request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { type Dispatcher, Pool } from "undici";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { OpenSocket } from "../runtime/open_socket.ts";
import { NO_SIGNALS } from "../servers/signals.ts";
import type { ListedServer } from "../servers/types.ts";
import { LARGE_BODY_BYTES } from "./body_budget.ts";
import {
  ConnectError,
  type ConnectObserver,
  createServerConnector,
} from "./server_connector.ts";
import type {
  AnswerMetadata,
  CallerRequest,
  ExchangeResult,
  LossReason,
  WireCodec,
} from "./types.ts";

/**
 * Time after which an idle connection is closed if its server announces no
 * timeout. A request that is sent while the server closes the connection is
 * lost.
 */
const IDLE_TIMEOUT_MS = 4_000;
/** Upper bound of the idle timeout that a server may announce. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** A connection is closed this long before its server would close it. */
const IDLE_MARGIN_MS = 1_000;
/** Largest answer that is accepted; answers are buffered in memory. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Hop-by-hop headers (RFC 9110, 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** A running attempt. */
export interface Attempt {
  /** Result of the attempt; never rejects. */
  result: Promise<ExchangeResult>;
  /** Aborts the attempt by closing its connection. */
  abort(reason: LossReason): void;
}

/** Sends requests to backend servers. */
export interface Exchange {
  /**
   * @param server The server.
   * @param request The request.
   * @param remainingMs Time that the server has to answer.
   * @param maySend Whether the request may still be sent; called when a
   *   connection is free for it.
   * @returns The running attempt.
   */
  send(
    server: ListedServer,
    request: CallerRequest,
    remainingMs: number,
    maySend: () => boolean,
  ): Attempt;
  /**
   * Closes the connections to a server that is no longer listed, after its
   * requests in flight.
   */
  closePool(serverId: string): void;
  /** @returns Number of open connections, for metrics. */
  countConnections(): number;
  /** Closes all connections; requests in flight are lost. */
  close(): Promise<void>;
}

/** Observes the connections to servers. */
export interface ServerLinkObserver {
  /** Called for each connection that was opened. */
  recordConnected(server: ListedServer): void;
  /**
   * Called for each connection that could not be opened.
   *
   * @param server The server.
   * @param error Why.
   * @param startedAtMs When opening it began, on the monotonic clock.
   */
  recordConnectFailure(
    server: ListedServer,
    error: ConnectError,
    startedAtMs: number,
  ): void;
  /** Called when a response begins to arrive. */
  recordResponse(server: ListedServer): void;
}

/** Dependencies of an exchange. */
export interface ExchangeOptions {
  /** Encodes and decodes the headers of the deployment. */
  codec: WireCodec;
  clock: Clock;
  openSocket: OpenSocket;
  observer: ServerLinkObserver;
  /**
   * Returns the number of connections that this VM may open to a server.
   */
  getConnectionLimit: (server: ListedServer) => number;
}

/**
 * @param options Dependencies.
 * @returns An exchange without connections.
 */
export function createExchange(
  { codec, clock, openSocket, observer, getConnectionLimit }: ExchangeOptions,
): Exchange {
  const pools = new Map<string, Pool>();
  const failureDetector = createFailureDetector();

  function observe(server: ListedServer): ConnectObserver {
    return {
      onConnected(socket) {
        failureDetector.watch(socket);
        observer.recordConnected(server);
      },
      onFailed: (error, startedAtMs) =>
        observer.recordConnectFailure(server, error, startedAtMs),
    };
  }

  function getPool(server: ListedServer): Pool {
    const existing = pools.get(server.id);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${server.address}`, {
      connections: getConnectionLimit(server),
      pipelining: 1,
      connect: createServerConnector(openSocket, clock, observe(server)),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
    pools.set(server.id, pool);
    return pool;
  }

  return {
    send(server, request, remainingMs, maySend) {
      const headers = codec.encodeRequest(
        copyEndToEndHeaders(request.headers),
        {
          serverName: server.registeredName,
          remainingMs: Math.max(1, Math.floor(remainingMs)),
          caller: request.caller,
        },
      );
      return startAttempt(getPool(server), request, headers, {
        codec,
        isConnectionFailing: failureDetector.isFailing,
        onResponse: () => observer.recordResponse(server),
        maySend,
      });
    },
    closePool(serverId) {
      const pool = pools.get(serverId);
      if (pool === undefined) return;
      pools.delete(serverId);
      // Waits for requests in flight.
      pool.close().catch(() => pool.destroy());
    },
    countConnections() {
      let count = 0;
      for (const pool of pools.values()) count += pool.stats.connected;
      return count;
    },
    async close() {
      const openPools = [...pools.values()];
      pools.clear();
      await Promise.all(openPools.map((pool) => pool.destroy()));
    },
  };
}

/** Detects whether a connection is failing in the current event loop step. */
interface FailureDetector {
  /** Detects failures of a connection that was just opened. */
  watch(socket: Socket): void;
  isFailing: () => boolean;
}

/**
 * An answer without a length ends with its connection, and undici takes it as
 * complete also when the connection is reset. The listeners here run before
 * undici's, in the same step of the event loop, and so distinguish a reset from
 * the regular end of an answer. A reset that arrives together with data appears
 * as a regular end, but the socket then has no remote address any more.
 */
function createFailureDetector(): FailureDetector {
  let isFailing = false;
  const recordFailure = () => {
    isFailing = true;
    process.nextTick(() => void (isFailing = false));
  };
  return {
    watch(socket) {
      socket.on("error", recordFailure);
      socket.on("end", () => {
        if (socket.remoteAddress === undefined) recordFailure();
      });
    },
    isFailing: () => isFailing,
  };
}

interface AttemptOptions {
  codec: WireCodec;
  isConnectionFailing: () => boolean;
  /** Called when the response begins to arrive. */
  onResponse: () => void;
  maySend: () => boolean;
}

function startAttempt(
  pool: Pool,
  request: CallerRequest,
  headers: Record<string, string | string[]>,
  { codec, isConnectionFailing, onResponse, maySend }: AttemptOptions,
): Attempt {
  let controller: Dispatcher.DispatchController | undefined;
  let abortReason: LossReason | undefined;
  let isWithdrawn = false;
  let stopWaiting = () => {};
  const result = new Promise<ExchangeResult>((resolve) => {
    const chunks: Buffer[] = [];
    let status = 0;
    let answerHeaders: IncomingHttpHeaders = {};
    let receivedBytes = 0;
    let heldBytes = LARGE_BODY_BYTES;

    /** Leaves a large answer with its server until there is room for it. */
    function holdAnswer(received: Dispatcher.DispatchController): void {
      if (request.method === "HEAD") return;
      const declaredBytes = Number(answerHeaders["content-length"] ?? 0);
      if (!(declaredBytes >= LARGE_BODY_BYTES)) return;
      const bodies = request.holdBodies?.();
      heldBytes = declaredBytes;
      if (bodies === undefined || bodies.tryHoldAnswer(declaredBytes)) return;
      received.pause();
      stopWaiting = bodies.awaitAnswerRoom(
        declaredBytes,
        () => received.resume(),
      );
    }

    pool.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers,
      body: request.body.length > 0 ? request.body : undefined,
    }, {
      onRequestStart(started) {
        controller = started;
        isWithdrawn = !maySend();
        if (abortReason !== undefined || isWithdrawn) {
          started.abort(new Error(abortReason ?? "withdrawn"));
        }
      },
      onResponseStart(started, statusCode, received) {
        onResponse();
        status = statusCode;
        answerHeaders = received;
        holdAnswer(started);
      },
      onResponseData(_controller, chunk) {
        chunks.push(chunk);
        receivedBytes += chunk.length;
        if (receivedBytes <= heldBytes) return;
        heldBytes = receivedBytes;
        request.holdBodies?.().holdAnswer(receivedBytes);
      },
      onResponseEnd() {
        if (isConnectionFailing()) {
          const detail = "connection was reset before the answer ended";
          return resolve({ kind: "lost", reason: "cut", detail });
        }
        const body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
        const metadata = codec.decodeAnswer(status, answerHeaders);
        const headers = copyEndToEndHeaders(answerHeaders);
        resolve(classifyAnswer(metadata, { status, headers, body }, request));
      },
      onResponseError(_controller, error) {
        stopWaiting();
        if (isWithdrawn) return resolve({ kind: "withdrawn" });
        resolve(classifyError(error, abortReason));
      },
    });
  });
  return {
    result,
    abort(reason) {
      abortReason ??= reason;
      controller?.abort(new Error(reason));
    },
  };
}

function classifyAnswer(
  metadata: AnswerMetadata,
  answer: { status: number; headers: IncomingHttpHeaders; body: Buffer },
  request: CallerRequest,
): ExchangeResult {
  const { requestId } = request.metadata;
  const { signals } = metadata;
  const isSameRequest = metadata.requestId === requestId;
  // A server may refuse a request before it has read the id.
  if (isSameRequest || metadata.requestId === undefined) {
    if (metadata.isOtherServer) {
      return { kind: "not_run", reason: "other_server", signals: NO_SIGNALS };
    }
    if (metadata.isNotRun) return { kind: "not_run", reason: "shed", signals };
  }
  if (!isSameRequest) {
    const detail = `answer to request ${metadata.requestId ?? "without id"}`;
    return { kind: "lost", reason: "crossed", detail };
  }
  if (answer.status >= 200 && answer.status < 300 && !metadata.isSigned) {
    return { kind: "lost", reason: "unsigned", detail: "answer is not signed" };
  }
  return { kind: "answer", answer, signals };
}

function classifyError(
  error: Error,
  abortReason: LossReason | undefined,
): ExchangeResult {
  const detail = describeError(error);
  if (abortReason !== undefined) {
    return { kind: "lost", reason: abortReason, detail };
  }
  if (error instanceof ConnectError) {
    return {
      kind: "not_sent",
      reason: detail,
      isUnresponsive: error.isTimeout,
    };
  }
  const isMalformed = error.name === "HTTPParserError";
  return { kind: "lost", reason: isMalformed ? "malformed" : "cut", detail };
}

/**
 * @param headers Headers of a request or an answer.
 * @returns The headers without hop-by-hop headers and `content-length`.
 */
export function copyEndToEndHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  const connectionOptions = listConnectionOptions(headers.connection);
  const copy: IncomingHttpHeaders = {};
  for (const name in headers) {
    const isHopByHop = HOP_BY_HOP_HEADERS.has(name) ||
      connectionOptions.includes(name);
    if (!isHopByHop && name !== "content-length") copy[name] = headers[name];
  }
  return copy;
}

/** @returns Names of headers that concern this connection only. */
function listConnectionOptions(
  connection: string | undefined,
): readonly string[] {
  // Both are hop-by-hop headers anyway.
  if (
    connection === undefined || connection === "keep-alive" ||
    connection === "close"
  ) {
    return [];
  }
  return String(connection).toLowerCase().split(",").map((name) => name.trim());
}
