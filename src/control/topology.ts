/**
 * Which processes a process keeps links to: a mesh inside a failure domain, a
 * bounded number of steers in each other one.
 *
 * @module
 */
import type { EntryVm, FleetDocument } from "../config/schema.ts";
import type { Role } from "../membership/types.ts";
import { rankByRendezvous } from "../runtime/hash.ts";

/** Steers of each other failure domain that a relay keeps links to. */
export const LINKS_PER_DOMAIN = 2;
/** Steers of a failure domain that keep links to other failure domains. */
export const RELAYS_PER_DOMAIN = 3;

/** Who asks. */
export interface TopologySelf {
  vmId: string;
  role: Role;
  failureDomain: string;
}

/**
 * @param fleet The fleet's document.
 * @param self Who asks.
 * @returns Peer addresses to dial.
 */
export function chooseLinks(
  fleet: FleetDocument,
  self: TopologySelf,
): string[] {
  const own = fleet.entryVms.filter((vm) =>
    vm.failureDomain === self.failureDomain
  );
  if (self.role === "entry") return own.map((vm) => vm.steer.peer);
  const mesh = own.filter((vm) => vm.id > self.vmId);
  const remote = isRelay(own, self) ? chooseRemote(fleet, self) : [];
  return [...mesh, ...remote].map((vm) => vm.steer.peer);
}

function isRelay(own: readonly EntryVm[], self: TopologySelf): boolean {
  return rank(`relay ${self.failureDomain}`, own)
    .slice(0, RELAYS_PER_DOMAIN)
    .some((vm) => vm.id === self.vmId);
}

/** Of two domains, the one whose name is lower dials: no pair links twice. */
function chooseRemote(fleet: FleetDocument, self: TopologySelf): EntryVm[] {
  const domains = new Set(fleet.entryVms.map((vm) => vm.failureDomain));
  return [...domains]
    .filter((domain) => domain > self.failureDomain)
    .flatMap((domain) => {
      const vms = fleet.entryVms.filter((vm) => vm.failureDomain === domain);
      return rank(`${self.vmId} ${domain}`, vms).slice(0, LINKS_PER_DOMAIN);
    });
}

function rank(key: string, vms: readonly EntryVm[]): EntryVm[] {
  const candidates = vms.map((vm) => ({ id: vm.id, weight: 1, vm }));
  return rankByRendezvous(key, candidates).map(({ vm }) => vm);
}
