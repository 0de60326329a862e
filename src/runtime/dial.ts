/**
 * Probes whether a process listens at an address.
 *
 * @module
 */
import { connect } from "node:net";
import { splitAddress } from "./address.ts";

/**
 * Outcome of a connection attempt. `silent` stands for a timeout and for every
 * error but a refusal.
 */
export type DialResult = "accepted" | "refused" | "silent";

/** Opens a TCP connection to an address and closes it again. */
export type Dial = (address: string, timeoutMs: number) => Promise<DialResult>;

/**
 * Opens a TCP connection to an address and closes it again.
 *
 * @param address `host:port`.
 * @param timeoutMs Longest time to wait, in ms.
 * @returns The outcome; the promise never rejects.
 */
export const dial: Dial = (address, timeoutMs) => {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (result: DialResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(timeoutMs, () => finish("silent"));
    socket.once("connect", () => finish("accepted"));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        finish(code === "ECONNREFUSED" ? "refused" : "silent"),
    );
  });
};
