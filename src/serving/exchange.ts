/**
 * One attempt: a request to one backend server over a kept connection.
 *
 * Only a whole, signed answer to this very request counts as one. undici
 * closes a connection on which bytes arrive that no request waits for.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { buildConnector, type Dispatcher, Pool } from "undici";
import { classifyTransportError, describeError } from "../runtime/errors.ts";
import { NO_SIGNALS } from "../servers/signals.ts";
import type { ListedServer } from "../servers/types.ts";
import type {
  AnswerMetadata,
  CallerRequest,
  ExchangeResult,
  LossReason,
  WireCodec,
} from "./types.ts";

/** How long a connection may take; a round trip between regions takes 70 ms. */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Idle time after which a connection is closed where its server doesn't name
 * one. A request that meets the server's own close is lost.
 */
const IDLE_CONNECTION_MS = 4_000;
/** Longest idle time taken over from a server. */
const MAX_IDLE_CONNECTION_MS = 60_000;
/** A connection is given up this long before its server would close it. */
const IDLE_MARGIN_MS = 1_000;
/** Largest answer that is passed on; whole answers are kept in memory. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS = new Set([
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
  /** How it ends; never rejects. */
  result: Promise<ExchangeResult>;
  /** Breaks it off; the server sees its connection close. */
  abort(reason: LossReason): void;
}

/** Sends requests to backend servers. */
export interface Exchange {
  /**
   * @param server The server.
   * @param request The request.
   * @param remainingMs Time that the server has.
   * @param isWanted Whether it may still be sent, asked when a connection is
   *   free for it.
   * @returns The running attempt.
   */
  send(
    server: ListedServer,
    request: CallerRequest,
    remainingMs: number,
    isWanted: () => boolean,
  ): Attempt;
  /** Closes connections to servers that are not listed any more. */
  closePool(serverId: string): void;
  /** @returns Open connections, for metrics. */
  countConnections(): number;
  close(): Promise<void>;
}

/**
 * @param codec Header names of the deployment.
 * @param getConnectionLimit Connections that this VM may open to a server.
 * @returns An exchange without connections.
 */
export function createExchange(
  codec: WireCodec,
  getConnectionLimit: (server: ListedServer) => number,
): Exchange {
  const pools = new Map<string, Pool>();
  const failing = createFailureWatch();

  function getPool(server: ListedServer): Pool {
    const known = pools.get(server.id);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${server.address}`, {
      connections: getConnectionLimit(server),
      pipelining: 1,
      connect: failing.connect,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: MAX_IDLE_CONNECTION_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
    pools.set(server.id, pool);
    return pool;
  }

  return {
    send(server, request, remainingMs, isWanted) {
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
        isConnectionFailing: failing.isFailing,
        isWanted,
      });
    },
    closePool(serverId) {
      const pool = pools.get(serverId);
      if (pool === undefined) return;
      pools.delete(serverId);
      // Requests in flight are finished first.
      pool.close().catch(() => pool.destroy());
    },
    countConnections() {
      let count = 0;
      for (const pool of pools.values()) count += pool.stats.connected;
      return count;
    },
    async close() {
      const open = [...pools.values()];
      pools.clear();
      await Promise.all(open.map((pool) => pool.destroy()));
    },
  };
}

/** Tells whether a connection is breaking at this very moment. */
interface FailureWatch {
  connect: buildConnector.connector;
  isFailing: () => boolean;
}

/**
 * An answer without a length ends with its connection. undici takes such an
 * answer as complete when the connection is reset; the listeners here run
 * before undici's, in the same step of the loop, so that the answer's end can
 * be told from a reset. A reset that arrives together with data shows as a
 * plain end, after which the connection has no peer any more.
 */
function createFailureWatch(): FailureWatch {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let isFailing = false;
  const noteFailure = () => {
    isFailing = true;
    process.nextTick(() => void (isFailing = false));
  };
  return {
    connect(options, callback) {
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error === null) {
          socket.on("error", noteFailure);
          socket.on("end", () => {
            if (socket.remoteAddress === undefined) noteFailure();
          });
        }
        callback(...result);
      });
    },
    isFailing: () => isFailing,
  };
}

interface AttemptParts {
  codec: WireCodec;
  isConnectionFailing: () => boolean;
  isWanted: () => boolean;
}

function startAttempt(
  pool: Pool,
  request: CallerRequest,
  headers: Record<string, string | string[]>,
  { codec, isConnectionFailing, isWanted }: AttemptParts,
): Attempt {
  let controller: Dispatcher.DispatchController | undefined;
  let abortReason: LossReason | undefined;
  let isWithdrawn = false;
  const result = new Promise<ExchangeResult>((resolve) => {
    const chunks: Buffer[] = [];
    let status = 0;
    let answerHeaders: IncomingHttpHeaders = {};
    pool.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers,
      body: request.body.length > 0 ? request.body : undefined,
    }, {
      onRequestStart(started) {
        controller = started;
        isWithdrawn = !isWanted();
        if (abortReason !== undefined || isWithdrawn) {
          started.abort(new Error(abortReason ?? "withdrawn"));
        }
      },
      onResponseStart(_controller, statusCode, received) {
        status = statusCode;
        answerHeaders = received;
      },
      onResponseData: (_controller, chunk) => void chunks.push(chunk),
      onResponseEnd() {
        if (isConnectionFailing()) {
          const detail = "connection was reset before the answer ended";
          return resolve({ kind: "lost", reason: "cut", detail });
        }
        const body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
        const mark = codec.decodeAnswer(status, answerHeaders);
        const headers = copyEndToEndHeaders(answerHeaders);
        resolve(judgeAnswer(mark, { status, headers, body }, request));
      },
      onResponseError(_controller, error) {
        if (isWithdrawn) return resolve({ kind: "withdrawn" });
        resolve(judgeError(error, abortReason));
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

function judgeAnswer(
  mark: AnswerMetadata,
  answer: { status: number; headers: IncomingHttpHeaders; body: Buffer },
  request: CallerRequest,
): ExchangeResult {
  const { requestId } = request.metadata;
  const { signals } = mark;
  const isOwn = mark.requestId === requestId;
  // A refusal may come from a server that did not read so far as the id.
  if (isOwn || mark.requestId === undefined) {
    if (mark.isOtherServer) {
      return { kind: "not_run", reason: "other_server", signals: NO_SIGNALS };
    }
    if (mark.isNotRun) return { kind: "not_run", reason: "shed", signals };
  }
  if (!isOwn) {
    const detail = `answer to request ${mark.requestId ?? "without id"}`;
    return { kind: "lost", reason: "crossed", detail };
  }
  if (answer.status >= 200 && answer.status < 300 && !mark.isSigned) {
    return { kind: "lost", reason: "unsigned", detail: "answer is not signed" };
  }
  return { kind: "answer", answer, signals };
}

function judgeError(
  error: Error,
  abortReason: LossReason | undefined,
): ExchangeResult {
  const detail = describeError(error);
  if (abortReason !== undefined) {
    return { kind: "lost", reason: abortReason, detail };
  }
  if (classifyTransportError(error) === "not_sent") {
    return { kind: "not_sent", reason: detail };
  }
  const isMalformed = error.name === "HTTPParserError";
  return { kind: "lost", reason: isMalformed ? "malformed" : "cut", detail };
}

/**
 * @param headers Headers of a request or an answer.
 * @returns Those that concern more than one connection.
 */
export function copyEndToEndHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  const listed = String(headers.connection ?? "").toLowerCase().split(",")
    .map((name) => name.trim());
  const copy: IncomingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    const isHop = CONNECTION_HEADERS.has(name) || listed.includes(name);
    if (!isHop && name !== "content-length") copy[name] = value;
  }
  return copy;
}
