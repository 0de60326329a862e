/**
 * Which region a failure domain belongs to. Pure.
 *
 * @module
 */
import type { DomainName, FleetDocument, RegionName } from "./schema.ts";

/**
 * @param fleet The fleet's document, or its regions alone.
 * @returns The region of each failure domain.
 */
export function mapRegions(
  { regions }: Pick<FleetDocument, "regions">,
): Map<DomainName, RegionName> {
  return new Map(
    regions.flatMap(({ name, failureDomains }) =>
      failureDomains.map((domain) => [domain, name] as const)
    ),
  );
}
