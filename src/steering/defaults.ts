/**
 * Default weights, computed from the documents alone. Every process uses them
 * until the first plan, so the first plan must equal them: otherwise it would
 * move traffic without counting it against the shift cap. Pure functions.
 *
 * @module
 */
import type { FleetDocument, ServiceDocument } from "../config/schema.ts";
import { assign } from "./assign.ts";
import { estimate } from "./estimate.ts";
import type { RegionOf, Weights } from "./types.ts";

/** What default weights depend on besides the service's document. */
export interface DefaultWeightsContext {
  fleet: FleetDocument;
  regionOf: RegionOf;
  /**
   * Wall-clock time, in ms since the Unix epoch; selects the drains in force.
   */
  wallMs: number;
}

/**
 * Computes a service's default weights.
 *
 * @param document The service's document.
 * @param context The fleet and the time.
 * @returns Weights from the declared demand and capacity.
 */
export function makeDefaultWeights(
  document: ServiceDocument,
  { fleet, regionOf, wallMs }: DefaultWeightsContext,
): Weights {
  const declared = estimate({
    document,
    fleet,
    regionOf,
    loads: new Map(),
    aliveDomains: new Set(regionOf.keys()),
    leavingServers: new Set(),
    serviceCount: 1,
    nowMs: 0,
    wallMs,
  });
  return assign(declared.input);
}
