/**
 * Selects the VM that sends an attempt to a backend server in the place of this
 * one.
 *
 * Load pattern: one VM, most VMs of a failure domain or of the fleet lose their
 * connections to servers at the same time. No VM announces that: one that is
 * asked and can't help declines at once, which is remembered for a moment.
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
   * @param vmId The VM that was asked.
   * @param service Service of the attempt.
   * @param outcome How it responded.
   */
  recordOutcome(vmId: string, service: string, outcome: ProxyOutcome): void;
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

/**
 * @param options Dependencies.
 * @returns A selection that no VM has declined.
 */
export function createProxySelection(
  { clock, self, listServing }: ProxySelectionOptions,
): ProxySelection {
  /** Until when a VM is not asked, for one service or for all. */
  const avoidedUntilMs = new Map<string, number>();
  const rankings = new Map<string, { atMs: number; vms: VmIdentity[] }>();
  let turn = 0;

  function makeKey(vmId: string, service: string): string {
    return JSON.stringify([vmId, service]);
  }

  function isAvoided(vmId: string, service: string): boolean {
    const nowMs = clock.monotonicMs();
    return (avoidedUntilMs.get(vmId) ?? 0) > nowMs ||
      (avoidedUntilMs.get(makeKey(vmId, service)) ?? 0) > nowMs;
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

  function dropExpired(): void {
    const nowMs = clock.monotonicMs();
    for (const [key, untilMs] of avoidedUntilMs) {
      if (untilMs <= nowMs) avoidedUntilMs.delete(key);
    }
  }

  return {
    choose(service, regions) {
      const vms: VmIdentity[] = [];
      for (const vm of getRanking(regions)) {
        if (!isAvoided(vm.id, service)) vms.push(vm);
        if (vms.length >= MAX_PROXIES) break;
      }
      return vms.length === 0 ? undefined : vms[turn++ % vms.length];
    },
    recordOutcome(vmId, service, outcome) {
      if (outcome === "helped") return;
      dropExpired();
      const nowMs = clock.monotonicMs();
      if (outcome === "declined") {
        avoidedUntilMs.set(makeKey(vmId, service), nowMs + DECLINED_MS);
      } else avoidedUntilMs.set(vmId, nowMs + UNREACHABLE_MS);
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
