/**
 * Weights wanted by a process while nobody plans: lost regions give their share
 * to the nearest regions that are left. Pure.
 *
 * @module
 */
import { sumByRegion } from "./shift.ts";
import type { RegionOf, WeightRow, Weights } from "./types.ts";

/** What a local target is made from. */
export interface LocalTargetInput {
  /** Weights of the newest plan known. */
  weights: Weights;
  /** Regions with an entry that looks alive from here. */
  aliveRegions: ReadonlySet<string>;
  regionOf: RegionOf;
  delayMs(from: string, to: string): number;
}

/**
 * @param input See there.
 * @returns The weights wanted.
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
