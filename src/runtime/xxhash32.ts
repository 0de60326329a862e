/**
 * xxHash32 of short texts in plain TypeScript. A WebAssembly library would load
 * asynchronously, and a top-level await rules out the CommonJS bundle whose
 * compiled code is cached.
 *
 * Source: xxHash fast digest algorithm, specification 0.1.1, section XXH32.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const PRIME_1 = 0x9e37_79b1;
const PRIME_2 = 0x85eb_ca77;
const PRIME_3 = 0xc2b2_ae3d;
const PRIME_4 = 0x27d4_eb2f;
const PRIME_5 = 0x1656_67b1;
const STRIPE_BYTES = 16;
const LANE_BYTES = 4;

/** Largest number of UTF-8 bytes per UTF-16 code unit. */
const MAX_CODE_UNIT_BYTES = 3;

/**
 * Buffer for an encoded text, with a view of it as 32-bit lanes. The hash is
 * defined on little-endian lanes, which requires a little-endian processor.
 */
interface TextBuffer {
  bytes: Buffer;
  lanes: Int32Array;
}

/** Buffer reused for most texts; longer ones get their own. */
const sharedBuffer = createTextBuffer(1_024);

function createTextBuffer(sizeBytes: number): TextBuffer {
  const lanes = new Int32Array(Math.ceil(sizeBytes / LANE_BYTES));
  return { lanes, bytes: Buffer.from(lanes.buffer) };
}

/**
 * @param text The text, which is hashed as UTF-8.
 * @param seed Seed of the hash, an integer.
 * @returns The hash, an unsigned 32-bit integer.
 */
export function xxHash32(text: string, seed = 0): number {
  const maxBytes = text.length * MAX_CODE_UNIT_BYTES;
  const buffer = maxBytes > sharedBuffer.bytes.length
    ? createTextBuffer(maxBytes)
    : sharedBuffer;
  return hashBytes(buffer, buffer.bytes.write(text), seed);
}

function hashBytes(
  { bytes, lanes }: TextBuffer,
  lengthBytes: number,
  seed: number,
) {
  let offset = 0;
  let hash = seed + PRIME_5 | 0;
  if (lengthBytes >= STRIPE_BYTES) {
    let lane1 = seed + PRIME_1 + PRIME_2 | 0;
    let lane2 = seed + PRIME_2 | 0;
    let lane3 = seed | 0;
    let lane4 = seed - PRIME_1 | 0;
    for (; offset <= lengthBytes - STRIPE_BYTES; offset += STRIPE_BYTES) {
      lane1 = mixLane(lane1, lanes[offset / LANE_BYTES]);
      lane2 = mixLane(lane2, lanes[offset / LANE_BYTES + 1]);
      lane3 = mixLane(lane3, lanes[offset / LANE_BYTES + 2]);
      lane4 = mixLane(lane4, lanes[offset / LANE_BYTES + 3]);
    }
    hash = rotate(lane1, 1) + rotate(lane2, 7) + rotate(lane3, 12) +
        rotate(lane4, 18) | 0;
  }
  hash = hash + lengthBytes | 0;
  for (; offset <= lengthBytes - LANE_BYTES; offset += LANE_BYTES) {
    hash = hash + Math.imul(lanes[offset / LANE_BYTES], PRIME_3) | 0;
    hash = Math.imul(rotate(hash, 17), PRIME_4);
  }
  for (; offset < lengthBytes; offset++) {
    hash = hash + Math.imul(bytes[offset], PRIME_5) | 0;
    hash = Math.imul(rotate(hash, 11), PRIME_1);
  }
  return avalanche(hash);
}

function mixLane(lane: number, input: number): number {
  const added = lane + Math.imul(input, PRIME_2) | 0;
  return Math.imul(rotate(added, 13), PRIME_1);
}

function rotate(value: number, bits: number): number {
  return value << bits | value >>> (32 - bits);
}

function avalanche(value: number): number {
  let hash = Math.imul(value ^ value >>> 15, PRIME_2);
  hash = Math.imul(hash ^ hash >>> 13, PRIME_3);
  return (hash ^ hash >>> 16) >>> 0;
}
