/**
 * What this VM makes of the table of VMs: who serves, who reads the platform.
 *
 * @module
 */
import type { Topology } from "./hubs.ts";
import type { MemberTable } from "./table.ts";
import type { VmIdentity } from "./types.ts";

/** Lists of VMs; this one always counts as running. */
export interface VmViews {
  /** @returns How many VMs serve clients. */
  countServing(): number;
  /**
   * @param region A region.
   * @returns Ids of the VMs that serve clients there.
   */
  listServingIds(region: string): string[];
  /**
   * @param topology Who links to whom.
   * @returns Whether this VM reads the platform for its region; where there
   *   are hubs, for all regions. The other hubs read as soon as it is late.
   */
  isReader(topology: Topology): boolean;
}

/**
 * VMs of a region that read the platform for all others. Readers of the other
 * regions cover the time until the loss of one is noticed; a second reader in
 * each region doubled the calls and the news that every VM takes in.
 */
const READERS_PER_REGION = 1;

/**
 * @param self This VM.
 * @param table The VMs that it knows.
 * @returns Views that follow the table.
 */
export function createVmViews(self: VmIdentity, table: MemberTable): VmViews {
  function listServing(): VmIdentity[] {
    return [self, ...table.listServing()];
  }

  return {
    countServing: () => listServing().length,
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
