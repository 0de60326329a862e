/**
 * Selects the VMs that one client is directed to.
 *
 * Load pattern: clients pick one of the listed addresses at random for each new
 * connection. If all VMs of a fleet are listed, one with a quarter of a core
 * receives as many requests as one with five times the capacity, and its event
 * loop is saturated when demand peaks. Uploads of 60 KB that reach a VM in
 * another failure domain also take the links between domains, twice if their
 * server is in the first one.
 *
 * @module
 */
import type { VmIdentity } from "../members/types.ts";
import { hashToUnit, rankByRendezvous } from "../runtime/hash.ts";

/** The client that a subset is selected for. */
export interface SubsetClient {
  /** Identifies the client; the same in each of its look-ups. */
  key: string;
  /**
   * Failure domain whose VMs are preferred; undefined where none is, because
   * bodies are small or the client named no domain.
   */
  preferredDomain: string | undefined;
}

/** VMs that differ in capacity by less than this factor count as equal. */
const MIN_SIZE_RATIO = 1.5;
/** Enough addresses to connect elsewhere when two VMs fail together. */
const MIN_ADDRESSES = 3;
/**
 * Power of the cores by which VMs are weighted. More than in proportion to the
 * cores, since a request takes less CPU time at a VM that gets many: 3.7 ms at
 * 60 requests a second, 6.2 ms at 8, where V8 has optimized little and most
 * connections to servers have been closed again.
 */
const CORES_EXPONENT = 2;
/** A client needs addresses outside a failure domain that is lost. */
const MIN_FAILURE_DOMAINS = 2;
/**
 * Weight of VMs outside the preferred domain. They are only a fallback, of which
 * each client gets at least one.
 */
const OTHER_DOMAIN_WEIGHT = 0.05;

/**
 * Selects a subset of VMs so that over all clients each VM is picked in
 * proportion to the square of its cores, within the preferred failure domain if
 * there is one. The subset of a client changes only by VMs that join or leave:
 * clients close connections to addresses that a later answer omits.
 *
 * @param vms VMs that serve clients.
 * @param client The client.
 * @returns The VMs for this client; all of them if they are of similar size and
 *   none is preferred.
 */
export function selectClientSubset(
  vms: readonly VmIdentity[],
  client: SubsetClient,
): readonly VmIdentity[] {
  const domain = findPreferredDomain(vms, client);
  const candidates = vms.map((vm) => ({
    id: vm.id,
    vm,
    weight: vm.cores ** CORES_EXPONENT *
      (domain === undefined || vm.failureDomain === domain
        ? 1
        : OTHER_DOMAIN_WEIGHT),
  }));
  const maxWeight = Math.max(...candidates.map(({ weight }) => weight));
  const cores = vms.map((vm) => vm.cores);
  const areSimilar = Math.max(...cores) < MIN_SIZE_RATIO * Math.min(...cores);
  if (vms.length <= MIN_ADDRESSES || areSimilar && domain === undefined) {
    return vms;
  }
  const selected = new Set(
    candidates
      .filter(({ id, weight }) =>
        hashToUnit(`${client.key} ${id}`) < weight / maxWeight
      )
      .map(({ vm }) => vm),
  );
  addMissing(selected, rankByRendezvous(client.key, candidates));
  return [...selected];
}

/** Returns the preferred domain if it has enough VMs to serve its clients. */
function findPreferredDomain(
  vms: readonly VmIdentity[],
  { preferredDomain }: SubsetClient,
): string | undefined {
  const inDomain = vms.filter((vm) => vm.failureDomain === preferredDomain);
  return inDomain.length >= MIN_ADDRESSES ? preferredDomain : undefined;
}

/** Adds VMs in the client's order of preference up to the minimum numbers. */
function addMissing(
  selected: Set<VmIdentity>,
  ranked: readonly { vm: VmIdentity }[],
): void {
  const domains = new Set<string>();
  for (const { failureDomain } of selected) domains.add(failureDomain);
  for (const { vm } of ranked) {
    const hasDomains = domains.size >= MIN_FAILURE_DOMAINS;
    const hasAddresses = selected.size >= MIN_ADDRESSES;
    if (hasDomains && hasAddresses) return;
    const needsDomain = !hasDomains && !domains.has(vm.failureDomain);
    if (hasAddresses && !needsDomain) continue;
    selected.add(vm);
    domains.add(vm.failureDomain);
  }
}

/**
 * Limits a client's VMs to the number of addresses that it accepts. Each client
 * loses other ones, and keeps two failure domains.
 *
 * @param vms The client's VMs.
 * @param key Identifies the client; the same in each of its look-ups.
 * @param maxCount Most VMs to return.
 * @returns The limited VMs.
 */
export function limitSubset(
  vms: readonly VmIdentity[],
  key: string,
  maxCount: number,
): readonly VmIdentity[] {
  if (vms.length <= maxCount) return vms;
  const candidates = vms.map((vm) => ({ id: vm.id, vm, weight: 1 }));
  const ranked = rankByRendezvous(key, candidates).map(({ vm }) => vm);
  const [first] = ranked;
  const isOther = (vm: VmIdentity) => vm.failureDomain !== first.failureDomain;
  const limited = ranked.slice(0, maxCount);
  const other = limited.some(isOther) ? undefined : ranked.find(isOther);
  if (other !== undefined) limited[maxCount - 1] = other;
  return limited;
}
