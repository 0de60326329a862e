/**
 * Seeded random numbers, passed as a dependency to all code that needs them.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** @returns A number in [0, 1). */
export type Random = () => number;

/** Numbers to skip: the first ones are similar for all small seeds. */
const SKIPPED_NUMBERS = 32;

/**
 * @param seed Any integer; the same seed gives the same sequence.
 * @returns The generator.
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let count = 0; count < SKIPPED_NUMBERS; count++) generator.next();
  return () => uniformFloat64(generator);
}

/**
 * @param random The random source.
 * @param mean Mean of the distribution, in any unit.
 * @returns A sample of the exponential distribution, in the unit of the mean.
 */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/**
 * @param random The random source.
 * @param items Items to choose from; not empty.
 * @returns A uniformly chosen item.
 */
export function pick<T>(random: Random, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)];
}
