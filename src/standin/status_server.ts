/**
 * Stand-in of a server that answers with any status line. For tests only.
 *
 * @module
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** Statuses of three digits that HTTP doesn't define (RFC 9110, section 15). */
export const UNDEFINED_STATUSES = [
  "000",
  "001",
  "099",
  "600",
  "700",
  "999",
] as const;

/** A running server. */
export interface StatusServer {
  address: string;
  /**
   * Sets the status of the next answers.
   *
   * @param status Three characters of the status line.
   */
  setStatus(status: string): void;
  /** @returns Number of requests received. */
  countRequests(): number;
  close(): void;
}

/**
 * Starts a server on a free port, which answers with status 200.
 *
 * @param makeHeaders Makes the headers of the answer to a request, each with a
 *   line end, from the request's head.
 * @returns The running server.
 */
export async function startStatusServer(
  makeHeaders: (requestHead: string) => string,
): Promise<StatusServer> {
  const sockets = new Set<Socket>();
  let status = "200";
  let requests = 0;

  function answer(socket: Socket, requestHead: string): void {
    requests++;
    socket.write(
      `HTTP/1.1 ${status} Status\r\n${makeHeaders(requestHead)}` +
        "Content-Length: 6\r\n\r\nanswer",
    );
  }

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = text.slice(0, end);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (text.length < end + 4 + length) return;
      text = text.slice(end + 4 + length);
      answer(socket, head);
    });
  });
  await once(server.listen(0, "127.0.0.1"), "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    setStatus: (next) => void (status = next),
    countRequests: () => requests,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
