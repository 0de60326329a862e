/**
 * Probes whether a process listens at an address.
 *
 * @module
 */
import { splitAddress } from "./address.ts";
import type { OpenSocket } from "./open_socket.ts";

/**
 * Outcome of a connection attempt. `silent` stands for a timeout and for every
 * error but a refusal.
 */
export type DialResult = "accepted" | "refused" | "silent";

/** Opens a TCP connection to an address and closes it again. */
export type Dial = (address: string, timeoutMs: number) => Promise<DialResult>;

/**
 * @param openSocket Opens sockets.
 * @returns A function that opens a TCP connection to an address, `host:port`,
 *   and closes it again. It waits for the given time, in ms; its promise never
 *   rejects.
 */
export function createDial(openSocket: OpenSocket): Dial {
  return (address, timeoutMs) => {
    const { host, port } = splitAddress(address);
    return new Promise((resolve) => {
      const socket = openSocket(host, port);
      const finish = (result: DialResult) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(result);
      };
      const timer = setTimeout(() => finish("silent"), timeoutMs);
      socket.once("connect", () => finish("accepted"));
      socket.on(
        "error",
        ({ code }: NodeJS.ErrnoException) =>
          finish(code === "ECONNREFUSED" ? "refused" : "silent"),
      );
    });
  };
}
