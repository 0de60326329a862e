/**
 * Which links this VM dials and keeps, from the VMs that it knows.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { DialedLink } from "../runtime/peer_link.ts";
import type { Log } from "../telemetry/log.ts";
import {
  buildTopology,
  isHub,
  listLinkTargets,
  MAX_FULL_MESH_VMS,
  type Topology,
} from "./hubs.ts";
import type { LinkSet } from "./link_set.ts";
import { createHubReachability } from "./hub_reachability.ts";
import type { MemberTable } from "./table.ts";
import type { VmIdentity } from "./types.ts";

/** What dialing needs. */
export interface DialerOptions {
  self: VmIdentity;
  table: MemberTable;
  clock: Clock;
  log: Log;
  links: LinkSet;
  /** Addresses to dial while no other VM is known. */
  seeds: readonly string[];
  /** Whether the register had time to tell of others. */
  canDialSeeds: () => boolean;
  /** Keeps a link to an address. */
  dial: (address: string) => DialedLink;
}

/** Dials other VMs. */
export interface Dialer {
  /** Looks which links are missing, and which are needed no more. */
  updateLinks(): void;
  /** Looks once for all VMs that are found meanwhile. */
  scheduleUpdate(): void;
  getTopology(): Topology;
  /**
   * @returns Whether this VM is a hub; one that others of its region take for
   *   theirs is one.
   */
  actsAsHub(): boolean;
  stop(): void;
}

/** Pause in which VMs that were found gather before links are looked at. */
const UPDATE_DELAY_MS = 50;

/**
 * @param parts What dialing needs.
 * @returns A dialing without links.
 */
export function createDialer(parts: DialerOptions): Dialer {
  const { self, table, clock, log, links } = parts;
  const dialed = new Map<string, DialedLink>();
  const reach = createHubReachability(clock);
  let topology = buildTopology([self]);
  let isDue = false;
  let stopped = false;

  function actsAsHub(): boolean {
    if (topology.isFullMesh) return false;
    return isHub(topology, self) ||
      links.listIdentities().some((identity) =>
        identity.region === self.region && !isHub(topology, identity)
      );
  }

  function listTargets(): VmIdentity[] {
    return listLinkTargets(topology, self, actsAsHub());
  }

  /** Hubs that can't be reached are left out for a while. */
  function listCandidates(): VmIdentity[] {
    const possible = table.listHubCandidates();
    return [self, ...possible.filter(({ id }) => !reach.isExcluded(id))];
  }

  function updateTopology(): void {
    const before = topology;
    const known = table.listKnown().map(({ identity }) => identity);
    topology = known.length < MAX_FULL_MESH_VMS
      ? buildTopology([self, ...known])
      : buildTopology(listCandidates(), false);
    const { isFullMesh } = topology;
    const isOwnHub = isHub(topology, self);
    const isSame = isHub(before, self) === isOwnHub &&
      before.isFullMesh === isFullMesh;
    if (isSame) return;
    const fields = { isFullMesh, isHub: isOwnHub, known: known.length + 1 };
    log.info(fields, "links arranged");
  }

  /**
   * Of two hubs the one with the lower address dials, unless the other doesn't
   * take itself for one; VMs that are no hubs dial theirs.
   */
  function shouldDial(target: VmIdentity): boolean {
    if (self.peerAddress < target.peerAddress) return true;
    if (topology.isFullMesh) return false;
    return !isHub(topology, self) || reach.isOverdue(target.id);
  }

  /** While no other VM is known, seeds are dialed. */
  function listAddresses(isAlone: boolean): Set<string> {
    const addresses = new Set<string>();
    for (const target of listTargets()) {
      if (!topology.isFullMesh) reach.record(target.id, links.has(target.id));
      if (shouldDial(target)) addresses.add(target.peerAddress);
    }
    if (isAlone && parts.canDialSeeds()) {
      parts.seeds.forEach((seed) => addresses.add(seed));
    }
    addresses.delete(self.peerAddress);
    return addresses;
  }

  function closeUnneeded(addresses: ReadonlySet<string>): void {
    for (const [address, link] of dialed) {
      if (addresses.has(address)) continue;
      link.close();
      dialed.delete(address);
    }
  }

  /** Former hubs are kept until all new ones are linked. */
  function isAnyLinkMissing(): boolean {
    return !topology.isFullMesh &&
      listTargets().some(({ id }) => !links.has(id));
  }

  function look(): void {
    isDue = false;
    if (stopped) return;
    updateTopology();
    const isAlone = table.listAlive().length === 0;
    const addresses = listAddresses(isAlone);
    for (const address of addresses) {
      if (!dialed.has(address)) dialed.set(address, parts.dial(address));
    }
    if (!isAlone && !isAnyLinkMissing()) closeUnneeded(addresses);
  }

  return {
    updateLinks: look,
    scheduleUpdate() {
      if (isDue) return;
      isDue = true;
      clock.after(UPDATE_DELAY_MS, look);
    },
    getTopology: () => topology,
    actsAsHub,
    stop() {
      stopped = true;
      closeUnneeded(new Set());
    },
  };
}
