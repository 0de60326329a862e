/**
 * Limits what a server sends on a connection besides the content of answers:
 * heads, interim responses, the framing of chunks, trailers, and bytes between
 * answers.
 *
 * The parser skips some of these without telling anybody, and makes objects for
 * each header line, so they are counted where they are read. It gets small parts
 * of what was read: undici parses a part to its end, also after a limit was
 * exceeded, and makes an error for each further header.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { ConnectionFailure } from "./connection_errors.ts";

/** A server sent more than an answer needs. */
export class ExcessiveResponse extends ConnectionFailure {
  /** @param message What there was too much of. */
  constructor(message: string) {
    super(message);
    this.name = "ExcessiveResponse";
  }
}

/** Counts what arrives on one connection. */
export interface ResponseMeter {
  /** Records that a head, an interim one or the answer's, is complete. */
  recordHead(): void;
  /**
   * Counts content of the answer.
   *
   * @param bytes Number of bytes.
   */
  recordContent(bytes: number): void;
  /** Begins to count anew, when an answer has ended. */
  recordEnd(): void;
}

/** The meters of several connections. */
export interface ResponseMeters {
  /**
   * Counts what is read on a connection, and destroys it when that is too much.
   * To be called before anything reads from it; its reader has to ask for all
   * there is.
   *
   * @param socket An open connection.
   */
  watch(socket: Socket): void;
  /** @returns The meter of the connection that was read last. */
  getCurrent(): ResponseMeter | undefined;
}

/** Most headers of an answer. */
export const MAX_HEADERS = 256;

/** Bytes besides the content of one answer; its head has up to 16 KB. */
const MAX_OVERHEAD_BYTES = 65_536;
/** Most lines in which the parser finds neither a whole head nor content. */
const MAX_SILENT_LINES = MAX_HEADERS;
/** Most bytes that the parser gets at once. */
const MAX_PART_BYTES = 2_048;
const LINE_FEED = 10;

/** @returns Meters of no connection. */
export function createResponseMeters(): ResponseMeters {
  let current: ResponseMeter | undefined;
  return {
    watch(socket) {
      const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
      let readBytes = 0;
      let endedBytes = 0;
      let contentBytes = 0;
      let silentLines = 0;
      /** What was read last, until the parser has found something in it. */
      let silentPart: Buffer | undefined;

      function recordProgress(): void {
        silentPart = undefined;
        silentLines = 0;
      }

      function findExcess(): string | undefined {
        if (silentPart !== undefined) silentLines += countLines(silentPart);
        silentPart = undefined;
        if (silentLines > MAX_SILENT_LINES) return `${silentLines} lines`;
        const overheadBytes = readBytes - endedBytes - contentBytes;
        // The framing of a chunk is smaller than what it holds, unless that is
        // a few bytes.
        if (overheadBytes <= MAX_OVERHEAD_BYTES + contentBytes) return;
        return `${overheadBytes} bytes besides ${contentBytes} bytes of content`;
      }

      const meter: ResponseMeter = {
        recordHead: recordProgress,
        recordContent(bytes) {
          recordProgress();
          contentBytes += bytes;
        },
        recordEnd() {
          recordProgress();
          endedBytes = readBytes;
          contentBytes = 0;
        },
      };
      socket.read = () => {
        if (socket.destroyed) return null;
        const excess = findExcess();
        if (excess !== undefined) {
          socket.destroy(new ExcessiveResponse(excess));
          return null;
        }
        const { readableLength } = socket;
        const part = readableLength > MAX_PART_BYTES
          ? read(MAX_PART_BYTES)
          : read();
        if (part !== null) {
          readBytes += part.length;
          silentPart = part;
        }
        current = meter;
        return part;
      };
    },
    getCurrent: () => current,
  };
}

function countLines(part: Buffer): number {
  let lines = 0;
  for (
    let at = part.indexOf(LINE_FEED);
    at >= 0;
    at = part.indexOf(LINE_FEED, at + 1)
  ) lines++;
  return lines;
}
