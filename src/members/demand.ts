/**
 * Sums client demand over several sources.
 *
 * @module
 */
import type { DemandByRegion } from "./types.ts";

/**
 * Adds up demand.
 *
 * @param demands Request rates, in requests a second, by region and service.
 * @returns The summed rates by region and service, in requests a second.
 */
export function sumDemands(demands: readonly DemandByRegion[]): DemandByRegion {
  const sum: DemandByRegion = {};
  for (const demand of demands) {
    for (const [region, rates] of Object.entries(demand)) {
      sum[region] ??= {};
      for (const [service, ratePerS] of Object.entries(rates)) {
        sum[region][service] = (sum[region][service] ?? 0) + ratePerS;
      }
    }
  }
  return sum;
}
