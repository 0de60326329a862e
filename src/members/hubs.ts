/**
 * Which VMs link to which.
 *
 * A small fleet links all to all. In a large one, each region has two hubs:
 * VMs link to the hubs of their region, and hubs to each other. All to all, 195
 * VMs sent 47,000 reports a second, which took more processor time and more
 * bytes between regions than the requests.
 *
 * @module
 */
import { hashToUnit } from "../runtime/hash.ts";
import type { VmIdentity } from "./types.ts";

/** VMs up to which all link to all: 552 reports in 0.8 s. */
export const MAX_FULL_MESH_VMS = 24;
/** The second covers for the first until the loss of that one is noticed. */
const HUBS_PER_REGION = 2;

/** Who links to whom, as one VM sees it. */
export interface Topology {
  /** Whether all VMs link to all. */
  isFullMesh: boolean;
  /** The hubs of each region, best first. */
  hubs: ReadonlyMap<string, readonly VmIdentity[]>;
}

/**
 * @param vms All VMs that may be up, the own one included.
 * @param isFullMesh Whether all link to all, unless by how many they are.
 * @returns Who links to whom.
 */
export function buildTopology(
  vms: readonly VmIdentity[],
  isFullMesh = vms.length <= MAX_FULL_MESH_VMS,
): Topology {
  const byRegion = new Map<string, VmIdentity[]>();
  for (const vm of vms) {
    byRegion.set(vm.region, [...byRegion.get(vm.region) ?? [], vm]);
  }
  const hubs = [...byRegion].map(([region, all]): [string, VmIdentity[]] => [
    region,
    isFullMesh ? rankHubs(all) : selectHubs(rankHubs(all)),
  ]);
  return { isFullMesh, hubs: new Map(hubs) };
}

/** VMs with more processor time first: a hub handles two messages a VM. */
function rankHubs(vms: readonly VmIdentity[]): VmIdentity[] {
  const ranked = vms.map((vm) => ({ vm, rank: hashToUnit(vm.id) }));
  ranked.sort((a, b) => b.vm.cores - a.vm.cores || a.rank - b.rank);
  return ranked.map(({ vm }) => vm);
}

/** The hubs of a region stand in different failure domains where they can. */
function selectHubs(ranked: readonly VmIdentity[]): VmIdentity[] {
  const domains = new Set<string>();
  const apart: VmIdentity[] = [];
  for (const vm of ranked) {
    if (domains.has(vm.failureDomain)) continue;
    domains.add(vm.failureDomain);
    apart.push(vm);
  }
  const rest = ranked.filter((vm) => !apart.includes(vm));
  return [...apart, ...rest].slice(0, HUBS_PER_REGION);
}

/**
 * @param topology Who links to whom.
 * @param vm A VM.
 * @returns Whether it is one of its region's hubs.
 */
export function isHub({ hubs }: Topology, vm: VmIdentity): boolean {
  return (hubs.get(vm.region) ?? []).some(({ id }) => id === vm.id);
}

/**
 * @param topology Who links to whom.
 * @param region A region.
 * @returns The VM that sums up for the region: its first hub, which all VMs of
 *   the region and the other hubs link to.
 */
export function findRelayId(
  { hubs }: Topology,
  region: string,
): string | undefined {
  return hubs.get(region)?.[0]?.id;
}

/**
 * @param topology Who links to whom.
 * @param vm A VM.
 * @returns Whether what it hears comes by way of a hub.
 */
export function isBehindHub(topology: Topology, vm: VmIdentity): boolean {
  return !topology.isFullMesh && !isHub(topology, vm);
}

/**
 * @param topology Who links to whom.
 * @param self A VM.
 * @param actsAsHub Whether others took it for a hub, whatever the topology says.
 * @returns The VMs that it keeps links to.
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
