/**
 * The HTTP server that receives requests from clients.
 *
 * It uses node:http without a routing framework, because every path belongs to
 * some service and the request line has to reach the backend server unchanged.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { RouteTable } from "../routing/table.ts";
import type { HostPort } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { Log } from "../telemetry/log.ts";
import type { ServingMetrics } from "../telemetry/metrics.ts";
import type { CallerCheck } from "../accounts/caller_check.ts";
import {
  type BegunRequest,
  createClientConnections,
} from "./client_connections.ts";
import type { RequestHandler } from "./request_handler.ts";
import type { ServeResult, WireCodec } from "./types.ts";

/** Options of the front server. */
export interface FrontServerOptions {
  /** Address to listen at. */
  address: HostPort;
  codec: WireCodec;
  handler: RequestHandler;
  callerCheck: CallerCheck;
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  /** Whether the event loop is saturated, so that connections wait for it. */
  isOverloaded: () => boolean;
  /** Returns the active routes; undefined before the first configuration. */
  getRouteTable: () => RouteTable | undefined;
  /** Returns the time since the routes were last known to be current, in ms. */
  getRouteTableAgeMs: () => number;
}

/** A listening front server. */
export interface FrontServer {
  /**
   * From now on, closes each connection after the answers to the requests that
   * have begun on it, or after its next answer.
   */
  startLeaving(): void;
  /** Stops listening, closes idle connections and waits for open requests. */
  close(): Promise<void>;
  /** @returns Number of requests that are being served. */
  countOpenRequests(): number;
}

/** The parser rejects requests with larger headers. */
const MAX_HEADER_BYTES = 65_536;
/** Idle connections are kept this much longer than the announced timeout. */
const IDLE_MARGIN_MS = 1_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Interval of checks for connections that send their headers too slowly. */
const SLOW_HEADERS_CHECK_MS = 1_000;
/** Turns of the event loop until a close that follows a request is noticed. */
const CLOSE_NOTICE_TURNS = 2;
/**
 * Problem details (RFC 9457), so that the caller knows to change its request or
 * to report it.
 */
const SET_ASIDE_PROBLEM = JSON.stringify({
  title: "Request set aside",
  status: 503,
  detail: "Backend servers ended while they ran this request. It was not run " +
    "now, and will not be before the time given in Retry-After.",
});
/** Status lines for bytes that aren't a request, by error code. */
const ERROR_STATUS_LINES: Record<string, string> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
/** When clients should retry while this VM has no configuration yet. */
const NO_CONFIGURATION_RETRY_MS = 300;

/**
 * @param options Address and dependencies.
 * @returns The server, once it listens.
 */
export function startFrontServer(
  options: FrontServerOptions,
): Promise<FrontServer> {
  const { codec, handler, callerCheck, clock, log, metrics } = options;
  const connections = createClientConnections();
  let openRequests = 0;

  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
    connectionsCheckingInterval: SLOW_HEADERS_CHECK_MS,
    requestTimeout: 0,
    noDelay: true,
  }, (message, response) => void handleMessage(message, response));
  server.on("connection", connections.open);
  server.on("clientError", (error, socket) => {
    // Bytes that can't be parsed must not cost the requests before them their
    // answers.
    if (connections.closeAfterBegun(socket as Socket)) return;
    endInvalid(
      socket as Socket,
      error,
      connections.isSending(socket as Socket),
    );
  });
  // node:http would also close connections whose last answer is still being
  // sent to a slow client.
  server.closeIdleConnections = connections.closeIdle;

  async function handleMessage(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAtMs = clock.monotonicMs();
    const begun = connections.begin(message, response);
    if (begun === undefined) {
      const { requestId } = codec.decodeRequest(message.headers);
      log.info({ requestId }, "request behind a closing answer not begun");
      return;
    }
    openRequests++;
    try {
      await serve(begun, arrivedAtMs);
    } catch (cause) {
      log.error({ error: describeError(cause) }, "request failed unexpectedly");
      response.destroy();
    } finally {
      openRequests--;
    }
  }

  async function serve(
    begun: BegunRequest,
    arrivedAtMs: number,
  ): Promise<void> {
    const { message } = begun;
    const table = options.getRouteTable();
    const metadata = codec.decodeRequest(message.headers);
    if (table === undefined) {
      const result: ServeResult = {
        kind: "refused",
        reason: "no_configuration",
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      };
      return sendResult(begun, result, { requestId: metadata.requestId });
    }
    const path = message.url ?? "/";
    const route = table.match(message.headers.host ?? "", path);
    const configurationFields = {
      version: table.configuration.version,
      factAgeMs: Math.round(options.getRouteTableAgeMs()),
    };
    if (route === undefined || metadata.requestId === undefined) {
      const status = route === undefined ? 404 : 400;
      const { host } = message.headers;
      log.info(
        {
          requestId: metadata.requestId,
          host,
          path,
          ...configurationFields,
          status,
        },
        "request rejected",
      );
      return sendStatus(begun, status, {});
    }
    applyLimits(server, table);
    const checked = callerCheck.check(table, route, metadata);
    const finish = (result: ServeResult) => {
      const tookMs = clock.monotonicMs() - arrivedAtMs;
      metrics.recordRequest(route, result, tookMs);
      sendResult(begun, result, {
        requestId: metadata.requestId,
        route: route.name,
        ...configurationFields,
        tookMs: Math.round(tookMs),
        targetMs: route.targetLatencyMs,
      });
    };
    if (checked.kind === "rejected") return finish(checked.result);
    const body = await readBody(
      begun,
      table.configuration.limits.maxBodyBytes,
    );
    if (options.isOverloaded()) await yieldToEventLoop();
    if (body === "cut" || hasDisconnected(message)) {
      return callerCheck.refund(checked);
    }
    if (body === "too_large") {
      callerCheck.refund(checked);
      return sendStatus(begun, 413, {});
    }
    const result = await handler.handle({
      method: message.method ?? "GET",
      path,
      headers: message.headers,
      body,
      metadata,
      caller: checked.caller,
      account: checked.account,
      route,
      homeRegions: checked.homeRegions,
      arrivedAtMs,
      signal: begun.signal,
    });
    if (result.kind === "refused") callerCheck.refund(checked);
    finish(result);
  }

  function sendResult(
    begun: BegunRequest,
    result: ServeResult,
    fields: Record<string, unknown>,
  ): void {
    log.info({ ...fields, ...describeResult(result) }, "request ended");
    if (result.kind === "client_left") return;
    if (result.kind === "answer") return sendAnswer(begun, result);
    if (result.kind === "refused") return sendRefusal(begun, result);
    if (result.kind === "limited") {
      const headers = codec.encodeRefusal(result.retryAfterMs);
      return sendStatus(begun, 429, headers);
    }
    if (result.kind === "unknown_caller") {
      return sendStatus(begun, 401, codec.encodeChallenge());
    }
    sendStatus(begun, result.kind === "timed_out" ? 504 : 502, {});
  }

  function sendRefusal(
    begun: BegunRequest,
    { reason, retryAfterMs }: Extract<ServeResult, { kind: "refused" }>,
  ): void {
    const headers = codec.encodeRefusal(retryAfterMs);
    if (reason !== "set_aside") return sendStatus(begun, 503, headers);
    sendStatus(
      begun,
      503,
      { ...headers, "content-type": "application/problem+json" },
      SET_ASIDE_PROBLEM,
    );
  }

  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.address.port, options.address.host, () => {
      resolve({
        startLeaving: connections.startLeaving,
        close: () =>
          new Promise((onClosed) => {
            server.close(() => onClosed());
            server.closeIdleConnections();
          }),
        countOpenRequests: () => openRequests,
      });
    });
  });
}

/** Answers bytes that aren't a request, as node:http does, and disconnects. */
function endInvalid(
  socket: Socket,
  error: Error & { code?: string },
  isSending: boolean,
): void {
  if (socket.writable && !isSending) {
    const status = ERROR_STATUS_LINES[error.code ?? ""] ?? "400 Bad Request";
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(error);
}

/** Applies the limits of the active configuration. */
function applyLimits(server: Server, table: RouteTable): void {
  const { limits } = table.configuration;
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = limits.headerTimeoutMs;
}

/**
 * Lets the event loop notice connections that were closed right after their
 * request: while connections wait to be read, some clients disconnect.
 */
async function yieldToEventLoop(): Promise<void> {
  for (let turn = 0; turn < CLOSE_NOTICE_TURNS; turn++) await nextTurn();
}

/** Node.js also ends this side of a connection that the client has closed. */
function hasDisconnected({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.writableEnded;
}

function readBody(
  { message, onSettled }: BegunRequest,
  maxBytes: number,
): Promise<Buffer | "cut" | "too_large"> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) resolve("too_large");
      else chunks.push(chunk);
    });
    message.on(
      "end",
      () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)),
    );
    message.on("close", () => resolve("cut"));
    onSettled(() => resolve("cut"));
    message.on("error", () => resolve("cut"));
  });
}

function sendAnswer(
  begun: BegunRequest,
  { answer }: Extract<ServeResult, { kind: "answer" }>,
): void {
  const { response } = begun;
  begun.decideClose();
  const { status, headers, body } = answer;
  const hasNoBody = status === 204 || status === 304;
  response.writeHead(status, {
    ...headers,
    ...(hasNoBody ? {} : { "content-length": body.length }),
  });
  response.end(body);
}

/** Sends a response that the gateway itself generates. */
function sendStatus(
  begun: BegunRequest,
  status: number,
  headers: Record<string, string>,
  body = "",
): void {
  const { response } = begun;
  if (response.headersSent || response.destroyed) return;
  begun.decideClose();
  const length = Buffer.byteLength(body);
  response.writeHead(status, { ...headers, "content-length": length });
  response.end(body);
}

function describeResult(result: ServeResult): Record<string, unknown> {
  switch (result.kind) {
    case "answer":
      return { outcome: "answer", status: result.answer.status };
    case "refused":
      return {
        outcome: "refused",
        reason: result.reason,
        retryAfterMs: result.retryAfterMs,
      };
    case "limited":
      return { outcome: "limited", retryAfterMs: result.retryAfterMs };
    case "failed":
      return { outcome: "failed", reason: result.reason };
    default:
      return { outcome: result.kind };
  }
}
