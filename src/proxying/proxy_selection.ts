/**
 * Selects the VM that sends an attempt to a backend server in the place of this
 * one.
 *
 * Load pattern: one VM, most VMs of a failure domain or of the fleet lose their
 * connections to servers at the same time. No VM announces that: one that is
 * asked and can't help declines at once, which is remembered for a moment. The
 * others of its failure domain are asked after those of other domains.
 *
 * @module
 */
import type { VmIdentity } from "../members/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { rankByRendezvous } from "../runtime/hash.ts";

/** How a VM responded when it was asked to proxy. */
export type ProxyOutcome =
  | "helped"
  /** It can't reach the service either, or is busy. */
  | "declined"
  /** It didn't respond. */
  | "unreachable";

/** Selects proxying VMs. */
export interface ProxySelection {
  /**
   * @param service Service of the attempt.
   * @param regions Regions to which the request may be sent; empty for all.
   * @returns The VM to ask; undefined if none is left.
   */
  choose(
    service: string,
    regions: readonly string[],
  ): VmIdentity | undefined;
  /**
   * @param vm The VM that was asked.
   * @param service Service of the attempt.
   * @param outcome How it responded.
   */
  recordOutcome(vm: VmIdentity, service: string, outcome: ProxyOutcome): void;
}

/** Dependencies of `createProxySelection`. */
export interface ProxySelectionOptions {
  clock: Clock;
  self: VmIdentity;
  /** @returns Other VMs that serve clients. */
  listServing: () => readonly VmIdentity[];
}

/**
 * VMs among which attempts are spread: each gets at most an eighth of what this
 * VM serves, and this VM keeps few connections.
 */
const MAX_PROXIES = 8;
const DECLINED_MS = 1_000;
const UNREACHABLE_MS = 2_000;
/** How long a ranking is used, which takes 1 ms for 2,600 VMs. */
const RANKING_LIFE_MS = 500;

/** Ends of periods, on the monotonic clock, by what they apply to. */
type Expiries = Map<string, number>;

/**
 * @param options Dependencies.
 * @returns A selection that no VM has declined.
 */
export function createProxySelection(
  { clock, self, listServing }: ProxySelectionOptions,
): ProxySelection {
  /** Until when VMs are not asked for any service, by id. */
  const unreachableUntilMs: Expiries = new Map();
  /** Until when VMs are not asked for a service, by id. */
  const declinedUntilMs = new Map<string, Expiries>();
  /** Until when VMs of a failure domain are asked last for a service. */
  const lastResortUntilMs = new Map<string, Expiries>();
  const rankings = new Map<string, { atMs: number; vms: VmIdentity[] }>();
  let turn = 0;

  function isCurrent(expiries: Expiries | undefined, key: string): boolean {
    return (expiries?.get(key) ?? 0) > clock.monotonicMs();
  }

  function addExpiry(
    expiries: Expiries,
    key: string,
    durationMs: number,
  ): void {
    const nowMs = clock.monotonicMs();
    for (const [old, untilMs] of expiries) {
      if (untilMs <= nowMs) expiries.delete(old);
    }
    expiries.set(key, nowMs + durationMs);
  }

  function getExpiries(
    byService: Map<string, Expiries>,
    service: string,
  ): Expiries {
    const expiries = byService.get(service) ?? new Map();
    byService.set(service, expiries);
    return expiries;
  }

  function getRanking(regions: readonly string[]): VmIdentity[] {
    const key = regions.join(" ");
    const nowMs = clock.monotonicMs();
    const known = rankings.get(key);
    if (known !== undefined && nowMs - known.atMs < RANKING_LIFE_MS) {
      return known.vms;
    }
    const vms = rankProxies(self, listServing(), regions);
    rankings.set(key, { atMs: nowMs, vms });
    return vms;
  }

  return {
    choose(service, regions) {
      const declined = declinedUntilMs.get(service);
      const lastResortDomains = lastResortUntilMs.get(service);
      const vms: VmIdentity[] = [];
      const lastResort: VmIdentity[] = [];
      for (const vm of getRanking(regions)) {
        const list = isCurrent(lastResortDomains, vm.failureDomain)
          ? lastResort
          : vms;
        if (list.length >= MAX_PROXIES) continue;
        if (isCurrent(declined, vm.id)) continue;
        if (isCurrent(unreachableUntilMs, vm.id)) continue;
        list.push(vm);
        if (vms.length >= MAX_PROXIES) break;
      }
      const usable = vms.length > 0 ? vms : lastResort;
      return usable.length === 0 ? undefined : usable[turn++ % usable.length];
    },
    recordOutcome({ id, failureDomain }, service, outcome) {
      if (outcome === "helped") return;
      if (outcome === "unreachable") {
        return addExpiry(unreachableUntilMs, id, UNREACHABLE_MS);
      }
      addExpiry(getExpiries(declinedUntilMs, service), id, DECLINED_MS);
      addExpiry(
        getExpiries(lastResortUntilMs, service),
        failureDomain,
        DECLINED_MS,
      );
    },
  };
}

/**
 * Ranks the VMs that may proxy for a VM. Those of its failure domain come last,
 * since they probably lost the same links. Those of its region come first, unless
 * they are fewer than the VMs of its failure domain, which may all need them.
 *
 * @param self The VM that needs a proxy.
 * @param others The other VMs that serve.
 * @param regions Regions to which the request may be sent; empty for all.
 * @returns The VMs, best first; a different order for each `self`.
 */
export function rankProxies(
  self: VmIdentity,
  others: readonly VmIdentity[],
  regions: readonly string[],
): VmIdentity[] {
  const allowed = others.filter(({ region }) =>
    regions.length === 0 || regions.includes(region)
  );
  const isOwnDomain = (vm: VmIdentity) =>
    vm.failureDomain === self.failureDomain;
  const inDomain = allowed.filter(isOwnDomain);
  const inRegion = allowed.filter((vm) =>
    vm.region === self.region && !isOwnDomain(vm)
  );
  const elsewhere = allowed.filter((vm) =>
    vm.region !== self.region && !isOwnDomain(vm)
  );
  const groups = inRegion.length > inDomain.length
    ? [inRegion, elsewhere, inDomain]
    : [[...inRegion, ...elsewhere], inDomain];
  return groups.flatMap((vms) =>
    rankByRendezvous(
      self.id,
      vms.map((vm) => ({ id: vm.id, vm, weight: vm.cores })),
    ).map(({ vm }) => vm)
  );
}
