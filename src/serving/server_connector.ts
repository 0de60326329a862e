/**
 * Opens the connections of undici's pools.
 *
 * undici's own timer for connecting runs in steps of half a second, so that a
 * timeout of 400 ms took up to 0.9 s.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { Clock } from "../runtime/clock.ts";
import type { OpenSocket } from "../runtime/open_socket.ts";
import { confineFailures } from "./connection_errors.ts";

/** Connect timeout; a round trip between regions takes 70 ms. */
export const CONNECT_TIMEOUT_MS = 400;
const HTTP_PORT = 80;

/** Why a connection could not be opened; no byte of a request was sent. */
export class ConnectError extends Error {
  /** Whether the address did not respond, rather than refusing. */
  readonly isTimeout: boolean;

  /**
   * @param message What failed, with the address.
   * @param isTimeout Whether the address did not respond.
   * @param cause The error of the socket, if any.
   */
  constructor(message: string, isTimeout: boolean, cause?: Error) {
    super(message, { cause });
    this.name = "ConnectError";
    this.isTimeout = isTimeout;
  }
}

/** Observes the connections of a pool. */
export interface ConnectObserver {
  /** Called for each connection that was opened, with its socket. */
  onConnected(socket: Socket): void;
  /**
   * Called for each connection that could not be opened.
   *
   * @param error Why.
   * @param startedAtMs When opening it began, on the monotonic clock.
   */
  onFailed(error: ConnectError, startedAtMs: number): void;
}

/**
 * @param openSocket Opens sockets.
 * @param clock The clock.
 * @param observer Observes the outcomes.
 * @returns A connector for a pool of undici. It sets no options of the kernel
 *   that end a connection: requests have deadlines, idle connections timeouts.
 */
export function createServerConnector(
  openSocket: OpenSocket,
  clock: Clock,
  observer: ConnectObserver,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const startedAtMs = clock.monotonicMs();
    // A URL leaves out the default port.
    const portNumber = port === "" ? HTTP_PORT : Number(port);
    const address = `${hostname}:${portNumber}`;
    const socket = openSocket(hostname, portNumber);
    const fail = (message: string, isTimeout: boolean, cause?: Error) => {
      timer.cancel();
      socket.off("connect", onConnect);
      socket.destroy();
      const error = new ConnectError(message, isTimeout, cause);
      observer.onFailed(error, startedAtMs);
      callback(error, null);
    };
    const onError = (cause: Error) =>
      fail(`connecting to ${address} failed: ${cause.message}`, false, cause);
    const timer = clock.after(CONNECT_TIMEOUT_MS, () => {
      socket.off("error", onError);
      socket.on("error", () => {});
      fail(`connecting to ${address} took over ${CONNECT_TIMEOUT_MS} ms`, true);
    });
    const onConnect = () => {
      timer.cancel();
      socket.off("error", onError);
      confineFailures(socket);
      observer.onConnected(socket);
      callback(null, socket);
    };
    socket.once("error", onError);
    socket.once("connect", onConnect);
  };
}
