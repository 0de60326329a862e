/**
 * Builds a hub's views of the VMs that it knows: a snapshot for a new link, then
 * incremental changes.
 *
 * @module
 */
import type { FleetView, ViewScope, VmIdentity, VmState } from "./types.ts";

/** A VM in a hub's view. */
export interface ReportedVm {
  identity: VmIdentity;
  state: VmState;
}

/** Builds the views of one scope. */
export interface ViewSender {
  /**
   * Replaces the view.
   *
   * @param vms The VMs that are up.
   * @param demandPerS Demand of their clients, in requests a second.
   * @returns The changes since the last call.
   */
  update(
    vms: readonly ReportedVm[],
    demandPerS: FleetView["demandPerS"],
  ): FleetView;
  /** @returns The view as of the last update, for a new link. */
  makeSnapshot(): FleetView;
}

/** Disjoint ranges keep views of the two scopes apart on one link. */
const INITIAL_REVISION: Record<ViewScope, number> = {
  linked: 1,
  fleet: 1_000_000_000,
};

/**
 * Creates a view sender.
 *
 * @param scope The VMs that its views cover.
 * @returns A sender with an empty view.
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
