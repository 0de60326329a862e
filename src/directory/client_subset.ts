/**
 * Selects the VMs that one client is directed to where VMs differ in size.
 *
 * Load pattern: clients pick one of the listed addresses at random for each new
 * connection. If all VMs of a fleet are listed, one with a quarter of a core
 * receives as many requests as one with five times the capacity, and its event
 * loop is saturated when demand peaks.
 *
 * @module
 */
import type { VmIdentity } from "../members/types.ts";
import { hashToUnit, rankByRendezvous } from "../runtime/hash.ts";

/** VMs that differ in capacity by less than this factor count as equal. */
const MIN_SIZE_RATIO = 1.5;
/** Enough addresses to connect elsewhere when several VMs fail together. */
const MIN_ADDRESSES = 4;
/** A client needs addresses outside a failure domain that is lost. */
const MIN_FAILURE_DOMAINS = 2;

/**
 * Selects a subset of VMs so that over all clients each VM is picked in
 * proportion to its cores. The subset of a client changes only by VMs that join
 * or leave: clients close connections to addresses that a later answer omits.
 *
 * @param vms VMs that serve clients.
 * @param clientKey Identifies the client; the same in each of its look-ups.
 * @returns The VMs for this client; all of them if they are of similar size.
 */
export function selectClientSubset(
  vms: readonly VmIdentity[],
  clientKey: string,
): readonly VmIdentity[] {
  const maxCores = Math.max(...vms.map(({ cores }) => cores));
  const minCores = Math.min(...vms.map(({ cores }) => cores));
  if (vms.length <= MIN_ADDRESSES || maxCores < MIN_SIZE_RATIO * minCores) {
    return vms;
  }
  const selected = new Set(
    vms.filter(({ id, cores }) =>
      hashToUnit(`${clientKey} ${id}`) < cores / maxCores
    ),
  );
  addMissing(selected, vms, clientKey);
  return [...selected];
}

/** Adds VMs in the client's order of preference up to the minimum numbers. */
function addMissing(
  selected: Set<VmIdentity>,
  vms: readonly VmIdentity[],
  clientKey: string,
): void {
  const candidates = vms.map((vm) => ({ id: vm.id, weight: vm.cores, vm }));
  for (const { vm } of rankByRendezvous(clientKey, candidates)) {
    const domains = new Set(
      [...selected].map(({ failureDomain }) => failureDomain),
    );
    const needsDomain = domains.size < MIN_FAILURE_DOMAINS &&
      !domains.has(vm.failureDomain);
    if (selected.size < MIN_ADDRESSES || needsDomain) selected.add(vm);
  }
}
