/**
 * Roles of VMs derived from the membership table: which ones serve clients, and
 * which ones read the platform.
 *
 * @module
 */
import type { Topology } from "./hubs.ts";
import type { MemberTable } from "./table.ts";
import type { VmIdentity } from "./types.ts";

/** Roles of VMs. This VM always counts as serving. */
export interface VmViews {
  /** @returns The number of VMs that serve clients. */
  countServing(): number;
  /**
   * @param region A region.
   * @returns The ids of the VMs that serve clients in it.
   */
  listServingIds(region: string): string[];
  /**
   * @param topology The link topology.
   * @returns Whether this VM reads the platform: in a full mesh for its region,
   *   with hubs for all regions. The other hubs take over when it is late.
   */
  isReader(topology: Topology): boolean;
}

/**
 * Readers of the platform in each region of a full mesh. Readers of the other
 * regions cover the time until the loss of one is detected. A second reader in
 * each region doubled the calls and the updates that every VM has to process.
 */
const READERS_PER_REGION = 1;

/**
 * Creates the roles.
 *
 * @param self This VM.
 * @param table The membership table.
 * @returns Roles that follow the table.
 */
export function createVmViews(self: VmIdentity, table: MemberTable): VmViews {
  function listServing(): VmIdentity[] {
    return [self, ...table.listServing()];
  }

  return {
    countServing: () => 1 + table.listServing().length,
    listServingIds: (region) =>
      listServing()
        .filter((identity) => identity.region === region)
        .map((identity) => identity.id),
    isReader({ isFullMesh, hubs }) {
      if (!isFullMesh) {
        const [first] = [...hubs.keys()].sort();
        return hubs.get(first)?.[0].id === self.id;
      }
      const before = table.listAlive().filter(({ identity }) =>
        identity.region === self.region && identity.id < self.id
      );
      return before.length < READERS_PER_REGION;
    },
  };
}
