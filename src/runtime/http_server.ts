/**
 * HTTP servers with polka routers: limited body sizes, problem documents and
 * graceful shutdown.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import polka, { type Handler, type Polka, type Request } from "polka";
import { splitAddress } from "./address.ts";
import { createBodyBuffer } from "./body_buffer.ts";
import { createBodyMeter, limitRest } from "./body_discard.ts";
import { type Clock, createSystemClock, type Timer } from "./clock.ts";
import { StepError } from "./errors.ts";
import { createLogger } from "./logger.ts";
import { createRequestGate } from "./request_gate.ts";

const log = createLogger("http");

/** Largest request body that is accepted. */
export const MAX_BODY_BYTES = 1_048_576;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 15_000;
/** Interval between checks for connections that exceeded a timeout. */
const SLOW_CONNECTION_CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 16_384;
/** What is read of a body after the answer. */
const REST_LIMITS = { maxBytes: 1_048_576, maxMs: 2_000 };

/** A listening server. */
export interface HttpServer {
  /** `host:port` that the server listens on. */
  address: string;
  server: Server;
  /**
   * Sends `connection: close` with each response from now on, also to requests in
   * progress.
   */
  startClosing(): void;
  /** Closes the connections of all requests that are in progress. */
  cutRequests(): void;
  /** @returns Resolves as soon as no request is in progress. */
  waitUntilIdle(): Promise<void>;
  /**
   * Stops accepting connections; resolves when all have ended, upgraded ones
   * included.
   */
  close(): Promise<void>;
}

/** A problem document (RFC 9457). */
export interface Problem {
  status: number;
  title: string;
  detail: string;
  /** Whether the request may have run; set in answers to callers. */
  outcome?: "not_run" | "unknown";
  /** Delay before the request may be sent again, in seconds. */
  retryAfterS?: number;
  /** Additional members of the document, such as both sides of a conflict. */
  extra?: Record<string, unknown>;
}

/** Options of a server. */
export interface ListenOptions {
  /** The clock; by default that of the system. */
  clock?: Clock;
  /** Largest headers that are accepted. */
  maxHeaderBytes?: number;
  /** Handles requests in place of the router, whatever their path. */
  intercept?: {
    /** Whether a request with these headers is handled. */
    isWanted: (headers: IncomingHttpHeaders) => boolean;
    handle: (request: IncomingMessage, response: ServerResponse) => void;
  };
}

/** Methods of the router whose handlers are wrapped. */
const WRAPPED_METHODS = ["use", "get", "put", "post", "all"] as const;

/**
 * @returns A router that answers errors of handlers, rejected promises
 *   included, and unknown paths with problem documents.
 */
export function createRouter(): Polka {
  const router = createUnwrappedRouter();
  for (const method of WRAPPED_METHODS) {
    const add = router[method].bind(router) as (...args: unknown[]) => Polka;
    const addWrapped = (...args: unknown[]) =>
      add(
        ...args.map((arg) =>
          typeof arg === "function" ? forwardErrors(arg as Handler) : arg
        ),
      );
    Object.assign(router, { [method]: addWrapped });
  }
  return router;
}

/**
 * Answers errors of a handler: polka ignores rejected promises, and passes no
 * `next` where a path has a single handler.
 */
function forwardErrors(handler: Handler): Handler {
  return async (request, response, next) => {
    try {
      await handler(request, response, next);
    } catch (cause) {
      answerError(cause as Error, response);
    }
  };
}

function answerError(error: Error, response: ServerResponse): void {
  if (response.headersSent) return void response.destroy();
  const status = error instanceof StepError && error.kind === "invalid"
    ? 400
    : 500;
  sendProblem(response, {
    status,
    title: status === 400 ? "Bad request" : "Internal error",
    detail: error.message,
  });
}

function createUnwrappedRouter(): Polka {
  return polka({
    onError: (error, _request, response) => answerError(error, response),
    onNoMatch(request, response) {
      sendProblem(response, {
        status: 404,
        title: "Not found",
        detail: `No resource at ${request.originalUrl ?? request.url}`,
        outcome: "not_run",
      });
    },
  });
}

/**
 * Starts an HTTP server.
 *
 * @param router The routes to serve.
 * @param address `host:port`; port 0 chooses a free port.
 * @param options Options of the server.
 * @returns The listening server.
 * @throws StepError of kind `invalid` where the address can't be bound.
 */
export function listen(
  router: Polka,
  address: string,
  {
    clock = createSystemClock(),
    maxHeaderBytes = MAX_HEADER_BYTES,
    intercept,
  }: ListenOptions = {},
): Promise<HttpServer> {
  const { host, port } = splitAddress(address);
  let isClosing = false;
  let isClosed = false;
  const unfinishedResponses = new Map<ServerResponse, Socket>();
  const idleListeners: (() => void)[] = [];
  const announceClose = (response: ServerResponse) => {
    if (!response.headersSent) response.setHeader("connection", "close");
  };
  const sockets = new Set<Socket>();
  const settledBytesRead = new WeakMap<Socket, number>();
  const settle = (socket: Socket) =>
    void settledBytesRead.set(socket, socket.bytesRead);
  const closeIdle = () => {
    const busy = new Set(unfinishedResponses.values());
    for (const socket of sockets) {
      const isReceiving = settledBytesRead.get(socket) !== socket.bytesRead;
      const isIdle = !busy.has(socket) && !gate.hasWaiting(socket);
      if (isIdle && !isReceiving) socket.destroy();
    }
  };
  const gate = createRequestGate();
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: SLOW_CONNECTION_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    maxHeaderSize: maxHeaderBytes,
    noDelay: true,
  }, (request, response) => {
    gate.admit(request, response, () => handle(request, response));
  });
  const handle = (request: IncomingMessage, response: ServerResponse) => {
    // A request loses its socket when its client has left.
    const { socket } = request;
    limitRest(request, response, clock, REST_LIMITS);
    unfinishedResponses.set(response, socket);
    request.once("end", () => settle(socket));
    response.once("close", () => {
      unfinishedResponses.delete(response);
      if (unfinishedResponses.size === 0) {
        for (const resolve of idleListeners.splice(0)) resolve();
      }
      settle(socket);
      if (isClosed) closeIdle();
    });
    if (isClosing) announceClose(response);
    if (intercept?.isWanted(request.headers)) {
      return intercept.handle(request, response);
    }
    router.handler(request, response);
  };
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  // The method of `node:http` would also close connections whose answer is
  // still being sent.
  server.closeIdleConnections = closeIdle;
  return new Promise((resolve, reject) => {
    server.once("error", (cause) => {
      const message = `Cannot listen on ${address}: ${cause.message}`;
      reject(
        new StepError(message, {
          step: "listen",
          peer: address,
          kind: "invalid",
          cause,
        }),
      );
    });
    server.listen(port, host, () => {
      const bound = server.address() as AddressInfo;
      const sweep = clock.every(
        SLOW_CONNECTION_CHECK_INTERVAL_MS,
        gate.closeBabbling,
      );
      server.once("close", sweep.cancel);
      resolve({
        address: `${host}:${bound.port}`,
        server,
        startClosing() {
          isClosing = true;
          for (const response of unfinishedResponses.keys()) {
            announceClose(response);
          }
        },
        cutRequests() {
          for (const [{ req }, socket] of unfinishedResponses) {
            log.warn("Request cut by the stop", {
              step: "http.cut",
              peer: socket.remoteAddress ?? "unknown",
              method: req.method,
              path: req.url?.split("?")[0],
            });
            socket.destroy();
          }
        },
        waitUntilIdle() {
          if (unfinishedResponses.size === 0) return Promise.resolve();
          return new Promise((resolve) => idleListeners.push(resolve));
        },
        close() {
          isClosed = true;
          return closeServer(server);
        },
      });
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // The method of `node:http` ends the checks for slow connections, so that a
    // connection without a complete request would stay open.
    NetServer.prototype.close.call(server, () => {
      server.close();
      resolve();
    });
    server.closeIdleConnections();
  });
}

/**
 * Closes the connections of requests that are still in progress after some time,
 * such as those of clients that don't read their answers.
 *
 * @param servers The servers of the requests.
 * @param clock The clock.
 * @param limitMs The time, in ms.
 * @returns A timer whose cancellation lets the requests go on.
 */
export function cutRequestsAfter(
  servers: readonly HttpServer[],
  clock: Clock,
  limitMs: number,
): Timer {
  return clock.after(limitMs, () => {
    for (const server of servers) server.cutRequests();
  });
}

/**
 * Reads the whole body of a request.
 *
 * @param request The incoming request.
 * @param maxBytes Largest body that is accepted, in bytes.
 * @returns The body.
 * @throws StepError of kind `invalid` where the body is too large or comes in too
 *   many pieces; the error of the stream where the connection breaks.
 */
export function readBody(
  request: Request,
  maxBytes = MAX_BODY_BYTES,
): Promise<Buffer> {
  const buffer = createBodyBuffer();
  const meter = createBodyMeter(request);
  return new Promise((resolve, reject) => {
    const refuse = (message: string) => {
      request.off("data", onData);
      buffer.clear();
      // The answer may still reach the client.
      request.pause();
      reject(
        new StepError(message, {
          step: "read body",
          peer: request.socket.remoteAddress ?? "unknown",
          kind: "invalid",
        }),
      );
    };
    const onData = (chunk: Buffer) => {
      if (buffer.getSizeBytes() + chunk.length > maxBytes) {
        return refuse(`Body is larger than ${maxBytes} bytes`);
      }
      const mayGoOn = buffer.append(chunk) && meter.record(chunk.length);
      if (!mayGoOn) refuse("Body has come in too many pieces");
    };
    request.on("data", onData);
    request.once("end", () => resolve(buffer.join()));
    request.once("error", reject);
    request.once("close", () => reject(new Error("Body was cut")));
  });
}

/**
 * Reads a JSON body.
 *
 * @param request The incoming request.
 * @returns The parsed value, not validated.
 * @throws StepError of kind `invalid` where the body is too large or not JSON.
 */
export async function readJson(request: Request): Promise<unknown> {
  const body = await readBody(request);
  try {
    return JSON.parse(body.toString("utf8"));
  } catch (cause) {
    throw new StepError("Body is not JSON", {
      step: "parse body",
      peer: request.socket.remoteAddress ?? "unknown",
      kind: "invalid",
      cause,
    });
  }
}

/**
 * Sends a JSON response; does nothing where the response has ended.
 *
 * @param response The response.
 * @param body The value to send.
 * @param status The HTTP status code.
 */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  status = 200,
): void {
  if (response.writableEnded || response.destroyed) return;
  const text = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": text.length,
  });
  response.end(text);
}

/**
 * Sends a problem document; does nothing where the headers were sent already.
 *
 * @param response The response.
 * @param problem The problem.
 */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent || response.destroyed) return;
  const { status, title, detail, outcome, retryAfterS, extra } = problem;
  const body = { type: "about:blank", status, title, detail, outcome };
  const text = Buffer.from(JSON.stringify({ ...body, ...extra }));
  const headers: Record<string, string | number> = {
    "content-type": "application/problem+json",
    "content-length": text.length,
  };
  if (retryAfterS !== undefined) headers["retry-after"] = retryAfterS;
  response.writeHead(status, headers);
  response.end(text);
}

/**
 * @param request The incoming request.
 * @param name Name of the header, in lower case.
 * @returns The first value of the header, if any.
 */
export function getHeader(request: Request, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/**
 * @param request The incoming request.
 * @param name Name of the query parameter.
 * @returns The first value of the parameter, if any.
 */
export function getQuery(request: Request, name: string): string | undefined {
  const value = request.query?.[name];
  return Array.isArray(value) ? value[0] : value;
}
