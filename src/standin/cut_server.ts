/**
 * Stand-in of a server that breaks off its answers: it sends the first bytes of a
 * whole answer and closes the connection. For tests only.
 *
 * @module
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Body of a whole answer. */
export const WHOLE_BODY = "whole answer";
/** Answers by how they are framed; `{headers}` stands for further headers. */
const ANSWER_FORMS = {
  "length last": "HTTP/1.1 200 OK\r\n{headers}Content-Length: 12\r\n\r\n",
  "length first": "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n{headers}\r\n",
  "chunks": "HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n",
  "no length": "HTTP/1.1 200 OK\r\n{headers}Connection: close\r\n\r\n",
  "HTTP/1.0": "HTTP/1.0 200 OK\r\n{headers}\r\n",
  "interim first": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
    "HTTP/1.1 200 OK\r\n{headers}Content-Length: 12\r\n\r\n",
} as const;

/** How an answer is framed. */
export type AnswerForm = keyof typeof ANSWER_FORMS;

/** Where and how an answer is broken off. */
export interface AnswerCut {
  form: AnswerForm;
  /** Bytes of the answer that are sent. */
  bytes: number;
  /** Whether the connection is closed in order, or reset. */
  end: "close" | "reset";
  /** Time from the bytes to the end, in ms. */
  silenceMs: number;
}

/** A running server. */
export interface CutServer {
  address: string;
  /**
   * Sets how the next answers are broken off; undefined for whole ones.
   *
   * @param cut How they are broken off.
   */
  setCut(cut: AnswerCut | undefined): void;
  /** @returns Number of answers that were broken off. */
  countCuts(): number;
  close(): void;
}

/** Returns the head of an answer with further headers, up to the empty line. */
function makeAnswerHead(form: AnswerForm, headers: string): string {
  return ANSWER_FORMS[form].replace("{headers}", headers);
}

/**
 * @param makeHeaders Makes the headers of the answer, each with a line end, from a
 *   request's head.
 * @param stepBytes Distance of the bytes after which answers are cut.
 * @param silenceMs Time from the bytes to the end, in ms.
 * @returns Answers of all forms that are closed and reset within their heads.
 */
export function listHeadCuts(
  makeHeaders: (requestHead: string) => string,
  stepBytes: number,
  silenceMs = 0,
): AnswerCut[] {
  return (Object.keys(ANSWER_FORMS) as AnswerForm[]).flatMap((form) => {
    const headBytes = makeAnswerHead(form, makeHeaders("")).length;
    const cuts: AnswerCut[] = [];
    for (let bytes = 1; bytes < headBytes; bytes += stepBytes) {
      cuts.push({ form, bytes, end: "close", silenceMs });
      cuts.push({ form, bytes, end: "reset", silenceMs });
    }
    return cuts;
  });
}

/**
 * Starts a server on a free port.
 *
 * @param makeHeaders Makes the headers of the answer to a request, each with a
 *   line end, from the request's head.
 * @returns The running server.
 */
export async function startCutServer(
  makeHeaders: (requestHead: string) => string,
): Promise<CutServer> {
  const sockets = new Set<Socket>();
  let cut: AnswerCut | undefined;
  let cuts = 0;

  async function answer(socket: Socket, requestHead: string): Promise<void> {
    const current = cut;
    const form = current?.form ?? "length last";
    const head = makeAnswerHead(form, makeHeaders(requestHead));
    const body = form === "chunks"
      ? `${WHOLE_BODY.length.toString(16)}\r\n${WHOLE_BODY}\r\n0\r\n\r\n`
      : WHOLE_BODY;
    if (current === undefined) return void socket.write(head + body);
    cuts++;
    socket.write((head + body).slice(0, current.bytes));
    await sleep(current.silenceMs);
    if (current.end === "close") socket.end();
    else socket.resetAndDestroy();
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
      void answer(socket, head);
    });
  });
  await once(server.listen(0, "127.0.0.1"), "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    setCut: (next) => void (cut = next),
    countCuts: () => cuts,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
