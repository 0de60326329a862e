/**
 * Requests of each client connection, and which response closes it.
 *
 * A client may pipeline requests: send more before the first response. They are
 * served concurrently, and each response is written when those before it have
 * been sent. node:http closes the connection after the first response with
 * `connection: close`, also if requests behind it are running, so that header is
 * decided here, and only when the response is written: a request that is read
 * until then is answered.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ClientSignal } from "./types.ts";

/** A request whose serving has begun. */
export interface BegunRequest {
  message: IncomingMessage;
  response: ServerResponse;
  /** When its headers had arrived, on the monotonic clock. */
  arrivedAtMs: number;
  /** Aborted when the client disconnects before it has the whole response. */
  signal: ClientSignal;
  /**
   * Adds a function to call when the client has taken the response or has
   * disconnected; at once if it has.
   *
   * @param run The function.
   */
  onSettled(run: () => void): void;
  /**
   * Adds a function to call when the responses before this one have been sent; at
   * once if they have, never if the client disconnects.
   *
   * @param run The function.
   */
  onTurn(run: () => void): void;
  /** Announces on the response that the connection closes, if it does. */
  decideClose(): void;
  /** Whether what arrives of the body is discarded before the response ends. */
  discardsBody: boolean;
  /**
   * Closes the connection after the response, since the body is not read.
   *
   * @param discardsBody Whether the client may be sending the body.
   */
  closeUnread(discardsBody: boolean): void;
}

/** The connections of clients. */
export interface ClientConnections {
  /**
   * Adds a connection.
   *
   * @param socket The connection.
   */
  open(socket: Socket): void;
  /**
   * Begins a request.
   *
   * @param message The request.
   * @param response Its response.
   * @param arrivedAtMs When its headers had arrived, on the monotonic clock.
   * @returns The begun request; undefined where it follows a response that
   *   closes the connection and must not run.
   */
  begin(
    message: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
  ): BegunRequest | undefined;
  /**
   * Gives up reading a connection, and closes it after the responses to the
   * requests that it had sent completely.
   *
   * @param socket The connection.
   * @returns Whether there are such requests.
   */
  closeAfterBegun(socket: Socket): boolean;
  /** From now on, closes each connection after its last begun request. */
  startLeaving(): void;
  /** Closes the connections that have had requests and have none now. */
  closeIdle(): void;
  /**
   * @param socket The connection.
   * @returns Whether a response is being sent on it.
   */
  isSending(socket: Socket): boolean;
  /** @returns The requests whose clients don't have the whole response yet. */
  listBegun(): UnsettledRequest[];
}

/** How far a request has come: until its client has the whole response. */
export type RequestStage = "receiving" | "serving" | "sending";

/** A request whose client doesn't have the whole response yet. */
export interface UnsettledRequest {
  message: IncomingMessage;
  /** When its headers had arrived, on the monotonic clock. */
  arrivedAtMs: number;
  stage: RequestStage;
  /** Bytes of the response that this process still holds. */
  unsentBytes: number;
}

interface Connection {
  begun: Set<OpenRequest>;
  /** The request that began last. */
  last: OpenRequest | undefined;
  /** Whether no further request may begin. */
  isClosing: boolean;
  /** `bytesRead` when the last request was settled. */
  settledBytesRead: number;
}

interface OpenRequest {
  message: IncomingMessage;
  response: ServerResponse;
  arrivedAtMs: number;
  /** Functions to call when it is the response's turn to be written. */
  turnCallbacks: (() => void)[];
  settle(): void;
}

/** @returns A signal that is not aborted, and its `abort`. */
function createClientSignal(): ClientSignal & { abort(): void } {
  // Empty for nearly all of a request's life: an attempt adds one listener.
  let listeners: (() => void)[] = [];
  let aborted = false;
  return {
    get aborted() {
      return aborted;
    },
    addEventListener: (_type, listener) => void listeners.push(listener),
    removeEventListener(_type, listener) {
      listeners = listeners.filter((other) => other !== listener);
    },
    abort() {
      if (aborted) return;
      aborted = true;
      const notified = listeners;
      listeners = [];
      for (const listener of notified) listener();
    },
  };
}

/**
 * @param hasWaiting Whether requests of a connection have arrived that are still
 *   to begin.
 * @returns Connections, none open.
 */
export function createClientConnections(
  hasWaiting: (socket: Socket) => boolean = () => false,
): ClientConnections {
  const connections = new Map<Socket, Connection>();
  let isLeaving = false;

  function open(socket: Socket): Connection {
    const connection: Connection = {
      begun: new Set(),
      last: undefined,
      isClosing: false,
      settledBytesRead: 0,
    };
    connections.set(socket, connection);
    // A response emits "close" only once it is the connection's turn to send
    // it, so those that still queue behind another one are settled here.
    socket.once("close", () => {
      connections.delete(socket);
      for (const request of connection.begun) request.settle();
    });
    return connection;
  }

  function begin(
    message: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
  ): BegunRequest | undefined {
    const { socket } = message;
    const connection = connections.get(socket) ?? open(socket);
    if (connection.isClosing) return undefined;
    const signal = createClientSignal();
    const settledCallbacks: (() => void)[] = [];
    const request: OpenRequest = {
      message,
      response,
      arrivedAtMs,
      turnCallbacks: [],
      settle() {
        if (!connection.begun.delete(request)) return;
        if (!response.writableFinished) signal.abort();
        for (const run of settledCallbacks) run();
        connection.settledBytesRead = socket.bytesRead;
        if (connection.begun.size > 0) endReadLimit(socket, connection);
        // node:http does it after a response that announced the close.
        const isDone = connection.isClosing && connection.begun.size === 0;
        if (isDone && !socket.writableEnded) socket.destroySoon();
        if (!socket.destroyed) startNextTurn(connection);
      },
    };
    connection.begun.add(request);
    connection.last = request;
    response.once("close", request.settle);
    // The request itself asks to close the connection, or to upgrade it: then
    // node:http drops bytes that arrived with it.
    const asksToClose = !response.shouldKeepAlive ||
      message.headers.upgrade !== undefined;
    if (asksToClose) connection.isClosing = true;
    const decideClose = () => {
      const isClosing = connection.isClosing ||
        (isLeaving && !hasWaiting(socket));
      if (!isClosing || connection.last !== request) return;
      connection.isClosing = true;
      // Where the client asked for the close, node:http announces it.
      if (!response.shouldKeepAlive || response.headersSent) return;
      response.setHeader("connection", "close");
    };
    const begun: BegunRequest = {
      message,
      response,
      arrivedAtMs,
      signal,
      onSettled(run) {
        if (connection.begun.has(request)) settledCallbacks.push(run);
        else run();
      },
      onTurn(run) {
        const [first] = connection.begun;
        if (first === request) run();
        else request.turnCallbacks.push(run);
      },
      decideClose,
      discardsBody: false,
      closeUnread(discardsBody) {
        begun.discardsBody = discardsBody;
        connection.isClosing = true;
        decideClose();
      },
    };
    return begun;
  }

  /**
   * Ends the time limit that the settled response set for its client to read,
   * where the next answer has yet to arrive from its server.
   */
  function endReadLimit(socket: Socket, { begun }: Connection): void {
    const [next] = begun;
    if (!next.response.writableEnded) socket.setTimeout(0);
  }

  function startNextTurn({ begun }: Connection): void {
    const [next] = begun;
    if (next === undefined) return;
    const callbacks = next.turnCallbacks;
    next.turnCallbacks = [];
    for (const run of callbacks) run();
  }

  function closeAfterBegun(socket: Socket): boolean {
    const connection = connections.get(socket);
    if (connection === undefined || !socket.writable) return false;
    const { begun, last } = connection;
    const hasComplete = last?.message.complete
      ? begun.size > 0
      : begun.size > 1;
    if (!hasComplete) return false;
    connection.isClosing = true;
    if (last !== undefined && !last.message.complete) {
      last.settle();
      connection.last = [...begun].at(-1);
    }
    return true;
  }

  function closeIdle(): void {
    for (const [socket, connection] of connections) {
      // A request that has arrived in part is answered, and so is the first one
      // of a new connection, which may be on its way.
      const isReceiving = socket.bytesRead === 0 ||
        socket.bytesRead !== connection.settledBytesRead;
      const isIdle = connection.begun.size === 0 && !hasWaiting(socket);
      if (isIdle && !isReceiving) socket.destroy();
    }
  }

  return {
    open: (socket) => void open(socket),
    begin,
    closeAfterBegun,
    startLeaving: () => void (isLeaving = true),
    closeIdle,
    isSending(socket) {
      const [first] = connections.get(socket)?.begun ?? [];
      return first !== undefined && first.response.headersSent;
    },
    listBegun: () =>
      [...connections.values()].flatMap(({ begun }) =>
        [...begun].map(describeRequest)
      ),
  };
}

function describeRequest(
  { message, response, arrivedAtMs }: OpenRequest,
): UnsettledRequest {
  const unsentBytes = response.writableLength;
  const stage = response.headersSent
    ? "sending"
    : message.complete
    ? "serving"
    : "receiving";
  return { message, arrivedAtMs, stage, unsentBytes };
}
