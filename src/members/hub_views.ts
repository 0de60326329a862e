/**
 * What this VM tells of other VMs while it is a hub.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { sumDemands } from "./demand.ts";
import { findRelay, isHub, type Topology } from "./hubs.ts";
import type { LinkSet, VmLink } from "./link_set.ts";
import type { Member, MemberTable } from "./table.ts";
import type { DemandByRegion, VmIdentity, VmReport } from "./types.ts";
import { createViewTeller, type ToldVm } from "./view_teller.ts";

/** What telling needs. */
export interface HubViewsParts {
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
  tell(): void;
  /** Tells what changed, together with what changes meanwhile. */
  tellSoon(): void;
  /** Tells one VM all. */
  sendAll(link: VmLink, identity: VmIdentity): void;
  /**
   * @returns Demand of the clients of all VMs; undefined where VMs tell each
   *   other themselves, or no hub told yet.
   */
  getDemand(): DemandByRegion | undefined;
}

/** Pause in which changes of VMs gather, so that they come in batches. */
const PAUSE_MS = 100;

/**
 * @param parts What telling needs.
 * @returns Views of which nothing was told.
 */
export function createHubViews(parts: HubViewsParts): HubViews {
  const { self, table, clock, links, makeReport, actsAsHub } = parts;
  /** For VMs of this region: all VMs. For hubs: those that are linked here. */
  const fleetTeller = createViewTeller("fleet");
  const linkedTeller = createViewTeller("linked");
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
    const linked = linkedTeller.update(
      [own, ...listTold(table.listLinked())],
      demandPerS,
    );
    const all = fleetTeller.update(
      [own, ...listTold(table.listVouched())],
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
    const relayId = findRelay(parts.getTopology(), self.region);
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
    tell,
    tellSoon() {
      if (isDue || !actsAsHub()) return;
      isDue = true;
      clock.after(PAUSE_MS, tell);
    },
    sendAll(link, identity) {
      const teller = isMember(identity) ? fleetTeller : linkedTeller;
      link.send({ kind: "view", ...teller.tellAll() });
    },
    getDemand() {
      const topology = parts.getTopology();
      if (topology.isFullMesh) return undefined;
      if (!isHub(topology, self)) return table.listDemands("fleet")[0];
      return sumDemands([sumLinkedDemand(), ...table.listDemands("linked")]);
    },
  };
}

function listTold(members: readonly Member[]): ToldVm[] {
  return members.flatMap(({ identity, state }) =>
    state === undefined ? [] : [{ identity, state }]
  );
}
