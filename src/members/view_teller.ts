/**
 * What a hub tells of the VMs that it knows: all of them to a new link, then
 * changes.
 *
 * @module
 */
import type { FleetView, ViewScope, VmIdentity, VmState } from "./types.ts";

/** A VM as a hub tells of it. */
export interface ToldVm {
  identity: VmIdentity;
  state: VmState;
}

/** Tells of VMs. */
export interface ViewTeller {
  /**
   * @param vms The VMs that are up.
   * @param demandPerS Demand of their clients.
   * @returns What changed since the last call.
   */
  update(
    vms: readonly ToldVm[],
    demandPerS: FleetView["demandPerS"],
  ): FleetView;
  /** @returns All that was told so far, for a new link. */
  tellAll(): FleetView;
}

/** Views of both scopes on one link are told apart by their revisions. */
const FIRST_REVISION: Record<ViewScope, number> = {
  linked: 1,
  fleet: 1_000_000_000,
};

/**
 * @param scope Which VMs it tells of.
 * @returns A teller that told of nobody.
 */
export function createViewTeller(scope: ViewScope): ViewTeller {
  let told = new Map<string, ToldVm>();
  let toldDemandPerS: FleetView["demandPerS"] = {};
  let revision = FIRST_REVISION[scope];

  function isTold({ identity, state }: ToldVm): boolean {
    const before = told.get(identity.id);
    return before?.state === state &&
      before.identity.incarnation === identity.incarnation;
  }

  return {
    update(vms, demandPerS) {
      const next = new Map(vms.map((vm) => [vm.identity.id, vm]));
      const up = vms.filter((vm) => !isTold(vm));
      const gone = [...told.keys()].filter((id) => !next.has(id));
      const base = revision;
      if (up.length + gone.length > 0) revision++;
      told = next;
      toldDemandPerS = demandPerS;
      return { scope, base, revision, up, gone, demandPerS };
    },
    tellAll: () => ({
      scope,
      base: 0,
      revision,
      up: [...told.values()],
      gone: [],
      demandPerS: toldDemandPerS,
    }),
  };
}
