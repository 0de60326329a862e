/**
 * Members of a fleet to measure with.
 *
 * @module
 */
import type { Member } from "../../src/membership/types.ts";

/** @returns One of many members, spread over failure domains. */
export function makeMember(index: number): Member {
  const domain = index % 87;
  return {
    id: `vm-${index}/entry`,
    vmId: `vm-${index}`,
    role: "entry",
    failureDomain: `domain-${domain}`,
    region: `region-${domain % 30}`,
    incarnation: 1_700_000_000_000 + index,
    state: "serving",
  };
}
