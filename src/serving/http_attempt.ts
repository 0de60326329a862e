/**
 * Runs one attempt over a pool of connections: sends the request, and classifies
 * what comes back.
 *
 * Only a complete, signed answer to this very request is accepted. undici
 * closes a connection on which bytes arrive without an outstanding request.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import type { Dispatcher, Pool } from "undici";
import { createBodyBuffer } from "../runtime/body_buffer.ts";
import { describeError } from "../runtime/errors.ts";
import { NO_SIGNALS } from "../servers/signals.ts";
import { LARGE_BODY_BYTES } from "./body_budget.ts";
import { MalformedResponse } from "./connection_errors.ts";
import {
  ExcessiveResponse,
  MAX_HEADERS,
  type ResponseMeter,
} from "./response_meter.ts";
import { findInvalidStatus } from "./response_status.ts";
import { ConnectError } from "./server_connector.ts";
import type {
  AnswerMetadata,
  CallerRequest,
  ExchangeResult,
  LossReason,
  ServerAnswer,
  WireCodec,
} from "./types.ts";

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

/** Responses of lower status are interim, and precede the answer. */
const MIN_FINAL_STATUS = 200;

/** Most interim responses before an answer. */
const MAX_INTERIM_RESPONSES = 100;

/** Largest answer that is accepted; answers are buffered in memory. */
export const MAX_ANSWER_BYTES = 16_777_216;

/** Names of undici's errors for responses that break the protocol or a limit. */
const MALFORMED_ERROR_NAMES = new Set([
  "HTTPParserError",
  "HeadersOverflowError",
]);

/**
 * Largest answer without declared length that is read though there is no room
 * for it. It may have no end.
 */
const MAX_OVERDRAWN_BYTES = 1_000_000;

/** The parts of a request that an attempt sends, besides its headers. */
export type OutboundRequest = Pick<
  CallerRequest,
  "method" | "path" | "body" | "metadata" | "holdBodies"
>;

/** A running attempt. */
export interface Attempt<Result = ExchangeResult> {
  /** Result of the attempt; never rejects. */
  result: Promise<Result>;
  /** Aborts the attempt by closing its connection. */
  abort(reason: LossReason): void;
}

/** Detects whether a connection is failing in the current event loop step. */
export interface FailureDetector {
  /** Detects failures of a connection that was just opened. */
  watch(socket: Socket): void;
  isFailing: () => boolean;
}

/**
 * An answer without a length ends with its connection. A reset that arrives
 * together with data appears as a regular end, but the socket then has no remote
 * address any more. The listener here runs before undici's, in the same step of
 * the event loop, and so distinguishes it from the regular end of an answer.
 * Other resets end the attempt; see `connection_errors.ts`.
 *
 * @returns A detector that watches no connection.
 */
export function createFailureDetector(): FailureDetector {
  let isFailing = false;
  return {
    watch(socket) {
      socket.on("end", () => {
        if (socket.remoteAddress !== undefined) return;
        isFailing = true;
        process.nextTick(() => void (isFailing = false));
      });
    },
    isFailing: () => isFailing,
  };
}

/** What an attempt depends on besides its request. */
export interface AttemptOptions<Failure = never> {
  codec: WireCodec;
  isConnectionFailing: () => boolean;
  /** Returns the meter of the connection whose data is being handled. */
  getMeter: () => ResponseMeter | undefined;
  /** Called when the response begins to arrive. */
  onResponse: () => void;
  /**
   * Whether the request may still be sent; called when a connection is free for
   * it.
   */
  maySend: () => boolean;
  /**
   * Returns the failure that a response stands for; undefined if it is the
   * server's. Absent where all responses are.
   */
  decodeFailure?: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => Failure | undefined;
}

/**
 * Sends a request over a connection of a pool.
 *
 * @param getPool Returns the pool; an attempt for which it throws is not sent.
 * @param request The request.
 * @param headers Its headers, encoded.
 * @param options What the attempt depends on.
 * @returns The running attempt.
 */
export function startAttempt<Failure = never>(
  getPool: () => Pool,
  request: OutboundRequest,
  headers: Record<string, string | string[]>,
  options: AttemptOptions<Failure>,
): Attempt<ExchangeResult | Failure> {
  const { codec, isConnectionFailing, getMeter, onResponse, maySend } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let abortReason: LossReason | undefined;
  let isWithdrawn = false;
  let stopWaiting = () => {};
  let settle: (result: ExchangeResult) => void;
  const result = new Promise<ExchangeResult | Failure>((resolve) => {
    settle = resolve;
    const content = createBodyBuffer();
    let meter: ResponseMeter | undefined;
    let interimResponses = 0;
    let status = 0;
    let answerHeaders: IncomingHttpHeaders = {};
    let heldBytes = LARGE_BODY_BYTES;

    /** Leaves a large answer with its server until there is room for it. */
    function holdAnswer(received: Dispatcher.DispatchController): void {
      if (request.method === "HEAD") return;
      const declaredBytes = Number(answerHeaders["content-length"] ?? 0);
      if (!(declaredBytes >= LARGE_BODY_BYTES)) return;
      if (declaredBytes > MAX_ANSWER_BYTES) {
        return received.abort(
          new ExcessiveResponse(`answer of ${declaredBytes} bytes`),
        );
      }
      const bodies = request.holdBodies?.();
      heldBytes = declaredBytes;
      if (bodies === undefined || bodies.tryHoldAnswer(declaredBytes)) return;
      received.pause();
      stopWaiting = bodies.awaitAnswerRoom(
        declaredBytes,
        // The room may come from an answer that is being parsed, and undici
        // parses one at a time.
        (isHeld) =>
          queueMicrotask(() =>
            isHeld ? resumeAnswer(received) : abortUnheld(received)
          ),
      );
    }

    function abortUnheld(received: Dispatcher.DispatchController): void {
      received.abort(new Error("no memory for the answer"));
    }

    /** Holds what an answer without declared length has grown to. */
    function holdMore(received: Dispatcher.DispatchController): void {
      heldBytes = content.getSizeBytes();
      const bodies = request.holdBodies?.();
      if (bodies === undefined || bodies.tryHoldAnswer(heldBytes)) return;
      const mayOverdraw = heldBytes <= MAX_OVERDRAWN_BYTES;
      if (mayOverdraw && bodies.overdrawAnswer(heldBytes)) return;
      received.abort(new Error("answer outgrew the memory for bodies"));
    }

    function resumeAnswer(received: Dispatcher.DispatchController): void {
      try {
        received.resume();
      } catch (cause) {
        received.abort(cause as Error);
      }
    }

    try {
      getPool().dispatch({
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
          meter = getMeter();
          meter?.recordHead();
          const invalid = findInvalidStatus(statusCode);
          if (invalid !== undefined) return started.abort(invalid);
          if (statusCode < MIN_FINAL_STATUS) {
            if (++interimResponses <= MAX_INTERIM_RESPONSES) return;
            return started.abort(
              new ExcessiveResponse(`${interimResponses} interim responses`),
            );
          }
          if (countHeaders(received) > MAX_HEADERS) {
            return started.abort(new ExcessiveResponse("headers"));
          }
          status = statusCode;
          answerHeaders = received;
          holdAnswer(started);
        },
        onResponseData(received, chunk) {
          meter?.recordContent(chunk.length);
          if (!content.append(chunk)) {
            const pieces = content.countPieces();
            const sizeBytes = content.getSizeBytes();
            return received.abort(
              new ExcessiveResponse(`${pieces} pieces of ${sizeBytes} bytes`),
            );
          }
          if (content.getSizeBytes() > heldBytes) holdMore(received);
        },
        onResponseEnd() {
          meter?.recordEnd();
          if (isConnectionFailing()) {
            const detail = "connection was reset before the answer ended";
            return resolve({ kind: "lost", reason: "cut", detail });
          }
          const failure = options.decodeFailure?.(status, answerHeaders);
          if (failure !== undefined) return resolve(failure);
          const body = content.join();
          const metadata = codec.decodeAnswer(status, answerHeaders);
          const headers = copyEndToEndHeaders(answerHeaders);
          resolve(classifyAnswer(metadata, { status, headers, body }, request));
        },
        onResponseError(_controller, error) {
          stopWaiting();
          content.clear();
          if (isWithdrawn) return resolve({ kind: "withdrawn" });
          resolve(classifyError(error, abortReason));
        },
      });
    } catch (cause) {
      controller?.abort(cause as Error);
      resolve(classifyStartError(cause as Error, controller !== undefined));
    }
  });
  return {
    result,
    abort(reason) {
      abortReason ??= reason;
      if (controller !== undefined) return controller.abort(new Error(reason));
      // The pool drops the request as soon as it has a connection for it.
      settle(
        reason === "timeout"
          ? { kind: "withdrawn" }
          : { kind: "lost", reason, detail: "not sent" },
      );
    },
  };
}

function classifyAnswer(
  metadata: AnswerMetadata,
  answer: ServerAnswer,
  request: OutboundRequest,
): ExchangeResult {
  const { requestId } = request.metadata;
  const { signals } = metadata;
  const isSameRequest = metadata.requestId === requestId;
  // A server may refuse a request before it has read the id.
  if (isSameRequest || metadata.requestId === undefined) {
    if (metadata.isOtherServer) {
      const reason = "other_server";
      return { kind: "not_run", reason, signals: NO_SIGNALS, answer };
    }
    if (metadata.isNotRun) {
      return { kind: "not_run", reason: "shed", signals, answer };
    }
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

function countHeaders(headers: IncomingHttpHeaders): number {
  let count = 0;
  for (const name in headers) {
    const value = headers[name];
    count += Array.isArray(value) ? value.length : 1;
  }
  return count;
}

/** An exception while an attempt is started must end no other one. */
function classifyStartError(error: Error, wasStarted: boolean): ExchangeResult {
  const detail = describeError(error);
  return wasStarted
    ? { kind: "lost", reason: "cut", detail }
    : { kind: "not_sent", reason: detail, isUnresponsive: false };
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
  const isMalformed = error instanceof ExcessiveResponse ||
    error instanceof MalformedResponse ||
    MALFORMED_ERROR_NAMES.has(error.name);
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
