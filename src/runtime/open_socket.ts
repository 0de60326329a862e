/**
 * Opens TCP connections, behind an interface so that tests can break the
 * connections of one VM.
 *
 * @module
 */
import { connect, type Socket } from "node:net";

/**
 * Starts to open a TCP connection.
 *
 * @param host The host.
 * @param port The port.
 * @returns The socket; it emits `connect` or `error`.
 */
export type OpenSocket = (host: string, port: number) => Socket;

/** Opens a socket of the operating system. */
export const openSocket: OpenSocket = (host, port) =>
  connect({ host, port, noDelay: true });
