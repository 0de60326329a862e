/**
 * Limits what is read of request bodies besides what is kept of them.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { MAX_SMALL_PIECES } from "./body_buffer.ts";
import type { Clock } from "./clock.ts";

/** Compares what is read on a connection with the content of a body. */
export interface BodyMeter {
  /**
   * Counts content.
   *
   * @param bytes Number of bytes.
   * @returns Whether the body may go on: false once its framing is larger than
   *   its content explains.
   */
  record(bytes: number): boolean;
}

/** Framing of a body whose content is small; bytes that wait for the parser count. */
const MAX_OVERHEAD_BYTES = 262_144;
/** Mean size of discarded pieces beyond the small ones, in bytes. */
const MIN_MEAN_PIECE_BYTES = 1_024;

/**
 * @param message A request whose body is about to be read.
 * @returns A meter of its body.
 */
export function createBodyMeter({ socket }: IncomingMessage): BodyMeter {
  const startBytes = socket.bytesRead;
  let contentBytes = 0;
  return {
    record(bytes) {
      contentBytes += bytes;
      const overheadBytes = socket.bytesRead - startBytes - contentBytes;
      return overheadBytes <= MAX_OVERHEAD_BYTES + contentBytes;
    },
  };
}

/**
 * Reads a body and drops it, up to a limit; then the connection isn't read any
 * more.
 *
 * @param message A request with a body that is not wanted.
 * @param maxBytes Content to drop, in bytes.
 * @param onLimit Called when the limit is reached.
 */
export function discardRest(
  message: IncomingMessage,
  maxBytes: number,
  onLimit: () => void = () => {},
): void {
  const meter = createBodyMeter(message);
  let discardedBytes = 0;
  let pieces = 0;
  let isOver = false;
  message.on("data", (piece: Buffer) => {
    if (isOver) return;
    discardedBytes += piece.length;
    const mayGoOn = meter.record(piece.length) && discardedBytes <= maxBytes &&
      ++pieces <= MAX_SMALL_PIECES + discardedBytes / MIN_MEAN_PIECE_BYTES;
    if (mayGoOn) return;
    isOver = true;
    stopReading(message.socket);
    onLimit();
  });
  message.resume();
}

/**
 * @param message A request.
 * @returns Whether it has a body that is not empty.
 */
export function hasBody({ headers }: IncomingMessage): boolean {
  return Number(headers["content-length"] ?? 0) > 0 ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Limits what is read of a body that its handler leaves unread; node:http would
 * read and drop it for as long as it comes. A connection whose body doesn't end
 * within the limits is closed.
 *
 * @param message The request.
 * @param response Its response, which has not ended.
 * @param clock The clock.
 * @param limits Content to drop, in bytes, and the time for it.
 */
export function limitRest(
  message: IncomingMessage,
  response: ServerResponse,
  clock: Clock,
  { maxBytes, maxMs }: { maxBytes: number; maxMs: number },
): void {
  if (!hasBody(message)) return;
  // Before node:http looks for an unread body.
  response.once("prefinish", () => {
    if (message.complete) return;
    const { socket } = message;
    const timer = clock.after(maxMs, () => socket.destroy());
    message.once("end", timer.cancel);
    message.once("close", timer.cancel);
    discardRest(message, maxBytes);
  });
}

/** Stops to read a connection for good. */
function stopReading(socket: Socket): void {
  socket.pause();
  // node:http resumes it when answers were written or bodies are read.
  socket.on("resume", () => void socket.pause());
}
