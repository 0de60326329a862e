/**
 * The weights that a process moves towards while no plans are made: the share
 * of lost regions goes to the live region nearest to the callers. Pure
 * functions.
 *
 * @module
 */
import { sumByRegion } from "./shift.ts";
import type { RegionOf, WeightRow, Weights } from "./types.ts";

/** Input of a local target. */
export interface LocalTargetInput {
  /** Weights of the newest plan known, else those in force. */
  weights: Weights;
  /** Regions with an entry that this process considers alive. */
  aliveRegions: ReadonlySet<string>;
  regionOf: RegionOf;
  /** @returns One-way delay between two regions, in ms. */
  delayMs(from: string, to: string): number;
}

/**
 * Computes the local target.
 *
 * @param input The planned weights and the local view of live regions.
 * @returns The target weights; a row stays as it is where no region is alive.
 */
export function makeLocalTarget(input: LocalTargetInput): Weights {
  return Object.fromEntries(
    Object.entries(input.weights).map(([region, row]) => [
      region,
      reassignLostRegions(input, region, row),
    ]),
  );
}

function reassignLostRegions(
  { aliveRegions, regionOf, delayMs }: LocalTargetInput,
  callerRegion: string,
  row: WeightRow,
): WeightRow {
  const sums = sumByRegion(row, regionOf);
  const lostWeight = Object.entries(sums)
    .filter(([region]) => !aliveRegions.has(region))
    .reduce((sum, [, weight]) => sum + weight, 0);
  const regionsByDelay = [...aliveRegions].sort((a, b) =>
    delayMs(callerRegion, a) - delayMs(callerRegion, b) || a.localeCompare(b)
  );
  if (lostWeight === 0 || regionsByDelay.length === 0) return row;
  const substituteRegion = regionsByDelay[0];
  const remainingWeights = Object.entries(row).filter(([domain]) =>
    aliveRegions.has(regionOf.get(domain) ?? "")
  );
  const substituteDomains = [...regionOf].filter(([, region]) =>
    region === substituteRegion
  )
    .map(([domain]) => domain);
  const target = new Map(remainingWeights);
  for (const domain of substituteDomains) {
    target.set(
      domain,
      (target.get(domain) ?? 0) + lostWeight / substituteDomains.length,
    );
  }
  return Object.fromEntries(target);
}
