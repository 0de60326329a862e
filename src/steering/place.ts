/**
 * Selects the region and failure domain of a request from the weights in force.
 * Pure functions: processes with the same weights make the same choice.
 *
 * @module
 */
import { rankByRendezvous } from "../runtime/hash.ts";
import { sumByRegion } from "./shift.ts";
import type { RegionOf, WeightRow } from "./types.ts";

/** A request to be placed, with the weights in force. */
export interface PlacementRequest {
  service: string;
  /** The client's block. */
  block: string;
  /** Weights for the callers' region. */
  row: WeightRow;
  regionOf: RegionOf;
}

/**
 * Picks the region of a request. It depends only on the service, the client's
 * block and the weights of the regions, so traffic changes region only when
 * these weights change.
 *
 * @param request The request to place.
 * @returns The region, or undefined where the row is empty.
 */
export function pickRegion(request: PlacementRequest): string | undefined {
  const { service, block, row, regionOf } = request;
  const regions = Object.entries(sumByRegion(row, regionOf))
    .map(([id, weight]) => ({ id, weight }));
  return rankByRendezvous(`region ${service} ${block}`, regions)[0]?.id;
}

/**
 * Ranks the failure domains of a region for a request.
 *
 * @param request The request to place.
 * @param usable Failure domains of the region that accept requests now.
 * @returns The usable failure domains, best first. Those without weight get a
 * negligible one, so that they remain a last resort.
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
