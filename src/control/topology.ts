/**
 * Selects the peers that a process links to: a mesh within a failure domain, and
 * a bounded number of relays in each other one.
 *
 * @module
 */
import type { EntryVm, FleetDocument } from "../config/schema.ts";
import type { Role } from "../membership/types.ts";
import { rankByRendezvous } from "../runtime/hash.ts";

/**
 * Relays per failure domain, which are the steers that link to other domains:
 * an active one and a standby.
 */
export const RELAYS_PER_DOMAIN = 2;

/** Identity and location of the process whose links are selected. */
export interface LocalProcess {
  vmId: string;
  role: Role;
  failureDomain: string;
}

/**
 * Lists the peers that a process dials. Of each pair of processes only one dials.
 *
 * @param fleet The fleet's document.
 * @param self The process.
 * @returns Peer addresses, `host:port`.
 */
export function listPeerAddresses(
  fleet: FleetDocument,
  self: LocalProcess,
): string[] {
  const ownDomainVms = fleet.entryVms.filter((vm) =>
    vm.failureDomain === self.failureDomain
  );
  if (self.role === "entry") return ownDomainVms.map((vm) => vm.steer.peer);
  const mesh = ownDomainVms.filter((vm) => vm.id > self.vmId);
  const isRelay = listRelays(fleet, self.failureDomain)
    .some((vm) => vm.id === self.vmId);
  const remote = isRelay ? listRemoteRelays(fleet, self) : [];
  return [...mesh, ...remote].map((vm) => vm.steer.peer);
}

/**
 * @param fleet The fleet's document.
 * @param failureDomain A failure domain.
 * @returns Its VMs whose steers are relays, in order of preference.
 */
export function listRelays(
  fleet: FleetDocument,
  failureDomain: string,
): EntryVm[] {
  const candidates = fleet.entryVms
    .filter((vm) => vm.failureDomain === failureDomain)
    .map((vm) => ({ id: vm.id, weight: 1, vm }));
  return rankByRendezvous(`relay ${failureDomain}`, candidates)
    .slice(0, RELAYS_PER_DOMAIN)
    .map(({ vm }) => vm);
}

/**
 * Of two domains, the one whose name sorts first dials, so that no pair of
 * relays links twice.
 */
function listRemoteRelays(
  fleet: FleetDocument,
  self: LocalProcess,
): EntryVm[] {
  const domains = new Set(fleet.entryVms.map((vm) => vm.failureDomain));
  return [...domains]
    .filter((domain) => domain > self.failureDomain)
    .flatMap((domain) => listRelays(fleet, domain));
}
