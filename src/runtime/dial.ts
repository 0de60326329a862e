/**
 * Whether anybody listens at an address.
 *
 * @module
 */
import { connect } from "node:net";
import { splitAddress } from "./address.ts";

/** What came of a connection that was only opened. */
export type DialResult = "accepted" | "refused" | "silent";

/** Opens a connection and closes it again. */
export type Dial = (address: string, timeoutMs: number) => Promise<DialResult>;

/**
 * @param address `host:port`.
 * @param timeoutMs How long to wait.
 * @returns What came of it; never rejects.
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
