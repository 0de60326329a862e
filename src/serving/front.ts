/**
 * The address that clients send requests to.
 *
 * node:http instead of a router: every path belongs to some service, and the
 * request line has to reach the backend server unchanged.
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
import { setImmediate as nextTurn } from "node:timers/promises";
import type { RouteTable } from "../routing/table.ts";
import type { HostPort } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { Log } from "../telemetry/log.ts";
import type { ServingMetrics } from "../telemetry/metrics.ts";
import type { CallerCheck } from "../accounts/caller_check.ts";
import type { Flow } from "./flow.ts";
import type { ServeResult, WireCodec } from "./types.ts";

/** What the front address needs. */
export interface FrontParts {
  address: HostPort;
  codec: WireCodec;
  flow: Flow;
  callerCheck: CallerCheck;
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  /** Whether connections wait to be read. */
  isOverloaded: () => boolean;
  /** Routes in force; undefined before the first configuration. */
  getTable: () => RouteTable | undefined;
  /** @returns How long ago they were known to be the newest. */
  getTableAgeMs: () => number;
}

/** The listening front address. */
export interface Front {
  /** Asks clients to leave: answers close their connection from now on. */
  startLeaving(): void;
  /** Takes no more connections, closes idle ones, waits for requests. */
  close(): Promise<void>;
  /** @returns Requests that are being served. */
  countOpen(): number;
}

/** Header blocks above this are turned away by the parser. */
const MAX_HEADER_BYTES = 65_536;
/** Connections are kept this long beyond what clients are told. */
const IDLE_MARGIN_MS = 1_000;
const DEFAULT_IDLE_MS = 15_000;
/** How often connections that send their headers too slowly are looked for. */
const SLOW_CHECK_MS = 1_000;
/** Turns of the loop until the close behind a request is seen. */
const CLOSE_TURNS = 2;
/** RFC 9457: a caller who gets this can change its request, or report it. */
const SET_ASIDE_PROBLEM = JSON.stringify({
  title: "Request set aside",
  status: 503,
  detail: "Backend servers ended while they ran this request. It was not run " +
    "now, and will not be before the time given in Retry-After.",
});
/** When to come back to a VM that has no configuration yet. */
const STARTING_RETRY_MS = 300;

/**
 * @param parts What the address needs.
 * @returns The listening address.
 */
export function startFront(parts: FrontParts): Promise<Front> {
  const { codec, flow, callerCheck, clock, log, metrics } = parts;
  let isLeaving = false;
  let open = 0;

  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
    connectionsCheckingInterval: SLOW_CHECK_MS,
    requestTimeout: 0,
    noDelay: true,
  }, (message, response) => void handle(message, response));

  async function handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAtMs = clock.monotonicMs();
    if (isLeaving) response.setHeader("connection", "close");
    open++;
    try {
      await serve(message, response, arrivedAtMs);
    } catch (cause) {
      log.error({ error: describeError(cause) }, "serving failed");
      response.destroy();
    } finally {
      open--;
    }
  }

  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
  ): Promise<void> {
    const table = parts.getTable();
    const terms = codec.decodeRequest(message.headers);
    if (table === undefined) {
      const result: ServeResult = {
        kind: "refused",
        reason: "no_configuration",
        retryAfterMs: STARTING_RETRY_MS,
      };
      return finish(response, result, { requestId: terms.requestId });
    }
    const path = message.url ?? "/";
    const route = table.match(message.headers.host ?? "", path);
    const decidedBy = {
      version: table.configuration.version,
      factAgeMs: Math.round(parts.getTableAgeMs()),
    };
    if (route === undefined || terms.requestId === undefined) {
      const status = route === undefined ? 404 : 400;
      const { host } = message.headers;
      log.info(
        { requestId: terms.requestId, host, path, ...decidedBy, status },
        "request rejected",
      );
      return sendOwn(response, status, {});
    }
    applyLimits(server, table);
    const checked = callerCheck.check(table, route, terms);
    const end = (result: ServeResult) => {
      const tookMs = clock.monotonicMs() - arrivedAtMs;
      metrics.noteRequest(route, result, tookMs);
      finish(response, result, {
        requestId: terms.requestId,
        route: route.name,
        ...decidedBy,
        tookMs: Math.round(tookMs),
        targetMs: route.targetLatencyMs,
      });
    };
    if (checked.kind === "rejected") return end(checked.result);
    const body = await readBody(
      message,
      table.configuration.limits.maxBodyBytes,
    );
    if (parts.isOverloaded()) await passTurns();
    if (body === "cut" || hasLeft(message)) {
      return callerCheck.refund(checked);
    }
    if (body === "too_large") {
      callerCheck.refund(checked);
      return sendOwn(response, 413, {});
    }
    const result = await flow.serve({
      method: message.method ?? "GET",
      path,
      headers: message.headers,
      body,
      terms,
      caller: checked.caller,
      account: checked.account,
      route,
      homeRegions: checked.homeRegions,
      arrivedAtMs,
      signal: watchClient(response),
    });
    if (result.kind === "refused") callerCheck.refund(checked);
    end(result);
  }

  function finish(
    response: ServerResponse,
    result: ServeResult,
    fields: Record<string, unknown>,
  ): void {
    log.info({ ...fields, ...describeResult(result) }, "request ended");
    if (result.kind === "client_left") return;
    if (result.kind === "answer") return sendAnswer(response, result);
    if (result.kind === "refused") return sendRefusal(response, result);
    if (result.kind === "limited") {
      const headers = codec.encodeRefusal(result.retryAfterMs);
      return sendOwn(response, 429, headers);
    }
    if (result.kind === "unknown_caller") {
      return sendOwn(response, 401, codec.encodeChallenge());
    }
    sendOwn(response, result.kind === "timed_out" ? 504 : 502, {});
  }

  function sendRefusal(
    response: ServerResponse,
    { reason, retryAfterMs }: Extract<ServeResult, { kind: "refused" }>,
  ): void {
    const headers = codec.encodeRefusal(retryAfterMs);
    if (reason !== "set_aside") return sendOwn(response, 503, headers);
    sendOwn(
      response,
      503,
      { ...headers, "content-type": "application/problem+json" },
      SET_ASIDE_PROBLEM,
    );
  }

  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(parts.address.port, parts.address.host, () => {
      resolve({
        startLeaving: () => void (isLeaving = true),
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeIdleConnections();
          }),
        countOpen: () => open,
      });
    });
  });
}

/** Limits may change with each version of the configuration. */
function applyLimits(server: Server, table: RouteTable): void {
  const { limits } = table.configuration;
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = limits.headerTimeoutMs;
}

/**
 * Lets the loop find connections that were closed right behind their request:
 * where connections wait to be read, some clients have left meanwhile.
 */
async function passTurns(): Promise<void> {
  for (let turn = 0; turn < CLOSE_TURNS; turn++) await nextTurn();
}

/** A connection whose client closed it is ended from this side as well. */
function hasLeft({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.writableEnded;
}

function watchClient(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

function readBody(
  message: IncomingMessage,
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
    message.on("error", () => resolve("cut"));
  });
}

function sendAnswer(
  response: ServerResponse,
  { answer }: Extract<ServeResult, { kind: "answer" }>,
): void {
  const { status, headers, body } = answer;
  const hasNoBody = status === 204 || status === 304;
  response.writeHead(status, {
    ...headers,
    ...(hasNoBody ? {} : { "content-length": body.length }),
  });
  response.end(body);
}

function sendOwn(
  response: ServerResponse,
  status: number,
  headers: Record<string, string>,
  body = "",
): void {
  if (response.headersSent || response.destroyed) return;
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
