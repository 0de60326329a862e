/**
 * Collects the pieces in which a body arrives.
 *
 * A piece costs more than its bytes: it is an object on the heap, it keeps the
 * whole buffer that it was read into, and it takes a turn of the parser. A sender
 * chooses how small pieces are, so small ones are copied together, and their
 * number is limited.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** The body that has arrived so far. */
export interface BodyBuffer {
  /**
   * Adds a piece.
   *
   * @param piece The piece; it may be kept as it is.
   * @returns Whether the body may go on: false once it has come in more pieces
   *   than its size explains.
   */
  append(piece: Buffer): boolean;
  /** @returns Bytes added so far. */
  getSizeBytes(): number;
  /** @returns Pieces added so far. */
  countPieces(): number;
  /** @returns The whole body. */
  join(): Buffer;
  /** Drops what was added. */
  clear(): void;
}

/** Pieces that a body of any size may have. */
export const MAX_SMALL_PIECES = 8_192;
/** Mean size of pieces beyond these, in bytes. */
const MIN_MEAN_PIECE_BYTES = 64;
/** Smaller pieces are copied into blocks. */
const MIN_KEPT_BYTES = 4_096;
const MIN_BLOCK_BYTES = 4_096;
const MAX_BLOCK_BYTES = 65_536;

/** @returns An empty body. */
export function createBodyBuffer(): BodyBuffer {
  let parts: Buffer[] = [];
  let block: Buffer | undefined;
  let blockBytes = 0;
  let sizeBytes = 0;
  let pieces = 0;

  function endBlock(): void {
    if (block !== undefined) parts.push(block.subarray(0, blockBytes));
    block = undefined;
    blockBytes = 0;
  }

  function copy(piece: Buffer): void {
    let copiedBytes = 0;
    while (copiedBytes < piece.length) {
      // Unpooled: a slice of Node's pool would keep all of it.
      block ??= Buffer.allocUnsafeSlow(
        Math.min(Math.max(sizeBytes, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES),
      );
      const takenBytes = piece.copy(block, blockBytes, copiedBytes);
      copiedBytes += takenBytes;
      blockBytes += takenBytes;
      if (blockBytes === block.length) endBlock();
    }
  }

  return {
    append(piece) {
      // Most bodies have one piece.
      if (sizeBytes === 0 && isSmall(piece) || isCompact(piece)) {
        endBlock();
        parts.push(piece);
      } else {
        copy(piece);
      }
      sizeBytes += piece.length;
      pieces++;
      return pieces <= MAX_SMALL_PIECES + sizeBytes / MIN_MEAN_PIECE_BYTES;
    },
    getSizeBytes: () => sizeBytes,
    countPieces: () => pieces,
    join() {
      endBlock();
      return parts.length === 1 ? parts[0] : Buffer.concat(parts);
    },
    clear() {
      parts = [];
      block = undefined;
      blockBytes = 0;
    },
  };
}

/** Whether what a piece keeps is small, whatever it has of it. */
function isSmall({ buffer }: Buffer): boolean {
  return buffer.byteLength <= 2 * MIN_KEPT_BYTES;
}

/** Whether keeping a piece takes little more memory than its bytes. */
function isCompact({ length, buffer }: Buffer): boolean {
  return length >= MIN_KEPT_BYTES && 2 * length >= buffer.byteLength;
}
