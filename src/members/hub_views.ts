/**
 * Sends views of the fleet to other VMs while this VM acts as a hub.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { sumDemands } from "./demand.ts";
import { findRelayId, isHub, type Topology } from "./hubs.ts";
import type { LinkSet, VmLink } from "./link_set.ts";
import type { Member, MemberTable } from "./table.ts";
import type { DemandByRegion, VmIdentity, VmReport } from "./types.ts";
import { createViewSender, type ReportedVm } from "./view_sender.ts";

/** Dependencies of the hub views. */
export interface HubViewsOptions {
  self: VmIdentity;
  table: MemberTable;
  clock: Clock;
  links: LinkSet;
  makeReport: () => VmReport;
  getTopology: () => Topology;
  /** @returns Whether this VM currently acts as a hub. */
  actsAsHub: () => boolean;
}

/** Sends views of the fleet. */
export interface HubViews {
  /** Sends the changes since the last views, also if there are none. */
  sendChanges(): void;
  /** Sends the changes after a short delay, so that several go in one batch. */
  scheduleChanges(): void;
  /**
   * Sends the whole view to one VM.
   *
   * @param link The link to send it on.
   * @param identity The VM at the other end, which determines the scope.
   */
  sendSnapshot(link: VmLink, identity: VmIdentity): void;
  /**
   * @returns Demand of the clients of all VMs, in requests a second; undefined in
   *   a full mesh, where VMs report to each other directly, or before the first
   *   view of a hub.
   */
  getDemand(): DemandByRegion | undefined;
}

/** Delay that collects changes of VMs into one batch. */
const BATCH_DELAY_MS = 100;

/**
 * Creates the hub views.
 *
 * @param options Their dependencies.
 * @returns Hub views that have sent nothing yet.
 */
export function createHubViews(options: HubViewsOptions): HubViews {
  const { self, table, clock, links, makeReport, actsAsHub } = options;
  /** VMs of this region get the fleet; other hubs get the VMs linked here. */
  const fleetSender = createViewSender("fleet");
  const linkedSender = createViewSender("linked");
  let isScheduled = false;

  function isMember(identity: VmIdentity): boolean {
    return identity.region === self.region &&
      !isHub(options.getTopology(), identity);
  }

  function sendChanges(): void {
    isScheduled = false;
    if (!actsAsHub()) return;
    const own = { identity: self, state: makeReport().state };
    const demandPerS = sumLinkedDemand();
    const linked = linkedSender.update(
      [own, ...listReported(table.listLinked())],
      demandPerS,
    );
    const all = fleetSender.update(
      [own, ...listReported(table.listLinkedToAnyHub())],
      sumDemands([demandPerS, ...table.listDemands("linked")]),
    );
    links.sendWhere({ kind: "view", ...all }, isMember);
    links.sendWhere(
      { kind: "view", ...linked },
      (identity) => !isMember(identity),
    );
  }

  /** Only the first hub of a region sums up, so that no demand counts twice. */
  function sumLinkedDemand(): DemandByRegion {
    const relayId = findRelayId(options.getTopology(), self.region);
    if (relayId !== self.id) return {};
    const reports = table.listLinked()
      .filter(({ identity }) => identity.region === self.region)
      .map(({ report }) => report?.demandPerS ?? {});
    return sumDemands(
      [makeReport().demandPerS, ...reports].map((demandPerS) => ({
        [self.region]: demandPerS,
      })),
    );
  }

  return {
    sendChanges,
    scheduleChanges() {
      if (isScheduled || !actsAsHub()) return;
      isScheduled = true;
      clock.after(BATCH_DELAY_MS, sendChanges);
    },
    sendSnapshot(link, identity) {
      const sender = isMember(identity) ? fleetSender : linkedSender;
      link.send({ kind: "view", ...sender.makeSnapshot() });
    },
    getDemand() {
      const topology = options.getTopology();
      if (topology.isFullMesh) return undefined;
      if (!isHub(topology, self)) return table.listDemands("fleet")[0];
      return sumDemands([sumLinkedDemand(), ...table.listDemands("linked")]);
    },
  };
}

function listReported(members: readonly Member[]): ReportedVm[] {
  return members.flatMap(({ identity, state }) =>
    state === undefined ? [] : [{ identity, state }]
  );
}
