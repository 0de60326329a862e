/**
 * HTTP listeners on polka: bounded bodies, problem documents, graceful close.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka, { type Handler, type Polka, type Request } from "polka";
import { splitAddress } from "./address.ts";
import { StepError } from "./errors.ts";

/** Bodies above this size are refused. */
export const MAX_BODY_BYTES = 1_048_576;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 15_000;
/** How often slow connections are looked for. */
const SLOW_CHECK_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 16_384;

/** A listening server. */
export interface HttpServer {
  /** `host:port` that it listens on. */
  address: string;
  server: Server;
  /** Asks callers, with each answer, to close their connection. */
  startClosing(): void;
  /** Refuses new connections, waits for running requests, then resolves. */
  close(): Promise<void>;
}

/** A problem document (RFC 9457). */
export interface Problem {
  status: number;
  title: string;
  detail: string;
  /** Whether the request ran; set on answers to callers. */
  outcome?: "not_run" | "unknown";
  /** When to come back, in seconds. */
  retryAfterS?: number;
  /** Further members, such as both sides of a conflict. */
  extra?: Record<string, unknown>;
}

/** Ways to add a route or middleware, all wrapped alike. */
const ROUTE_METHODS = ["use", "get", "put", "post", "all"] as const;

/** @returns A router with problem documents for errors and unknown paths. */
export function createRouter(): Polka {
  const router = createBareRouter();
  for (const method of ROUTE_METHODS) {
    const add = router[method].bind(router) as (...args: unknown[]) => Polka;
    const addGuarded = (...args: unknown[]) =>
      add(
        ...args.map((arg) =>
          typeof arg === "function" ? guard(arg as Handler) : arg
        ),
      );
    Object.assign(router, { [method]: addGuarded });
  }
  return router;
}

/** polka does not look at what handlers return: their failures would be lost. */
function guard(handler: Handler): Handler {
  return async (request, response, next) => {
    try {
      await handler(request, response, next);
    } catch (cause) {
      next(cause);
    }
  };
}

function createBareRouter(): Polka {
  return polka({
    onError(error, _request, response) {
      const status = error instanceof StepError && error.kind === "invalid"
        ? 400
        : 500;
      sendProblem(response, {
        status,
        title: status === 400 ? "Bad request" : "Internal error",
        detail: error.message,
      });
    },
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
 * Opens a listener.
 *
 * @param router The routes to serve.
 * @param address `host:port`; port 0 takes a free one.
 * @returns The listening server.
 * @throws StepError of kind `invalid` when the address can't be bound.
 */
export function listen(router: Polka, address: string): Promise<HttpServer> {
  const { host, port } = splitAddress(address);
  let closing = false;
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: SLOW_CHECK_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
  }, (request, response) => {
    if (closing) response.setHeader("connection", "close");
    router.handler(request, response);
  });
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
      resolve({
        address: `${host}:${bound.port}`,
        server,
        startClosing: () => void (closing = true),
        close: () => closeServer(server),
      });
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

/**
 * Reads a whole body.
 *
 * @param request The incoming request.
 * @param maxBytes The largest body accepted.
 * @returns The body.
 * @throws StepError of kind `invalid` when it is too large or cut short.
 */
export async function readBody(
  request: Request,
  maxBytes = MAX_BODY_BYTES,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) {
      throw new StepError(`Body is larger than ${maxBytes} bytes`, {
        step: "read body",
        peer: request.socket.remoteAddress ?? "unknown",
        kind: "invalid",
      });
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

/**
 * Reads a body of JSON.
 *
 * @param request The incoming request.
 * @returns The parsed value, unchecked.
 * @throws StepError of kind `invalid` when it is not JSON.
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
 * Sends JSON.
 *
 * @param response Where to send it.
 * @param body The value.
 * @param status The status code.
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
 * Sends a problem document.
 *
 * @param response Where to send it.
 * @param problem What is wrong.
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
 * @param name The header, in lower case.
 * @returns Its single value, if any.
 */
export function getHeader(request: Request, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/**
 * @param request The incoming request.
 * @param name A query parameter.
 * @returns Its first value, if any.
 */
export function getQuery(request: Request, name: string): string | undefined {
  const value = request.query?.[name];
  return Array.isArray(value) ? value[0] : value;
}
