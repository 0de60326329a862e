/**
 * Seeded randomness, passed in wherever a decision is random.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** @returns A number in [0, 1). */
export type Random = () => number;

/** The generator's first numbers are alike for all small seeds. */
const SKIPPED_NUMBERS = 32;

/**
 * @param seed Any integer; the same seed gives the same sequence.
 * @returns The random source.
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let count = 0; count < SKIPPED_NUMBERS; count++) generator.next();
  return () => uniformFloat64(generator);
}

/**
 * @param random The random source.
 * @param mean The mean of the distribution, in any unit.
 * @returns A draw of the exponential distribution.
 */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/**
 * @param random The random source.
 * @param items Items to choose from; not empty.
 * @returns One of them.
 */
export function pick<T>(random: Random, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)];
}
