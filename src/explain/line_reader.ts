/**
 * Reads lines of logs, which may have no end.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const NEWLINE = 10;

/** Longest line that is read, in bytes; longer ones are skipped. */
export const MAX_LINE_BYTES = 1_048_576;

/**
 * Splits pieces of text into lines.
 *
 * @param pieces The text, as read.
 * @param maxBytes Longest line; longer ones are skipped.
 * @returns The lines, without their ends.
 */
export async function* readLines(
  pieces: AsyncIterable<Buffer>,
  maxBytes = MAX_LINE_BYTES,
): AsyncGenerator<string> {
  let parts: Buffer[] = [];
  let sizeBytes = 0;

  function add(part: Buffer): void {
    sizeBytes += part.length;
    if (sizeBytes <= maxBytes) parts.push(part);
    else parts = [];
  }

  /** @returns The line that has ended, unless it is too long. */
  function take(): string | undefined {
    const line = sizeBytes <= maxBytes
      ? Buffer.concat(parts).toString("utf8").replace(/\r$/, "")
      : undefined;
    parts = [];
    sizeBytes = 0;
    return line;
  }

  for await (const piece of pieces) {
    let start = 0;
    for (
      let end = piece.indexOf(NEWLINE);
      end >= 0;
      end = piece.indexOf(NEWLINE, start)
    ) {
      add(piece.subarray(start, end));
      const line = take();
      if (line !== undefined) yield line;
      start = end + 1;
    }
    if (start < piece.length) add(piece.subarray(start));
  }
  const last = sizeBytes > 0 ? take() : undefined;
  if (last !== undefined) yield last;
}
