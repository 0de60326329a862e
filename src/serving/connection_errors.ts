/**
 * Confines the failure of a connection to the request that it carries.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { describeError } from "../runtime/errors.ts";

/** undici's code of failures that concern a connection and not its requests. */
const CONNECTION_FAILURE_CODE = "UND_ERR_SOCKET";

/** A connection that failed; its request, if any, is lost. */
export class ConnectionFailure extends Error {
  readonly code = CONNECTION_FAILURE_CODE;

  /**
   * @param message What failed.
   * @param cause The error behind it, if any.
   */
  constructor(message: string, cause?: unknown) {
    super(message, { cause });
    this.name = "ConnectionFailure";
  }
}

/** What a server sent is no response in HTTP. */
export class MalformedResponse extends ConnectionFailure {
  /** @param message What is malformed. */
  constructor(message: string) {
    super(message);
    this.name = "MalformedResponse";
  }
}

/**
 * Makes any failure of a connection end the request that it carries, and no
 * other. To be called before undici gets the socket.
 *
 * As a connection that its server has announced to close is reset or destroyed,
 * undici 7 finishes its parser, which throws if the answer is paused or its
 * request was aborted, and takes an answer without length as complete. It does
 * so for `ECONNRESET` and in `close` without an error before, so it sees neither.
 * An exception of a listener destroys the socket, as one of undici's parser does.
 *
 * @param socket An open socket.
 */
export function confineFailures(socket: Socket): void {
  const emit = socket.emit.bind(socket) as Socket["emit"];
  let hasFailed = false;

  function emitSafely(event: string | symbol, args: unknown[]): boolean {
    try {
      return emit(event, ...args);
    } catch (cause) {
      const message = `${String(event)} failed: ${describeError(cause)}`;
      socket.destroy(new ConnectionFailure(message, cause));
      return true;
    }
  }

  function emitFailure(error: unknown): boolean {
    hasFailed = true;
    const isReset = (error as NodeJS.ErrnoException).code === "ECONNRESET";
    const failure = isReset
      ? new ConnectionFailure(describeError(error), error)
      : error;
    return emitSafely("error", [failure]);
  }

  socket.emit = (event: string | symbol, ...args: unknown[]) => {
    if (event === "error") return emitFailure(args[0]);
    if (event === "close" && !hasFailed) {
      emitFailure(new ConnectionFailure("connection closed"));
    }
    return emitSafely(event, args);
  };
}

/**
 * @param connect A connector of undici.
 * @returns The connector, with connections whose failures are confined.
 */
export function confineConnections(
  connect: buildConnector.connector,
): buildConnector.connector {
  return (options, callback) =>
    connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
      if (error !== null) return callback(error, null);
      confineFailures(socket);
      callback(null, socket);
    });
}
