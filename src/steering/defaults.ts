/**
 * Weights from the documents alone: what every process acts on before any plan,
 * and so what the first plan must be, or it would move traffic uncounted. Pure.
 *
 * @module
 */
import type { FleetDocument, ServiceDocument } from "../config/schema.ts";
import { assign } from "./assign.ts";
import { estimate } from "./estimate.ts";
import type { RegionOf, Weights } from "./types.ts";

/** What the weights depend on besides the service's document. */
export interface DefaultWeightsContext {
  fleet: FleetDocument;
  regionOf: RegionOf;
  /** Wall-clock time, in ms since the epoch; decides which drains are on. */
  wallMs: number;
}

/**
 * @param document The service's document.
 * @param context See there.
 * @returns Weights by declared demand and capacity.
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
