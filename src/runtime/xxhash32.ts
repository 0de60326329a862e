/**
 * xxHash32 of short texts. Written out, since the WebAssembly of a library is
 * only there after a wait, and a program that waits while it loads can't be
 * kept compiled.
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

/** Bytes that a character takes at the most. */
const MAX_CHARACTER_BYTES = 3;

/** Room for a text, read in lanes; these are little-endian, as processors are. */
interface Room {
  bytes: Buffer;
  lanes: Int32Array;
}

/** Most texts are encoded here; longer ones get a room of their own. */
const scratch = makeRoom(1_024);

function makeRoom(sizeBytes: number): Room {
  const lanes = new Int32Array(Math.ceil(sizeBytes / LANE_BYTES));
  return { lanes, bytes: Buffer.from(lanes.buffer) };
}

/**
 * @param text What to hash, as UTF-8.
 * @param seed Separates uses from each other.
 * @returns A whole number of 32 bits, not negative.
 */
export function xxHash32(text: string, seed = 0): number {
  const mostBytes = text.length * MAX_CHARACTER_BYTES;
  const room = mostBytes > scratch.bytes.length ? makeRoom(mostBytes) : scratch;
  return hashBytes(room, room.bytes.write(text), seed);
}

function hashBytes({ bytes, lanes }: Room, length: number, seed: number) {
  let at = 0;
  let hash = seed + PRIME_5 | 0;
  if (length >= STRIPE_BYTES) {
    let lane1 = seed + PRIME_1 + PRIME_2 | 0;
    let lane2 = seed + PRIME_2 | 0;
    let lane3 = seed | 0;
    let lane4 = seed - PRIME_1 | 0;
    for (; at <= length - STRIPE_BYTES; at += STRIPE_BYTES) {
      lane1 = mixLane(lane1, lanes[at / LANE_BYTES]);
      lane2 = mixLane(lane2, lanes[at / LANE_BYTES + 1]);
      lane3 = mixLane(lane3, lanes[at / LANE_BYTES + 2]);
      lane4 = mixLane(lane4, lanes[at / LANE_BYTES + 3]);
    }
    hash = rotate(lane1, 1) + rotate(lane2, 7) + rotate(lane3, 12) +
        rotate(lane4, 18) | 0;
  }
  hash = hash + length | 0;
  for (; at <= length - LANE_BYTES; at += LANE_BYTES) {
    hash = hash + Math.imul(lanes[at / LANE_BYTES], PRIME_3) | 0;
    hash = Math.imul(rotate(hash, 17), PRIME_4);
  }
  for (; at < length; at++) {
    hash = hash + Math.imul(bytes[at], PRIME_5) | 0;
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
