/**
 * Sums of the demand of VMs' clients.
 *
 * @module
 */
import type { DemandByRegion } from "./types.ts";

/**
 * @param demands Demands.
 * @returns Their sum, by region and service.
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
