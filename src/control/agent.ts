/**
 * The control plane of a process: links to peers, membership, the replica of
 * the platform table's rows and the configuration in force.
 *
 * @module
 */
import { applyConfigRow, createConfigView } from "../config/view.ts";
import { type LoadState, removeExpiredLoads } from "../measurement/state.ts";
import {
  listServing,
  observeMembers,
  recordHeartbeat,
  recordLinkClosed,
} from "../membership/logic.ts";
import { createMembershipState } from "../membership/state.ts";
import type { Member, Role } from "../membership/types.ts";
import type { ChangeSet, Row } from "../platform/types.ts";
import {
  applyChanges,
  collectChanges,
  createReplicaState,
} from "../replica/logic.ts";
import type { Timer } from "../runtime/clock.ts";
import { createLogger } from "../runtime/logger.ts";
import { LEASE_KEY, readLease } from "../steering/lease.ts";
import { createDialer } from "./dialer.ts";
import {
  type ChangeFeed,
  rankReaders,
  readSnapshot,
  startChangeFeed,
} from "./change_feed.ts";
import { createLinkTable } from "./link_table.ts";
import { createLoadExchange, type PlannerLocation } from "./load_exchange.ts";
import { type PeerMessage, peerMessageSchema } from "./messages.ts";
import { acceptLinks, linkTraffic } from "../runtime/peer_link.ts";
import type { PeerLink } from "./links.ts";
import { createServerStatusExchange } from "./server_status.ts";
import { listPeerAddresses, listRelays } from "./topology.ts";
import type { AgentOptions, ControlAgent } from "./types.ts";
import { createViewExchange } from "./view_exchange.ts";

const log = createLogger("control");

/**
 * Heartbeat ticks between two views, and between two heartbeats to other
 * failure domains.
 */
const SLOW_TICK_INTERVAL = 2;
/**
 * Time, in ms, that the table and the peers have to deliver the fleet document
 * before the stored snapshot is loaded.
 */
const SNAPSHOT_FALLBACK_DELAY_MS = 2_000;
/** Time for which a list of serving members is cached, in ms. */
const SERVING_TTL_MS = 20;
/** Interval between two reads of the platform's list of VMs, in ms. */
const VM_LIST_PERIOD_MS = 1_000;
/**
 * Time after start, in ms, in which peers may still announce a newer version.
 * Without the table, a process isn't ready before it has passed.
 */
const VERSION_DISCOVERY_MS = 1_000;

/**
 * Starts the control plane of a process: accepts and dials links, and starts
 * the periodic heartbeats. On a steer it also reads the table.
 *
 * @param options The process's identity and the services that it uses.
 * @returns The running agent.
 */
export function startAgent(options: AgentOptions): ControlAgent {
  const { self, clock, key, platform, peerServer, seeds, translate } = options;
  const membership = createMembershipState(self);
  const replica = createReplicaState();
  const config = createConfigView();
  const loads: LoadState = new Map();
  const links = createLinkTable(self.failureDomain);
  const listeners: ((rows: Row[]) => void)[] = [];
  const servingCache = new Map<Role, { atMs: number; members: Member[] }>();
  const startedMs = clock.monotonicMs();
  let highestPeerVersion = 0;
  let ticks = 0;
  let closed = false;
  let markReady: () => void = () => {};
  const ready = new Promise<void>((resolve) => markReady = resolve);

  const linkEvents = {
    onOpen(link: PeerLink) {
      links.open(link);
      link.send(makeHello());
    },
    onMessage: handleMessage,
    onClose(link: PeerLink) {
      const member = links.get(link)?.member;
      links.close(link);
      if (member) recordLinkClosed(membership, member.id);
    },
  };

  const dialer = createDialer({
    key,
    clock,
    translate,
    schema: peerMessageSchema,
    events: linkEvents,
  });

  /** @returns Whether this steer is its failure domain's first live relay. */
  function isRelay(): boolean {
    const fleet = config.fleet?.document;
    if (fleet === undefined || self.role !== "steer") return false;
    const alive = new Set(serving("steer").map((member) => member.vmId));
    const first = listRelays(fleet, self.failureDomain)
      .find((vm) => alive.has(vm.id));
    return first?.id === self.vmId;
  }

  const serverStatus = createServerStatusExchange({ self, links });
  const views = createViewExchange({ links, membership, clock, isRelay });
  const loadExchange = createLoadExchange({
    self,
    links,
    loads,
    clock,
    isRelay,
    planner: findPlanner,
  });

  function findPlanner(): PlannerLocation | undefined {
    const id = readLease(replica.rows.get(LEASE_KEY))?.holder;
    const vm = config.fleet?.document.entryVms
      .find((one) => id === `${one.id}/steer`);
    if (id === undefined || vm === undefined) return undefined;
    return { id, failureDomain: vm.failureDomain };
  }

  function makeHello(): PeerMessage {
    const { throughVersion } = replica;
    return { kind: "hello", member: membership.self, throughVersion };
  }

  function handleMessage(link: PeerLink, message: PeerMessage): void {
    if (closed) return;
    switch (message.kind) {
      case "hello":
        return handleHello(link, message.member, message.throughVersion);
      case "heartbeat":
        return handleHeartbeat(link, message.throughVersion);
      case "views":
        return views.receive(link, message.views);
      case "load":
        return loadExchange.receive(link, message.loads);
      case "changes":
        return receiveChanges(message.changes);
      case "vms":
        return serverStatus.receiveLeaving(message.leaving);
      case "health":
        return serverStatus.receiveHealth(link, message.reports);
    }
  }

  function handleHello(
    link: PeerLink,
    member: Member,
    throughVersion: number,
  ): void {
    const state = links.get(link);
    if (state === undefined) return;
    state.member = member;
    handleHeartbeat(link, throughVersion);
    // Steers of other failure domains would name it in look-ups until the next
    // regular view.
    const isLeaving = member.state === "leaving" &&
      member.failureDomain === self.failureDomain;
    if (isLeaving && self.role === "steer") {
      views.sendOwn(replica.throughVersion);
    }
  }

  function handleHeartbeat(link: PeerLink, throughVersion: number): void {
    const state = links.get(link);
    if (state?.member === undefined) return;
    const { member } = state;
    const isUnchanged = state.throughVersion === throughVersion;
    state.throughVersion = throughVersion;
    highestPeerVersion = Math.max(highestPeerVersion, throughVersion);
    if (member.failureDomain === self.failureDomain) {
      const nowMs = clock.monotonicMs();
      recordHeartbeat(membership, { member, throughVersion }, nowMs);
      sendMissing(link);
    } else if (isUnchanged) sendMissing(link);
    checkReady();
  }

  function sendMissing(link: PeerLink): void {
    const state = links.get(link);
    if (!state?.member || state.throughVersion >= replica.throughVersion) {
      return;
    }
    const changes = collectChanges(replica, state.throughVersion);
    link.send({ kind: "changes", changes });
    if (state.member.failureDomain === self.failureDomain) {
      state.throughVersion = replica.throughVersion;
    }
  }

  function receiveChanges(changes: ChangeSet): void {
    const applied = applyChanges(replica, changes);
    if (applied.outcome === "gap") {
      log.debug("Ignored changes that start after a version gap", {
        step: "replica.apply",
      });
      return;
    }
    applyChangedRows(applied.changed);
    // Other failure domains read the table themselves. They are sent rows only
    // when two of their heartbeats in a row show the same version.
    for (const [link] of links.listOwnDomain()) sendMissing(link);
    checkReady();
  }

  function applyChangedRows(rows: Row[]): void {
    if (rows.length === 0) return;
    const changedConfig = rows.map((row) => applyConfigRow(config, row));
    if (changedConfig.includes(true)) updatePeerLinks();
    for (const listener of listeners) listener(rows);
  }

  function updatePeerLinks(): void {
    const fleet = config.fleet?.document;
    dialer.setTargets(fleet ? listPeerAddresses(fleet, self) : seeds);
  }

  function tick(): void {
    ticks += 1;
    const isSlowTick = ticks % SLOW_TICK_INTERVAL === 0;
    const { throughVersion } = replica;
    const heartbeat = { kind: "heartbeat" as const, throughVersion };
    links.sendToOwnDomain(heartbeat);
    if (isSlowTick) {
      links.sendToOtherDomains(heartbeat);
      if (self.role === "steer") views.sendOwn(throughVersion);
      removeExpiredLoads(loads, clock.monotonicMs());
    }
    checkReady();
  }

  function checkReady(): void {
    if (config.fleet === undefined) return;
    const isDiscovering =
      clock.monotonicMs() - startedMs < VERSION_DISCOVERY_MS;
    const hasReadTable = feed?.lastReadMs() !== undefined;
    const isCaughtUp = replica.throughVersion >= highestPeerVersion;
    if (hasReadTable || (!isDiscovering && isCaughtUp)) markReady();
  }

  /**
   * @returns Rank of this steer among the readers of its failure domain, from
   * 0; -1 for an entry and for a steer that isn't serving.
   */
  function getReaderRank(): number {
    const steers = serving("steer")
      .filter((member) => member.failureDomain === self.failureDomain)
      .map((member) => member.id);
    return rankReaders(steers).indexOf(self.id);
  }

  function isOwnReader(): boolean {
    return getReaderRank() === 0;
  }

  /** Cached for `SERVING_TTL_MS`, because every request calls it. */
  function serving(role: Role): Member[] {
    const nowMs = clock.monotonicMs();
    const cached = servingCache.get(role);
    if (cached && nowMs - cached.atMs < SERVING_TTL_MS) return cached.members;
    const members = listServing(membership, role, nowMs);
    servingCache.set(role, { atMs: nowMs, members });
    return members;
  }

  async function takeSnapshot(): Promise<void> {
    if (closed || platform === undefined || config.fleet) return;
    const snapshot = await readSnapshot(platform.objects);
    if (snapshot === undefined || closed) return;
    log.warn("Loaded the replica from the stored snapshot", {
      step: "replica.snapshot",
    });
    receiveChanges(snapshot);
  }

  const feed: ChangeFeed | undefined = platform && startChangeFeed({
    platform,
    clock,
    rank: () => config.fleet === undefined ? 0 : getReaderRank(),
    throughVersion: () => replica.throughVersion,
    onChanges: receiveChanges,
  });
  acceptLinks(peerServer, {
    key,
    clock,
    schema: peerMessageSchema,
    events: linkEvents,
  });
  updatePeerLinks();
  const timers: Timer[] = [
    clock.every(membership.timings.heartbeatPeriodMs, tick),
    clock.after(SNAPSHOT_FALLBACK_DELAY_MS, () => void takeSnapshot()),
    clock.every(VM_LIST_PERIOD_MS, () => {
      if (platform && isOwnReader()) void serverStatus.readVmList(platform.vms);
    }),
  ];

  return {
    self,
    config: () => config,
    row: (rowKey) => replica.rows.get(rowKey),
    onRows: (listener) => void listeners.push(listener),
    members: () => observeMembers(membership, clock.monotonicMs()),
    serving,
    views: () => [...membership.views.values()].map(({ view }) => view),
    loads: () => loads,
    reportLoad: loadExchange.report,
    reportHealth: serverStatus.reportHealth,
    onHealth: serverStatus.onHealth,
    leavingVms: serverStatus.leaving,
    leave() {
      membership.self = { ...self, state: "leaving" };
      for (const [link] of links.all()) link.send(makeHello());
      if (self.role === "steer") views.sendOwn(replica.throughVersion);
    },
    replaced: () => membership.replaced,
    tableAgeMs() {
      const lastReadMs = feed?.lastReadMs();
      if (lastReadMs === undefined) return Infinity;
      return clock.monotonicMs() - lastReadMs;
    },
    throughVersion: () => replica.throughVersion,
    applyCommittedWrite: receiveChanges,
    allRows: () => collectChanges(replica, 0),
    ready,
    dump: () => ({
      self: membership.self,
      replaced: membership.replaced,
      throughVersion: replica.throughVersion,
      fleetNumber: config.fleet?.number,
      serviceNumbers: Object.fromEntries(
        [...config.services].map(([name, { number }]) => [name, number]),
      ),
      members: observeMembers(membership, clock.monotonicMs())
        .map(({ member, liveness }) => ({ ...member, liveness })),
      links: [...links.all()].map(([link, state]) => ({
        peer: link.peer,
        member: state.member?.id,
        throughVersion: state.throughVersion,
      })),
      linkTraffic,
    }),
    close() {
      closed = true;
      feed?.close();
      for (const timer of timers) timer.cancel();
      dialer.close();
      for (const [link] of links.all()) link.close();
    },
  };
}
