/**
 * Limits the requests that clients send before they have the answers.
 *
 * A request costs memory from its head to the end of its answer, and a client
 * that pipelines can begin any number. Those beyond the limit of a connection
 * wait, and the connection isn't read until they have begun; the parser may
 * have delivered thousands more from the same read.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setImmediate } from "node:timers";

/** Limits the requests of the connections of one server. */
export interface RequestGate {
  /**
   * Begins a request, at once or after those before it on its connection have
   * been answered; never if the connection closes before.
   *
   * @param message The request.
   * @param response Its response.
   * @param run Begins it.
   */
  admit(
    message: IncomingMessage,
    response: ServerResponse,
    run: () => void,
  ): void;
  /**
   * @param socket A connection.
   * @returns Whether requests wait on it.
   */
  hasWaiting(socket: Socket): boolean;
  /** @returns Whether the requests of all connections take too much memory. */
  isFull(): boolean;
  /**
   * Closes the connections on which much was read since the previous call that
   * is no request, such as empty lines. The parser skips them without telling
   * anybody.
   */
  closeBabbling(): void;
}

/** Limits of a gate. */
export interface RequestGateLimits {
  /** Begun requests on one connection. */
  maxRequests: number;
  /** Estimated memory of the begun requests on one connection. */
  maxConnectionBytes: number;
  /** Estimated memory of all begun requests. */
  maxBegunBytes: number;
  /** Estimated memory of all waiting requests. */
  maxWaitingBytes: number;
}

/** Options of `createRequestGate`. */
export interface RequestGateOptions extends Partial<RequestGateLimits> {
  /**
   * Called when a connection's waiting requests are dropped: it closes after the
   * answers to those that have begun.
   */
  onDrop?: (socket: Socket) => void;
}

/**
 * Load pattern: clients that send requests as fast as they are read and wait for
 * no answer. All begun and waiting ones have to fit the heap of the smallest VM
 * beside the process.
 */
const DEFAULT_LIMITS: RequestGateLimits = {
  maxRequests: 64,
  maxConnectionBytes: 1_048_576,
  maxBegunBytes: 33_554_432,
  maxWaitingBytes: 16_777_216,
};
/** Memory of a begun request besides its head. */
const BEGUN_BYTES = 8_192;
/** Memory of a name or value of a header besides its characters. */
const HEADER_TEXT_BYTES = 100;
/** Memory of a waiting request besides its head. */
const WAITING_BYTES = 4_096;
/**
 * Waiting requests that begin in one turn of the event loop. Other clients are
 * read between turns.
 */
const MAX_BEGUN_PER_TURN = 32;
/** Bytes that may be read on a connection without a request or its body. */
const MAX_SILENT_BYTES = 262_144;

interface Connection {
  socket: Socket;
  begunCount: number;
  begunBytes: number;
  waiting: WaitingRequest[];
  waitingBytes: number;
  isQueued: boolean;
  /** Whether requests that have not begun are dropped. */
  isEnding: boolean;
  /** The last request that arrived. */
  last: IncomingMessage;
  /** The last request that was complete when `closeBabbling` was called. */
  ended: IncomingMessage | undefined;
  /** `bytesRead` at that call. */
  endedBytesRead: number;
}

interface WaitingRequest {
  headBytes: number;
  response: ServerResponse;
  run: () => void;
}

/**
 * @param options Limits that differ from the defaults.
 * @returns A gate without requests.
 */
export function createRequestGate(
  options: RequestGateOptions = {},
): RequestGate {
  const limits = { ...DEFAULT_LIMITS, ...options };
  const connections = new Map<Socket, Connection>();
  /** Connections whose next waiting request may begin. */
  const queue: Connection[] = [];
  let begunBytes = 0;
  let waitingBytes = 0;

  function open(message: IncomingMessage): Connection {
    const { socket } = message;
    const connection: Connection = {
      socket,
      begunCount: 0,
      begunBytes: 0,
      waiting: [],
      waitingBytes: 0,
      isQueued: false,
      isEnding: false,
      last: message,
      ended: undefined,
      endedBytesRead: 0,
    };
    connections.set(socket, connection);
    socket.once("close", () => {
      connections.delete(socket);
      begunBytes -= connection.begunBytes;
      waitingBytes -= connection.waitingBytes;
      connection.waiting = [];
    });
    // node:http resumes connections when answers were written or bodies are
    // read.
    socket.on("resume", () => {
      if (connection.waitingBytes > 0) socket.pause();
    });
    return connection;
  }

  function hasRoom(connection: Connection, headBytes: number): boolean {
    if (connection.begunCount === 0) return true;
    return connection.begunCount < limits.maxRequests &&
      connection.begunBytes + headBytes < limits.maxConnectionBytes &&
      begunBytes < limits.maxBegunBytes;
  }

  function begin(
    connection: Connection,
    { headBytes, response, run }: WaitingRequest,
  ): void {
    const bytes = BEGUN_BYTES + headBytes;
    connection.begunCount++;
    connection.begunBytes += bytes;
    begunBytes += bytes;
    response.once("close", () => {
      // The close of the connection has subtracted them.
      if (!connections.has(connection.socket)) return;
      connection.begunCount--;
      connection.begunBytes -= bytes;
      begunBytes -= bytes;
      beginWaiting(connection);
    });
    run();
  }

  function beginWaiting(connection: Connection): void {
    const { socket, waiting } = connection;
    if (connection.isEnding) {
      if (connection.begunCount === 0 && !socket.destroyed) {
        socket.destroySoon();
      }
      return;
    }
    if (connection.isQueued || waiting.length === 0) return;
    if (!hasRoom(connection, waiting[0].headBytes)) return;
    connection.isQueued = true;
    if (queue.length === 0) setImmediate(runQueue);
    queue.push(connection);
  }

  /** Begins waiting requests, one of each connection in turn. */
  function runQueue(): void {
    for (let count = 0; count < MAX_BEGUN_PER_TURN; count++) {
      const connection = queue[0];
      if (connection === undefined) return;
      const next = connection.waiting.shift();
      if (next !== undefined) {
        addWaiting(connection, -WAITING_BYTES - next.headBytes);
        begin(connection, next);
        if (connection.waiting.length === 0) connection.socket.resume();
      }
      connection.isQueued = false;
      beginWaiting(connection);
      queue.shift();
    }
    if (queue.length > 0) setImmediate(runQueue);
  }

  function addWaiting(connection: Connection, bytes: number): void {
    connection.waitingBytes += bytes;
    waitingBytes += bytes;
  }

  function wait(connection: Connection, request: WaitingRequest): void {
    const { socket } = connection;
    // node:http keeps dropped requests too, until the connection closes.
    addWaiting(connection, WAITING_BYTES + request.headBytes);
    socket.pause();
    if (waitingBytes > 2 * limits.maxWaitingBytes) {
      socket.destroy();
      return;
    }
    if (connection.isEnding) return;
    connection.waiting.push(request);
    if (waitingBytes <= limits.maxWaitingBytes) return;
    connection.isEnding = true;
    connection.waiting = [];
    options.onDrop?.(socket);
    if (connection.begunCount === 0) socket.destroySoon();
  }

  return {
    admit(message, response, run) {
      const { socket } = message;
      const connection = connections.get(socket) ?? open(message);
      connection.last = message;
      const request = { headBytes: estimateHeadBytes(message), response, run };
      const mayBegin = connection.waitingBytes === 0 &&
        hasRoom(connection, request.headBytes);
      if (mayBegin) begin(connection, request);
      else wait(connection, request);
    },
    hasWaiting: (socket) => (connections.get(socket)?.waiting.length ?? 0) > 0,
    isFull: () => begunBytes >= limits.maxBegunBytes,
    closeBabbling() {
      for (const connection of connections.values()) {
        const { socket, last } = connection;
        if (connection.ended !== last) {
          // Its body may have been read since the previous call.
          if (last.complete) connection.ended = last;
          connection.endedBytesRead = socket.bytesRead;
          continue;
        }
        const silentBytes = socket.bytesRead - connection.endedBytesRead;
        if (silentBytes > MAX_SILENT_BYTES) socket.destroy();
      }
    },
  };
}

function estimateHeadBytes({ url, rawHeaders }: IncomingMessage): number {
  let bytes = url?.length ?? 0;
  for (const text of rawHeaders) bytes += text.length + HEADER_TEXT_BYTES;
  return bytes;
}
