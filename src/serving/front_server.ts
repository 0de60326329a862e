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
import type { Route } from "../routing/types.ts";
import type { HostPort } from "../runtime/address.ts";
import { createAcceptDelay } from "../runtime/accept_delay.ts";
import { createBodyBuffer } from "../runtime/body_buffer.ts";
import {
  createBodyMeter,
  discardRest,
  hasBody,
  limitRest,
} from "../runtime/body_discard.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { ReadDelay } from "../runtime/read_delay.ts";
import { createRequestGate } from "../runtime/request_gate.ts";
import type { Log } from "../telemetry/log.ts";
import type { ServingMetrics } from "../telemetry/metrics.ts";
import type { CallerCheck } from "../accounts/caller_check.ts";
import { createAnswerSizes } from "./answer_sizes.ts";
import {
  type BodyBudget,
  type BodyHold,
  LARGE_BODY_BYTES,
} from "./body_budget.ts";
import {
  type BegunRequest,
  createClientConnections,
  type UnsettledRequest,
} from "./client_connections.ts";
import { computeResponseEndMs, type ProcessEnd } from "./process_end.ts";
import type { RequestHandler } from "./request_handler.ts";
import { computeDeadlineAtMs } from "./request_progress.ts";
import {
  OTHER_VM_RETRY_MS,
  type ServeResult,
  type WireCodec,
} from "./types.ts";

/** Options of the front server. */
export interface FrontServerOptions {
  /** Address to listen at. */
  address: HostPort;
  codec: WireCodec;
  handler: RequestHandler;
  callerCheck: CallerCheck;
  bodyBudget: BodyBudget;
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  processEnd: Pick<ProcessEnd, "isAfter">;
  /** Whether the event loop is saturated, so that connections wait for it. */
  isOverloaded: () => boolean;
  /** How long requests may have waited to be read. */
  readDelay: Pick<ReadDelay, "getMs">;
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
  /** @returns The requests whose clients don't have the whole answer yet. */
  listUnanswered(): UnansweredRequest[];
}

/** A request whose client doesn't have the whole answer yet. */
export interface UnansweredRequest extends Omit<UnsettledRequest, "message"> {
  requestId: string | undefined;
  path: string;
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
/**
 * A client honours Retry-After up to a third of the time it has left; this is
 * the part of the route's timeout.
 */
const RETRY_AFTER_SHARE = 1 / 3;
/**
 * Time for which the rest of a refused body is discarded: 360 KB take 0.4 s on
 * the slowest links if nothing else uses them.
 */
const DISCARD_MS = 3_000;
/** Bytes that are discarded where no body may be larger. */
const MIN_DISCARDED_BYTES = 1_048_576;
/** Discarding more would cost other clients time. */
const MAX_DISCARDED_BYTES = 16_777_216;
/** Longest time without progress of a client that reads an answer of this VM. */
const DEFAULT_STALL_MS = 10_000;
/** Most headers of a request; node:http drops those beyond 1,000. */
const MAX_HEADERS = 512;
/** Of what a client sent, a log line has so many characters. */
const MAX_LOGGED_CHARS = 500;
const NO_BODY = Buffer.alloc(0);
/** When clients should retry while this VM has no configuration yet. */
const NO_CONFIGURATION_RETRY_MS = 300;

/**
 * @param options Address and dependencies.
 * @returns The server, once it listens.
 */
export function startFrontServer(
  options: FrontServerOptions,
): Promise<FrontServer> {
  const { codec, handler, callerCheck, bodyBudget, clock, log, metrics } =
    options;
  const answerSizes = createAnswerSizes();
  const gate = createRequestGate({
    onDrop: (socket) => void connections.closeAfterBegun(socket),
  });
  const connections = createClientConnections(gate.hasWaiting);
  const acceptDelay = createAcceptDelay({
    clock,
    readDelay: options.readDelay,
  });
  let openRequests = 0;
  let acceptedConnections = 0;

  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
    connectionsCheckingInterval: SLOW_HEADERS_CHECK_MS,
    requestTimeout: 0,
    noDelay: true,
  }, (message, response) => admitMessage(message, response, false));
  // Without this listener, node:http asks for each body before it is admitted.
  server.on(
    "checkContinue",
    (message, response) => admitMessage(message, response, true),
  );
  server.on("connection", (socket) => {
    acceptedConnections++;
    acceptDelay.recordAccepted(socket);
    connections.open(socket);
  });
  server.on("clientError", (error, socket) => {
    // Bytes that can't be parsed must not cost the requests before them their
    // answers.
    if (connections.closeAfterBegun(socket as Socket)) {
      if (isCutOff(error)) socket.end();
      return;
    }
    endInvalid(
      socket as Socket,
      error,
      connections.isSending(socket as Socket),
    );
  });
  // node:http would also close connections whose last answer is still being
  // sent to a slow client.
  server.closeIdleConnections = connections.closeIdle;

  function admitMessage(
    message: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    const readDelayMs = acceptDelay.getMs(message.socket);
    const arrival: Arrival = {
      atMs: clock.monotonicMs() - readDelayMs,
      readDelayMs,
      expectsContinue,
    };
    gate.admit(
      message,
      response,
      () => void handleMessage(message, response, arrival),
    );
  }

  async function handleMessage(
    message: IncomingMessage,
    response: ServerResponse,
    arrival: Arrival,
  ): Promise<void> {
    const begun = connections.begin(message, response, arrival.atMs);
    if (begun === undefined) {
      const { requestId } = codec.decodeRequest(message.headers);
      log.info({ requestId }, "request behind a closing answer not begun");
      return;
    }
    openRequests++;
    try {
      await serve(begun, arrival);
    } catch (cause) {
      log.error({ error: describeError(cause) }, "request failed unexpectedly");
      response.destroy();
    } finally {
      openRequests--;
    }
  }

  async function serve(
    begun: BegunRequest,
    { readDelayMs, expectsContinue }: Arrival,
  ): Promise<void> {
    const { message, arrivedAtMs } = begun;
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
    if (gate.isFull()) {
      const retryAfterMs = OTHER_VM_RETRY_MS;
      const reason = "memory_short";
      const result: ServeResult = { kind: "refused", reason, retryAfterMs };
      return sendResult(begun, result, { requestId: metadata.requestId });
    }
    if (message.rawHeaders.length > 2 * MAX_HEADERS) {
      return sendStatus(begun, 431, {});
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
          host: host?.slice(0, MAX_LOGGED_CHARS),
          path: path.slice(0, MAX_LOGGED_CHARS),
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
        account: checked.kind === "accepted"
          ? checked.account?.name
          : undefined,
        ...configurationFields,
        tookMs: Math.round(tookMs),
        readDelayMs: readDelayMs > 0 ? Math.round(readDelayMs) : undefined,
        targetMs: route.targetLatencyMs,
        stallMs: route.timeoutMs,
      });
    };
    if (checked.kind === "rejected") return finish(checked.result);
    const deadlineAtMs = computeDeadlineAtMs(route, metadata, arrivedAtMs);
    // Opened only for large bodies: small requests are not to take longer.
    let bodies: BodyHold | undefined;
    const holdBodies = bodyBudget.isLimited
      ? () => {
        if (bodies !== undefined) return bodies;
        bodies = bodyBudget.open(deadlineAtMs);
        begun.onSettled(bodies.release);
        return bodies;
      }
      : undefined;
    const received = await receiveBody(begun, {
      route,
      maxBodyBytes: table.configuration.limits.maxBodyBytes,
      declaredBytes: Number(message.headers["content-length"] ?? 0),
      holdBodies,
      deadlineAtMs,
      responseEndMs: computeResponseEndMs(route, metadata, arrivedAtMs),
      expectsContinue,
    });
    if (options.isOverloaded()) await yieldToEventLoop();
    if (received.kind === "cut" || hasDisconnected(message)) {
      return callerCheck.refund(checked);
    }
    if (received.kind !== "body") {
      callerCheck.refund(checked);
      bodies?.release();
      if (received.kind === "refused") return finish(received.result);
      return sendStatus(begun, 413, {});
    }
    const result = await handler.handle({
      method: message.method ?? "GET",
      path,
      headers: message.headers,
      body: received.body,
      metadata,
      caller: checked.caller,
      account: checked.account,
      route,
      homeRegions: checked.homeRegions,
      arrivedAtMs,
      readDelayMs,
      signal: begun.signal,
      holdBodies,
    });
    const hasLargeAnswer = result.kind === "answer" &&
      result.answer.body.length >= LARGE_BODY_BYTES;
    if (result.kind === "answer") {
      answerSizes.record(route, result.answer.body.length);
      if (hasLargeAnswer) holdBodies?.();
      bodies?.replaceByAnswer(result.answer.body.length);
    }
    if (result.kind === "refused") callerCheck.refund(checked);
    finish(result);
  }

  /**
   * Admits the bodies of a request and reads its own. It returns the promise of
   * the reader itself, since each further one costs small requests time.
   */
  function receiveBody(
    begun: BegunRequest,
    admission: AdmissionOptions,
  ): Promise<ReceivedBody> {
    const { message, response } = begun;
    const { declaredBytes, route, expectsContinue } = admission;
    const answerBytes = answerSizes.getExpectedBytes(route);
    const isLarge = declaredBytes >= LARGE_BODY_BYTES || answerBytes > 0;
    const bodies = isLarge ? admission.holdBodies?.() : undefined;
    let rejected: ReceivedBody | undefined;
    if (declaredBytes > admission.maxBodyBytes) {
      rejected = { kind: "too_large" };
    } else if (!options.processEnd.isAfter(admission.responseEndMs)) {
      rejected = refuseAsLeaving();
    } else if (bodies?.tryHoldRequest(declaredBytes) === false) {
      rejected = refuseBody(route, declaredBytes);
    } else if (bodies?.tryHoldAnswer(answerBytes) === false) {
      rejected = refuseBody(route, answerBytes);
    }
    if (rejected !== undefined) {
      // A client that waits for 100 doesn't send its body.
      if (hasBody(message)) {
        begun.closeUnread(!expectsContinue);
        if (!expectsContinue) discardRest(message, getDiscardedBytes());
      }
      return Promise.resolve(rejected);
    }
    if (expectsContinue) response.writeContinue();
    // Reading a body that can't have bytes takes four listeners and three ticks.
    if (!hasBody(message)) {
      return Promise.resolve({ kind: "body", body: NO_BODY });
    }
    return readBody(begun, admission);
  }

  function readBody(
    begun: BegunRequest,
    { route, maxBodyBytes, declaredBytes, holdBodies, deadlineAtMs }:
      AdmissionOptions,
  ): Promise<ReceivedBody> {
    const { message } = begun;
    return new Promise((resolve) => {
      const buffer = createBodyBuffer();
      const meter = createBodyMeter(message);
      let hasEnded = false;
      const end = (received: ReceivedBody) => {
        if (hasEnded) return;
        hasEnded = true;
        buffer.clear();
        timer.cancel();
        const isUnread = received.kind !== "body" && received.kind !== "cut";
        if (isUnread && !message.complete) {
          begun.closeUnread(true);
          discardRest(message, getDiscardedBytes());
        }
        resolve(received);
      };
      const endCut = () => end({ kind: "cut" });
      // A client that stops sending would hold the request forever.
      const leftMs = Math.max(0, deadlineAtMs - clock.monotonicMs());
      const timer = clock.after(leftMs, () => {
        const retryAfterMs = route.timeoutMs * RETRY_AFTER_SHARE;
        const reason = "too_late";
        const result: ServeResult = { kind: "refused", reason, retryAfterMs };
        end({ kind: "refused", result });
      });
      message.on("data", (chunk: Buffer) => {
        if (hasEnded) return;
        const sizeBytes = buffer.getSizeBytes() + chunk.length;
        if (sizeBytes > maxBodyBytes) return end({ kind: "too_large" });
        const isHeld = sizeBytes <= declaredBytes || holdBodies === undefined ||
          holdBodies().tryHoldRequest(sizeBytes);
        if (!isHeld) return end(refuseBody(route, sizeBytes));
        const mayGoOn = buffer.append(chunk) && meter.record(chunk.length);
        if (!mayGoOn) end({ kind: "too_large" });
      });
      message.on("end", () => {
        if (!hasEnded) end({ kind: "body", body: buffer.join() });
      });
      message.on("close", endCut);
      message.on("error", endCut);
      begun.onSettled(endCut);
    });
  }

  /** Returns how much is discarded of a body: the largest that is allowed. */
  function getDiscardedBytes(): number {
    const { maxBodyBytes } = options.getRouteTable()?.configuration.limits ??
      { maxBodyBytes: 0 };
    return Math.max(
      MIN_DISCARDED_BYTES,
      Math.min(MAX_DISCARDED_BYTES, maxBodyBytes),
    );
  }

  function refuseAsLeaving(): ReceivedBody {
    const reason = "leaving";
    const retryAfterMs = OTHER_VM_RETRY_MS;
    return {
      kind: "refused",
      result: { kind: "refused", reason, retryAfterMs },
    };
  }

  function refuseBody(route: Route, bytes: number): ReceivedBody {
    const maxMs = route.timeoutMs * RETRY_AFTER_SHARE;
    const result: ServeResult = {
      kind: "refused",
      reason: "memory_short",
      retryAfterMs: bodyBudget.refuse(bytes, maxMs),
    };
    return { kind: "refused", result };
  }

  /** Disconnects a client that stops reading its answer. */
  function limitStall(
    { response }: BegunRequest,
    { requestId, stallMs = DEFAULT_STALL_MS }: ResultFields,
  ): void {
    if (response.writableLength === 0) return;
    // The socket's own timeout notices progress within a single write.
    response.setTimeout(stallMs, () => {
      bodyBudget.countStalledClient();
      log.info(
        {
          requestId,
          unsentBytes: response.writableLength,
          stalledMs: stallMs,
        },
        "client stopped reading, disconnected",
      );
      response.destroy();
    });
  }

  function sendResult(
    begun: BegunRequest,
    result: ServeResult,
    { stallMs, ...fields }: ResultFields,
  ): void {
    log.info({ ...fields, ...describeResult(result) }, "request ended");
    if (result.kind === "client_left") return;
    if (result.kind === "answer") {
      return begun.onTurn(() => {
        sendAnswer(begun, result);
        limitStall(begun, { requestId: fields.requestId, stallMs });
      });
    }
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

  /** Sends a response that the gateway itself generates. */
  function sendStatus(
    begun: BegunRequest,
    status: number,
    headers: Record<string, string>,
    body = "",
  ): void {
    begun.onTurn(() => writeStatus(begun, status, headers, body));
  }

  function writeStatus(
    begun: BegunRequest,
    status: number,
    headers: Record<string, string>,
    body: string,
  ): void {
    const { response } = begun;
    if (response.headersSent || response.destroyed) return;
    begun.decideClose();
    const length = Buffer.byteLength(body);
    response.writeHead(status, { ...headers, "content-length": length });
    if (!begun.discardsBody) {
      const limits = { maxBytes: getDiscardedBytes(), maxMs: DISCARD_MS };
      limitRest(begun.message, response, clock, limits);
      response.end(body);
      return limitStall(begun, {});
    }
    // Sent whole, but not ended: that would close the connection.
    response.flushHeaders();
    if (length > 0) response.write(body);
    discardBody(begun, clock);
  }

  /**
   * Accepts the connections that wait, which closing the listening socket would
   * reset. Node.js accepts one in each turn of the event loop.
   */
  async function acceptWaiting(): Promise<void> {
    let acceptedBefore: number;
    do {
      acceptedBefore = acceptedConnections;
      await nextTurn();
    } while (acceptedConnections > acceptedBefore);
  }

  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.address.port, options.address.host, () => {
      const sweep = clock.every(SLOW_HEADERS_CHECK_MS, gate.closeBabbling);
      resolve({
        startLeaving: connections.startLeaving,
        async close() {
          await acceptWaiting();
          await new Promise<void>((onClosed) => {
            server.close(() => onClosed());
            server.closeIdleConnections();
          });
          sweep.cancel();
        },
        countOpenRequests: () => openRequests,
        listUnanswered: () =>
          connections.listBegun().map(({ message, ...unsettled }) => ({
            ...unsettled,
            requestId: codec.decodeRequest(message.headers).requestId,
            path: message.url ?? "/",
          })),
      });
    });
  });
}

/**
 * Whether the client ended its side within a request. Node.js ends the other
 * side only where the client does so between requests.
 */
function isCutOff({ code }: Error & { code?: string }): boolean {
  return code === "HPE_INVALID_EOF_STATE";
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

/** Fields of a result's log line. */
interface ResultFields extends Record<string, unknown> {
  requestId?: string;
  /** Longest time without progress of a client that reads its answer. */
  stallMs?: number;
}

/** How a request arrived. */
interface Arrival {
  /** When its headers may have arrived first, on the monotonic clock. */
  atMs: number;
  /** Time from then until they were read, in ms; 0 where it is too short. */
  readDelayMs: number;
  /** Whether the client sends the body only when it is asked for it. */
  expectsContinue: boolean;
}

/** How a request's bodies are admitted. */
interface AdmissionOptions {
  route: Route;
  maxBodyBytes: number;
  /** 0 where the request declares no length. */
  declaredBytes: number;
  /** Undefined without a memory limit. */
  holdBodies: (() => BodyHold) | undefined;
  deadlineAtMs: number;
  /** When the client has the whole response at the latest. */
  responseEndMs: number;
  /** Whether the client sends the body only when it is asked for it. */
  expectsContinue: boolean;
}

/** A request's body, or why there is none. */
type ReceivedBody =
  | { kind: "body"; body: Buffer }
  | { kind: "refused"; result: ServeResult }
  | { kind: "too_large" }
  | { kind: "cut" };

/**
 * Ends a response that was sent before the request's body had been read. The
 * rest of the body is being discarded, and the connection stays open for a while:
 * if it were closed at once, a reset could reach the client before the response
 * does.
 */
function discardBody(
  { message, response, onSettled }: BegunRequest,
  clock: Clock,
): void {
  const timer = clock.after(DISCARD_MS, () => response.end());
  const end = () => {
    timer.cancel();
    response.end();
  };
  if (message.complete) return end();
  message.once("end", end);
  onSettled(end);
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
