/**
 * The topology of links between VMs.
 *
 * A small fleet forms a full mesh. In a large one each region has two hubs: VMs
 * link to the hubs of their region, and all hubs link to each other. In a full
 * mesh 195 VMs sent 47,000 reports a second, which took more processor time and
 * more bandwidth between regions than the requests themselves.
 *
 * @module
 */
import { hashToUnit } from "../runtime/hash.ts";
import type { VmIdentity } from "./types.ts";

/** Largest fleet that forms a full mesh: 552 reports every 0.8 s. */
export const MAX_FULL_MESH_VMS = 24;
/** The second hub covers for the first until its loss is detected. */
const HUBS_PER_REGION = 2;

/** The link topology in one VM's local view. */
export interface Topology {
  /** Whether every VM links to every other. */
  isFullMesh: boolean;
  /** The hubs by region, in order of preference. In a full mesh all VMs. */
  hubs: ReadonlyMap<string, readonly VmIdentity[]>;
}

/**
 * Builds the link topology.
 *
 * @param vms All VMs that may be up, including this one.
 * @param isFullMesh Whether to form a full mesh; by default this depends on the
 *   number of VMs.
 * @returns The topology.
 */
export function buildTopology(
  vms: readonly VmIdentity[],
  isFullMesh = vms.length <= MAX_FULL_MESH_VMS,
): Topology {
  const byRegion = new Map<string, VmIdentity[]>();
  for (const vm of vms) {
    const known = byRegion.get(vm.region);
    if (known === undefined) byRegion.set(vm.region, [vm]);
    else known.push(vm);
  }
  const hubs = [...byRegion].map(([region, all]): [string, VmIdentity[]] => [
    region,
    isFullMesh ? rankHubs(all) : selectHubs(all),
  ]);
  return { isFullMesh, hubs: new Map(hubs) };
}

/**
 * Hashes of VMs. The topology is built again with each report, mostly from the
 * same identities.
 */
const rankByVm = new WeakMap<VmIdentity, number>();

function getRank(vm: VmIdentity): number {
  const known = rankByVm.get(vm);
  if (known !== undefined) return known;
  const rank = hashToUnit(vm.id);
  rankByVm.set(vm, rank);
  return rank;
}

/** Ranks VMs with more cores first, since a hub handles two messages per VM. */
function rankHubs(vms: readonly VmIdentity[]): VmIdentity[] {
  return [...vms].sort((a, b) => b.cores - a.cores || getRank(a) - getRank(b));
}

/** Whether a VM comes before another one as a hub of its region. */
function isPreferred(vm: VmIdentity, other: VmIdentity): boolean {
  if (vm.cores !== other.cores) return vm.cores > other.cores;
  return getRank(vm) < getRank(other);
}

/**
 * Selects hubs in different failure domains where possible. It doesn't sort the
 * region, which may have 65 VMs.
 */
function selectHubs(vms: readonly VmIdentity[]): VmIdentity[] {
  const hubs: VmIdentity[] = [];
  while (hubs.length < Math.min(HUBS_PER_REGION, vms.length)) {
    let best: VmIdentity | undefined;
    let bestIsNew = false;
    for (const vm of vms) {
      if (hubs.includes(vm)) continue;
      const isNew = hubs.every((hub) => hub.failureDomain !== vm.failureDomain);
      const isBetter = best === undefined ||
        (isNew === bestIsNew ? isPreferred(vm, best) : isNew);
      if (!isBetter) continue;
      best = vm;
      bestIsNew = isNew;
    }
    hubs.push(best!);
  }
  return hubs;
}

/**
 * Checks whether a VM is a hub.
 *
 * @param topology The link topology.
 * @param vm The VM.
 * @returns Whether it is one of its region's hubs.
 */
export function isHub({ hubs }: Topology, vm: VmIdentity): boolean {
  return (hubs.get(vm.region) ?? []).some(({ id }) => id === vm.id);
}

/**
 * Finds the relay of a region.
 *
 * @param topology The link topology.
 * @param region The region.
 * @returns The id of the VM that aggregates for the region: its first hub, which
 *   all VMs of the region and all other hubs link to; undefined if the region
 *   has no VM.
 */
export function findRelayId(
  { hubs }: Topology,
  region: string,
): string | undefined {
  return hubs.get(region)?.[0]?.id;
}

/**
 * Checks whether a VM receives everything through a hub.
 *
 * @param topology The link topology.
 * @param vm The VM.
 * @returns Whether it is neither a hub nor part of a full mesh.
 */
export function isBehindHub(topology: Topology, vm: VmIdentity): boolean {
  return !topology.isFullMesh && !isHub(topology, vm);
}

/**
 * Lists the VMs that a VM keeps links to.
 *
 * @param topology The link topology.
 * @param self The VM.
 * @param actsAsHub Whether other VMs use it as a hub, whatever the topology says.
 * @returns The VMs to link to.
 */
export function listLinkTargets(
  topology: Topology,
  self: VmIdentity,
  actsAsHub: boolean,
): VmIdentity[] {
  const hubs = [...topology.hubs.values()].flat();
  const linksToAllHubs = actsAsHub || isHub(topology, self);
  return hubs.filter(({ id, region }) =>
    id !== self.id && (linksToAllHubs || region === self.region)
  );
}
