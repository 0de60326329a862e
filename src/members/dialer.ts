/**
 * Dials and closes links so that they match the topology of the known VMs.
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

/** Dependencies of the dialer. */
export interface DialerOptions {
  self: VmIdentity;
  table: MemberTable;
  clock: Clock;
  log: Log;
  links: LinkSet;
  /** Peer addresses to dial while no other VM is up. */
  seeds: readonly string[];
  /** @returns Whether the registry had enough time to list other VMs. */
  canDialSeeds: () => boolean;
  /**
   * Opens a link to an address and reopens it when it breaks.
   *
   * @param address The peer address.
   * @returns The link.
   */
  dial: (address: string) => DialedLink;
}

/** Keeps the links that this VM should have. */
export interface Dialer {
  /** Dials missing links and closes those no longer needed. */
  updateLinks(): void;
  /** Updates the links after a short delay, once for all VMs found until then. */
  scheduleUpdate(): void;
  /** @returns The topology as of the last update. */
  getTopology(): Topology;
  /**
   * @returns Whether this VM acts as a hub: the topology makes it one, or other
   *   VMs of its region use it as one.
   */
  actsAsHub(): boolean;
  /** Closes all dialed links and dials no more. */
  stop(): void;
}

/** Most links that are dialled, whatever VMs are reported to exist. */
const MAX_DIALED = 512;
/** Delay that collects newly found VMs into one update of the links. */
const UPDATE_DELAY_MS = 50;

/**
 * Creates a dialer.
 *
 * @param options Its dependencies.
 * @returns A dialer without links.
 */
export function createDialer(options: DialerOptions): Dialer {
  const { self, table, clock, log, links } = options;
  const dialed = new Map<string, DialedLink>();
  const reach = createHubReachability(clock);
  let topology = buildTopology([self]);
  let isScheduled = false;
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

  /** Leaves out hubs that are excluded as unreachable. */
  function listCandidates(): VmIdentity[] {
    const possible = table.listHubCandidates();
    return [self, ...possible.filter(({ id }) => !reach.isExcluded(id))];
  }

  function updateTopology(): void {
    const previous = topology;
    const known = table.listKnown().map(({ identity }) => identity);
    topology = known.length < MAX_FULL_MESH_VMS
      ? buildTopology([self, ...known])
      : buildTopology(listCandidates(), false);
    const { isFullMesh } = topology;
    const isOwnHub = isHub(topology, self);
    const isSame = isHub(previous, self) === isOwnHub &&
      previous.isFullMesh === isFullMesh;
    if (isSame) return;
    const fields = { isFullMesh, isHub: isOwnHub, known: known.length + 1 };
    log.info(fields, "link topology or hub role changed");
  }

  /**
   * In a full mesh and between two hubs, the VM with the lower address dials. A
   * hub with the higher address dials once the link is overdue, since the other
   * may not consider itself a hub. VMs that are no hubs always dial theirs.
   */
  function shouldDial(target: VmIdentity): boolean {
    if (self.peerAddress < target.peerAddress) return true;
    if (topology.isFullMesh) return false;
    return !isHub(topology, self) || reach.isOverdue(target.id);
  }

  /** Adds the seeds while no other VM is up. */
  function listAddresses(isAlone: boolean): Set<string> {
    const addresses = new Set<string>();
    for (const target of listTargets()) {
      if (!topology.isFullMesh) reach.record(target.id, links.has(target.id));
      if (shouldDial(target)) addresses.add(target.peerAddress);
    }
    if (isAlone && options.canDialSeeds()) {
      options.seeds.forEach((seed) => addresses.add(seed));
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

  /** Links to former hubs are kept until all new ones are open. */
  function isAnyLinkMissing(): boolean {
    return !topology.isFullMesh &&
      listTargets().some(({ id }) => !links.has(id));
  }

  function updateLinks(): void {
    isScheduled = false;
    if (stopped) return;
    updateTopology();
    const isAlone = table.listAlive().length === 0;
    const addresses = listAddresses(isAlone);
    for (const address of addresses) {
      if (dialed.has(address) || dialed.size >= MAX_DIALED) continue;
      dialed.set(address, options.dial(address));
    }
    if (!isAlone && !isAnyLinkMissing()) closeUnneeded(addresses);
  }

  return {
    updateLinks,
    scheduleUpdate() {
      if (isScheduled) return;
      isScheduled = true;
      clock.after(UPDATE_DELAY_MS, updateLinks);
    },
    getTopology: () => topology,
    actsAsHub,
    stop() {
      stopped = true;
      closeUnneeded(new Set());
    },
  };
}
