/**
 * Picks the place of a request from the weights in force. Pure, and the same in
 * every process that acts on the same weights.
 *
 * @module
 */
import { rankByRendezvous } from "../runtime/hash.ts";
import { sumByRegion } from "./shift.ts";
import type { RegionOf, WeightRow } from "./types.ts";

/** What a place is picked for. */
export interface PlacementRequest {
  service: string;
  /** The client's block. */
  block: string;
  row: WeightRow;
  regionOf: RegionOf;
}

/**
 * The region depends on the block and the regions' weights alone, so that only
 * a change of weights moves it.
 *
 * @param request What to place.
 * @returns The region, or undefined where the row is empty.
 */
export function pickRegion(request: PlacementRequest): string | undefined {
  const { service, block, row, regionOf } = request;
  const regions = Object.entries(sumByRegion(row, regionOf))
    .map(([id, weight]) => ({ id, weight }));
  return rankByRendezvous(`region ${service} ${block}`, regions)[0]?.id;
}

/**
 * @param request What to place.
 * @param usable Failure domains of the region that can take requests now.
 * @returns Them, best first; those without weight come last.
 */
export function rankDomains(
  request: PlacementRequest,
  usable: readonly string[],
): string[] {
  const { service, block, row } = request;
  const minWeight = 1e-6;
  const domains = usable.map((id) => ({
    id,
    weight: (row[id] ?? 0) + minWeight,
  }));
  return rankByRendezvous(`domain ${service} ${block}`, domains)
    .map(({ id }) => id);
}
