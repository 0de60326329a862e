/**
 * What a hub tells of the VMs that it knows: all of them to a new link, then
 * changes.
 *
 * @module
 */
import type { FleetView, ViewScope, VmIdentity, VmState } from "./types.ts";

/** A VM as a hub tells of it. */
export interface ReportedVm {
  identity: VmIdentity;
  state: VmState;
}

/** Tells of VMs. */
export interface ViewSender {
  /**
   * @param vms The VMs that are up.
   * @param demandPerS Demand of their clients.
   * @returns What changed since the last call.
   */
  update(
    vms: readonly ReportedVm[],
    demandPerS: FleetView["demandPerS"],
  ): FleetView;
  /** @returns All that was told so far, for a new link. */
  makeSnapshot(): FleetView;
}

/** Views of both scopes on one link are told apart by their revisions. */
const INITIAL_REVISION: Record<ViewScope, number> = {
  linked: 1,
  fleet: 1_000_000_000,
};

/**
 * @param scope Which VMs it tells of.
 * @returns A teller that told of nobody.
 */
export function createViewSender(scope: ViewScope): ViewSender {
  let reported = new Map<string, ReportedVm>();
  let reportedDemandPerS: FleetView["demandPerS"] = {};
  let revision = INITIAL_REVISION[scope];

  function isReported({ identity, state }: ReportedVm): boolean {
    const before = reported.get(identity.id);
    return before?.state === state &&
      before.identity.incarnation === identity.incarnation;
  }

  return {
    update(vms, demandPerS) {
      const next = new Map(vms.map((vm) => [vm.identity.id, vm]));
      const up = vms.filter((vm) => !isReported(vm));
      const gone = [...reported.keys()].filter((id) => !next.has(id));
      const base = revision;
      if (up.length + gone.length > 0) revision++;
      reported = next;
      reportedDemandPerS = demandPerS;
      return { scope, base, revision, up, gone, demandPerS };
    },
    makeSnapshot: () => ({
      scope,
      base: 0,
      revision,
      up: [...reported.values()],
      gone: [],
      demandPerS: reportedDemandPerS,
    }),
  };
}
