/**
 * A server whose answers have no end, for tests of those that read them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

const PIECE_BYTES = 65_536;

/** The bytes of an answer without end. */
export interface EndlessAnswer {
  /** Sent once. */
  head: string;
  /** Repeated for as long as the connection is open. */
  repeated: string;
}

/** A running server. */
export interface EndlessServer {
  /** `host:port` that the server listens on. */
  address: string;
  /** @returns Bytes sent on all connections. */
  getSentBytes(): number;
  /** @returns Number of open connections. */
  countConnections(): number;
  /** Closes the server and its connections. */
  close(): void;
}

/** Answers without end, by what is endless about them. */
export const ENDLESS_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  "a body in chunks of one byte": {
    head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "1\r\na\r\n",
  },
  "a body in large chunks": {
    head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: `8000\r\n${"a".repeat(0x8000)}\r\n`,
  },
  "a body without length": {
    head: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    repeated: "a",
  },
  "a body of 99 GB": {
    head: "HTTP/1.1 200 OK\r\ncontent-length: 99000000000\r\n\r\n",
    repeated: "a",
  },
  "a reason phrase": { head: "HTTP/1.1 200 ", repeated: "a" },
  "a header": { head: "HTTP/1.1 200 OK\r\nx: ", repeated: "a" },
  "interim responses": {
    head: "",
    repeated: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  "a chunk extension": {
    head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
    repeated: "a",
  },
};

const HEALTH_REQUEST = "GET /health ";
const HEALTH_ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/**
 * Starts a server that gives each connection an answer without end.
 *
 * @param answer The answer.
 * @param isHealthy Whether it answers probes of its health like a sound server.
 * @returns The listening server.
 */
export async function startEndlessServer(
  { head, repeated }: EndlessAnswer,
  isHealthy = false,
): Promise<EndlessServer> {
  const piece = Buffer.from(
    repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length)),
  );
  const sockets = new Set<Socket>();
  let closedBytes = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => {
      sockets.delete(socket);
      closedBytes += socket.bytesWritten;
    });
    socket.on("data", (request) => {
      if (isHealthy && request.toString().startsWith(HEALTH_REQUEST)) {
        socket.write(HEALTH_ANSWER);
        return;
      }
      socket.removeAllListeners("data");
      socket.resume();
      socket.write(head);
      const writeMore = () => {
        while (!socket.destroyed && socket.write(piece));
      };
      socket.on("drain", writeMore);
      writeMore();
    });
  });
  await once(server.listen(0, "127.0.0.1"), "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    getSentBytes() {
      let bytes = closedBytes;
      for (const socket of sockets) bytes += socket.bytesWritten;
      return bytes;
    },
    countConnections: () => sockets.size,
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
