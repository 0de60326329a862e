/**
 * Maps failure domains to regions. Pure.
 *
 * @module
 */
import type { DomainName, FleetDocument, RegionName } from "./schema.ts";

/**
 * @param fleet The fleet's document, or an object with its regions alone.
 * @returns Region name of each failure domain.
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
