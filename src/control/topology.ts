/**
 * Which processes a process keeps links to: a mesh inside a failure domain, a
 * bounded number of steers in each other one.
 *
 * @module
 */
import type { EntryVm, FleetDocument } from "../config/schema.ts";
import type { Role } from "../membership/types.ts";
import { rankByRendezvous } from "../runtime/hash.ts";

/**
 * Steers of a failure domain that keep links to those of the others: one that
 * passes news on, and one that takes over from it.
 */
export const RELAYS_PER_DOMAIN = 2;

/** Who asks. */
export interface LocalProcess {
  vmId: string;
  role: Role;
  failureDomain: string;
}

/**
 * @param fleet The fleet's document.
 * @param self Who asks.
 * @returns Peer addresses to dial.
 */
export function listPeerAddresses(
  fleet: FleetDocument,
  self: LocalProcess,
): string[] {
  const own = fleet.entryVms.filter((vm) =>
    vm.failureDomain === self.failureDomain
  );
  if (self.role === "entry") return own.map((vm) => vm.steer.peer);
  const mesh = own.filter((vm) => vm.id > self.vmId);
  const isRelay = listRelays(fleet, self.failureDomain)
    .some((vm) => vm.id === self.vmId);
  const remote = isRelay ? listRemoteRelays(fleet, self) : [];
  return [...mesh, ...remote].map((vm) => vm.steer.peer);
}

/**
 * @param fleet The fleet's document.
 * @param failureDomain A failure domain.
 * @returns Its VMs whose steers are relays, the first to pass news on first.
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

/** Of two domains, the one whose name is lower dials: no pair links twice. */
function listRemoteRelays(
  fleet: FleetDocument,
  self: LocalProcess,
): EntryVm[] {
  const domains = new Set(fleet.entryVms.map((vm) => vm.failureDomain));
  return [...domains]
    .filter((domain) => domain > self.failureDomain)
    .flatMap((domain) => listRelays(fleet, domain));
}
