/**
 * Generates members of a fleet for the benchmarks.
 *
 * @module
 */
import type { Member } from "../../src/membership/types.ts";

/**
 * @param index Number of the member.
 * @returns A member; members are spread over 87 failure domains.
 */
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
