/**
 * HTTP client that reads whole responses and bounds what a peer may send: bytes,
 * pieces, and what comes besides the content. Callers bound the time.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { Agent, buildConnector, type Dispatcher, Pool } from "undici";
import { confineConnections } from "../serving/connection_errors.ts";
import type { FailureDetector } from "../serving/http_attempt.ts";
import {
  createResponseMeters,
  ExcessiveResponse,
  type ResponseMeter,
  type ResponseMeters,
} from "../serving/response_meter.ts";
import { findInvalidStatus } from "../serving/response_status.ts";
import { createBodyBuffer } from "./body_buffer.ts";

/** Responses of lower status are interim, and precede the response. */
const MIN_FINAL_STATUS = 200;
/** Most interim responses before a response. */
const MAX_INTERIM_RESPONSES = 100;

/** A whole response. */
export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** A request. */
export interface HttpCall {
  /** Scheme, host and port, such as `http://127.0.0.1:7000`. */
  origin: string;
  /** Path and query; sent as it is. */
  path: string;
  /** `GET` where absent. */
  method?: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
  /** Aborts the request, also while its response is being read. */
  signal: AbortSignal;
}

/** Sends requests and reads their whole responses. */
export interface HttpClient {
  /**
   * Sends a request once.
   *
   * @param call The request.
   * @returns The whole response.
   * @throws The error of the transport, or `ExcessiveResponse` where the response
   *   exceeds a limit.
   */
  request(call: HttpCall): Promise<HttpResponse>;
  /** Closes all connections; requests in flight fail. */
  close(): Promise<void>;
}

/** Options of a client. */
export interface HttpClientOptions {
  /** Largest response body. */
  maxResponseBytes: number;
  /** Bytes of all response bodies that are being read; no limit where absent. */
  maxTotalBytes?: number;
  /** Connections to a peer, or how many there may be to an origin. */
  connections: number | ((origin: string) => number);
  connectTimeoutMs: number;
  /** Time after which an idle connection is closed; undici's where absent. */
  idleTimeoutMs?: number;
  /** Detects responses that end because their connection was reset. */
  failures?: FailureDetector;
}

/**
 * @param options Limits.
 * @returns A client without connections.
 */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const { connections, connectTimeoutMs, idleTimeoutMs } = options;
  const getConnections = typeof connections === "number"
    ? () => connections
    : connections;
  const meters = createResponseMeters();
  const agent = new Agent({
    factory: (origin, poolOptions) =>
      new Pool(origin, {
        ...poolOptions as Pool.Options,
        connections: getConnections(String(origin)),
      }),
    pipelining: 1,
    connect: createConnector(connectTimeoutMs, meters, options.failures),
    ...(idleTimeoutMs === undefined ? {} : { keepAliveTimeout: idleTimeoutMs }),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const dispatcher = agent.compose(createLimitInterceptor(options, meters));
  return {
    async request({ method = "GET", ...call }) {
      const response = await dispatcher.request({
        ...call,
        method: method as Dispatcher.HttpMethod,
      });
      return {
        status: response.statusCode,
        headers: response.headers,
        body: Buffer.from(await response.body.arrayBuffer()),
      };
    },
    close: () => agent.destroy(),
  };
}

function createConnector(
  timeoutMs: number,
  meters: ResponseMeters,
  failures: FailureDetector | undefined,
): buildConnector.connector {
  const connect = confineConnections(buildConnector({ timeout: timeoutMs }));
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        failures?.watch(socket);
        meters.watch(socket);
      }
      callback(...result);
    });
}

/** Collects each body, and delivers it in one piece once it is complete. */
function createLimitInterceptor(
  { maxResponseBytes, maxTotalBytes = Infinity, failures }: HttpClientOptions,
  meters: ResponseMeters,
): Dispatcher.DispatcherComposeInterceptor {
  let totalBytes = 0;

  function limitResponse(
    handler: Dispatcher.DispatchHandler,
    isHead: boolean,
  ): Dispatcher.DispatchHandler {
    const content = createBodyBuffer();
    let meter: ResponseMeter | undefined;
    let interimResponses = 0;
    let heldBytes = 0;

    function release(): void {
      totalBytes -= heldBytes;
      heldBytes = 0;
      content.clear();
    }

    /** @returns What exceeds a limit, if anything. */
    function addPiece(piece: Buffer): string | undefined {
      heldBytes += piece.length;
      totalBytes += piece.length;
      if (heldBytes > maxResponseBytes) return `over ${maxResponseBytes} bytes`;
      if (totalBytes > maxTotalBytes) {
        return `responses of over ${maxTotalBytes} bytes in all`;
      }
      if (content.append(piece)) return undefined;
      return `${content.countPieces()} pieces of ${heldBytes} bytes`;
    }

    return {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onResponseStart(controller, status, headers, message) {
        meter = meters.getCurrent();
        meter?.recordHead();
        const invalid = findInvalidStatus(status);
        if (invalid !== undefined) return controller.abort(invalid);
        if (status < MIN_FINAL_STATUS) {
          if (++interimResponses <= MAX_INTERIM_RESPONSES) return;
          const reason = `${interimResponses} interim responses`;
          return controller.abort(new ExcessiveResponse(reason));
        }
        const declaredBytes = Number(headers["content-length"] ?? 0);
        if (!isHead && declaredBytes > maxResponseBytes) {
          const reason = `response of ${declaredBytes} bytes`;
          return controller.abort(new ExcessiveResponse(reason));
        }
        handler.onResponseStart?.(controller, status, headers, message);
      },
      onResponseData(controller, piece) {
        meter?.recordContent(piece.length);
        const excess = addPiece(piece);
        if (excess !== undefined) {
          controller.abort(new ExcessiveResponse(excess));
        }
      },
      onResponseEnd(controller, trailers) {
        meter?.recordEnd();
        const body = content.join();
        release();
        if (failures?.isFailing()) {
          const error = new Error("The connection was reset");
          return handler.onResponseError?.(controller, error);
        }
        if (body.length > 0) handler.onResponseData?.(controller, body);
        handler.onResponseEnd?.(controller, trailers);
      },
      onResponseError(controller, error) {
        release();
        handler.onResponseError?.(controller, error);
      },
    };
  }

  return (dispatch) => (options, handler) =>
    dispatch(options, limitResponse(handler, options.method === "HEAD"));
}
