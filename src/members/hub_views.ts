/**
 * What this VM tells of other VMs while it is a hub.
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

/** What telling needs. */
export interface HubViewsOptions {
  self: VmIdentity;
  table: MemberTable;
  clock: Clock;
  links: LinkSet;
  makeReport: () => VmReport;
  getTopology: () => Topology;
  /** Whether this VM is a hub now. */
  actsAsHub: () => boolean;
}

/** Tells of VMs. */
export interface HubViews {
  /** Tells what changed, or that nothing did. */
  sendChanges(): void;
  /** Tells what changed, together with what changes meanwhile. */
  scheduleChanges(): void;
  /** Tells one VM all. */
  sendSnapshot(link: VmLink, identity: VmIdentity): void;
  /**
   * @returns Demand of the clients of all VMs; undefined where VMs tell each
   *   other themselves, or no hub told yet.
   */
  getDemand(): DemandByRegion | undefined;
}

/** Pause in which changes of VMs gather, so that they come in batches. */
const BATCH_DELAY_MS = 100;

/**
 * @param parts What telling needs.
 * @returns Views of which nothing was told.
 */
export function createHubViews(parts: HubViewsOptions): HubViews {
  const { self, table, clock, links, makeReport, actsAsHub } = parts;
  /** For VMs of this region: all VMs. For hubs: those that are linked here. */
  const fleetSender = createViewSender("fleet");
  const linkedSender = createViewSender("linked");
  let isDue = false;

  function isMember(identity: VmIdentity): boolean {
    return identity.region === self.region &&
      !isHub(parts.getTopology(), identity);
  }

  function tell(): void {
    isDue = false;
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

  /** The first hub of a region sums up, so that no demand counts twice. */
  function sumLinkedDemand(): DemandByRegion {
    const relayId = findRelayId(parts.getTopology(), self.region);
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
    sendChanges: tell,
    scheduleChanges() {
      if (isDue || !actsAsHub()) return;
      isDue = true;
      clock.after(BATCH_DELAY_MS, tell);
    },
    sendSnapshot(link, identity) {
      const teller = isMember(identity) ? fleetSender : linkedSender;
      link.send({ kind: "view", ...teller.makeSnapshot() });
    },
    getDemand() {
      const topology = parts.getTopology();
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
