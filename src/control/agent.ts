/**
 * The control side of every process: links to peers, membership, the replica
 * of the table's rows and the configuration in force.
 *
 * @module
 */
import type { Server } from "node:http";
import { applyConfigRow, createConfigView } from "../config/view.ts";
import type { ConfigView } from "../config/view.ts";
import { forgetOldLoad, type LoadState } from "../measurement/state.ts";
import type { EntryLoad } from "../measurement/types.ts";
import {
  listServing,
  noteHeartbeat,
  noteLinkClosed,
  observeMembers,
} from "../membership/logic.ts";
import { createMembershipState } from "../membership/state.ts";
import type {
  DomainView,
  Member,
  ObservedMember,
  Role,
} from "../membership/types.ts";
import type { ChangeSet, Platform, Row } from "../platform/types.ts";
import {
  applyChanges,
  collectChanges,
  createReplicaState,
} from "../replica/logic.ts";
import type { Clock, Timer } from "../runtime/clock.ts";
import { createLogger } from "../runtime/logger.ts";
import { LEASE_KEY, readLease } from "../steering/lease.ts";
import { type Feed, rankReaders, readSnapshot, startFeed } from "./feed.ts";
import { createLinkTable } from "./link_table.ts";
import { createLoadExchange } from "./loads.ts";
import type { HealthReport, PeerMessage } from "./messages.ts";
import {
  acceptLinks,
  type DialedLink,
  keepLink,
  linkTraffic,
  type PeerLink,
} from "./peer_link.ts";
import { chooseLinks, listRelays } from "./topology.ts";
import { createViewExchange } from "./views.ts";

const log = createLogger("control");

/** Views go out, and other failure domains hear a heartbeat, each second tick. */
const SLOW_EVERY_TICKS = 2;
/** Time given to the table and to peers before the snapshot is taken. */
const SNAPSHOT_AFTER_MS = 2_000;
/** Time between two reads of the list of VMs. */
const VM_LIST_PERIOD_MS = 1_000;
/** Time in which peers may still show newer rows before serving starts. */
const LEARN_MS = 1_000;

/** What the agent needs. */
export interface AgentOptions {
  self: Member;
  clock: Clock;
  key: string;
  /** Only steers read the platform. */
  platform: Platform | undefined;
  /** Listener of the peer address. */
  peerServer: Server;
  /** Peer addresses known from the settings. */
  seeds: readonly string[];
  /** Gives the address to dial for a peer's address. */
  translate(address: string): string;
}

/** The control side of a process. */
export interface ControlAgent {
  self: Member;
  config(): ConfigView;
  /** @returns The newest known form of a replicated row. */
  row(key: string): Row | undefined;
  /** Called with each batch of rows that came into force. */
  onRows(listener: (rows: Row[]) => void): void;
  members(): ObservedMember[];
  serving(role: Role): Member[];
  /** Newest view of each failure domain. */
  views(): DomainView[];
  /** Figures of entries, by entry id. */
  loads(): LoadState;
  /** Hands this process's own figures to the steers. */
  reportLoad(load: EntryLoad): void;
  /** Shares probes of backend servers within the failure domain. */
  reportHealth(reports: HealthReport[]): void;
  /** Called with probes that another process made. */
  onHealth(listener: (reports: HealthReport[]) => void): void;
  /** Ids of VMs and backend servers that the platform says are leaving. */
  leavingVms(): ReadonlySet<string>;
  /** Tells everybody that this process is about to stop. */
  leave(): void;
  /** Whether a newer process with this one's id was seen. */
  replaced(): boolean;
  /** Age of the last answer of the table, in ms; Infinity if none. */
  tableAgeMs(): number;
  throughVersion(): number;
  /** Applies rows that this process has just written itself. */
  applyOwnWrite(changes: ChangeSet): void;
  allRows(): ChangeSet;
  /** Resolves once a configuration is in force. */
  ready: Promise<void>;
  dump(): unknown;
  close(): void;
}

/**
 * Starts the control side of a process.
 *
 * @param options See there.
 * @returns The running agent.
 */
export function startAgent(options: AgentOptions): ControlAgent {
  const { self, clock, key, platform, peerServer, seeds, translate } = options;
  const membership = createMembershipState(self);
  const replica = createReplicaState();
  const config = createConfigView();
  const loads: LoadState = new Map();
  const links = createLinkTable(self.failureDomain);
  const dialed = new Map<string, DialedLink>();
  const listeners: ((rows: Row[]) => void)[] = [];
  const healthListeners: ((reports: HealthReport[]) => void)[] = [];
  const startedMs = clock.monotonicMs();
  let leavingVms: ReadonlySet<string> = new Set();
  let highestHeard = 0;
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
      if (member) noteLinkClosed(membership, member.id);
    },
  };

  /** The first relay that looks alive passes news on. */
  function isRelay(): boolean {
    const fleet = config.fleet?.document;
    if (fleet === undefined || self.role !== "steer") return false;
    const alive = new Set(serving("steer").map((member) => member.vmId));
    const first = listRelays(fleet, self.failureDomain)
      .find((vm) => alive.has(vm.id));
    return first?.id === self.vmId;
  }

  const views = createViewExchange({ links, membership, clock, isRelay });
  const loadExchange = createLoadExchange({
    self,
    links,
    loads,
    clock,
    isRelay,
    plannerDomain,
  });

  function plannerDomain(): string | undefined {
    const lease = readLease(replica.rows.get(LEASE_KEY));
    return config.fleet?.document.entryVms
      .find((vm) => lease?.holder === `${vm.id}/steer`)?.failureDomain;
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
        leavingVms = new Set(message.leaving);
        return;
      case "health":
        return handleHealth(link, message.reports);
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
  }

  function handleHeartbeat(link: PeerLink, throughVersion: number): void {
    const state = links.get(link);
    if (state?.member === undefined) return;
    const { member } = state;
    const isStuck = state.throughVersion === throughVersion;
    state.throughVersion = throughVersion;
    highestHeard = Math.max(highestHeard, throughVersion);
    if (member.failureDomain === self.failureDomain) {
      const nowMs = clock.monotonicMs();
      noteHeartbeat(membership, { member, throughVersion }, nowMs);
      sendMissing(link);
    } else if (isStuck) sendMissing(link);
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

  /** Steers pass probes on to the other entries of their failure domain. */
  function handleHealth(link: PeerLink, reports: HealthReport[]): void {
    for (const listener of healthListeners) listener(reports);
    if (self.role !== "steer") return;
    const message = { kind: "health" as const, reports };
    links.sendInDomain(message, { role: "entry", except: link });
  }

  async function readVms(): Promise<void> {
    if (closed || platform === undefined || !isOwnReader()) return;
    const list = await platform.vms.list();
    if (list.isErr() || closed) return;
    const leaving = list.value.filter(({ state }) => state === "leaving")
      .map(({ id }) => id);
    const isSame = leaving.length === leavingVms.size &&
      leaving.every((id) => leavingVms.has(id));
    leavingVms = new Set(leaving);
    if (!isSame) links.sendInDomain({ kind: "vms", leaving });
  }

  function receiveChanges(changes: ChangeSet): void {
    const applied = applyChanges(replica, changes);
    if (applied.outcome === "gap") {
      log.debug("Changes start after a gap", { step: "replica.apply" });
      return;
    }
    bringIntoForce(applied.changed);
    // Other failure domains read the table too: they are sent rows only once
    // two of their heartbeats show the same version.
    for (const [link] of links.inDomain()) sendMissing(link);
    checkReady();
  }

  function bringIntoForce(rows: Row[]): void {
    if (rows.length === 0) return;
    const changedConfig = rows.map((row) => applyConfigRow(config, row));
    if (changedConfig.includes(true)) dialPeers();
    for (const listener of listeners) listener(rows);
  }

  function dialPeers(): void {
    const fleet = config.fleet?.document;
    const wanted = new Set(fleet ? chooseLinks(fleet, self) : seeds);
    for (const [address, link] of dialed) {
      if (wanted.has(address)) continue;
      link.close();
      dialed.delete(address);
    }
    for (const address of wanted) {
      if (dialed.has(address)) continue;
      const target = translate(address);
      dialed.set(address, keepLink(target, { key, clock, events: linkEvents }));
    }
  }

  function tick(): void {
    ticks += 1;
    const isSlowTick = ticks % SLOW_EVERY_TICKS === 0;
    const { throughVersion } = replica;
    const heartbeat = { kind: "heartbeat" as const, throughVersion };
    links.sendInDomain(heartbeat);
    if (isSlowTick) {
      links.sendElsewhere(heartbeat);
      if (self.role === "steer") views.sendOwn(throughVersion);
      forgetOldLoad(loads, clock.monotonicMs());
    }
    checkReady();
  }

  function checkReady(): void {
    if (config.fleet === undefined) return;
    const learning = clock.monotonicMs() - startedMs < LEARN_MS;
    const readTable = feed?.lastReadMs() !== undefined;
    const caughtUp = replica.throughVersion >= highestHeard;
    if (readTable || (!learning && caughtUp)) markReady();
  }

  /** Place of this steer among its domain's readers; -1 for an entry. */
  function getReaderRank(): number {
    const steers = serving("steer")
      .filter((member) => member.failureDomain === self.failureDomain)
      .map((member) => member.id);
    return rankReaders(steers).indexOf(self.id);
  }

  function isOwnReader(): boolean {
    return getReaderRank() === 0;
  }

  function serving(role: Role): Member[] {
    return listServing(membership, role, clock.monotonicMs());
  }

  async function takeSnapshot(): Promise<void> {
    if (closed || platform === undefined || config.fleet) return;
    const snapshot = await readSnapshot(platform.objects);
    if (snapshot === undefined || closed) return;
    log.warn("Started from the snapshot", { step: "replica.snapshot" });
    receiveChanges(snapshot);
  }

  const feed: Feed | undefined = platform && startFeed({
    platform,
    clock,
    rank: () => config.fleet === undefined ? 0 : getReaderRank(),
    throughVersion: () => replica.throughVersion,
    onChanges: receiveChanges,
  });
  acceptLinks(peerServer, key, linkEvents);
  dialPeers();
  const timers: Timer[] = [
    clock.every(membership.times.heartbeatPeriodMs, tick),
    clock.after(SNAPSHOT_AFTER_MS, () => void takeSnapshot()),
    clock.every(VM_LIST_PERIOD_MS, () => void readVms()),
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
    reportHealth(reports) {
      // One steer is enough: each of them passes it on to every entry.
      const [first] = links.inDomain({ role: "steer" });
      first?.[0].send({ kind: "health", reports });
    },
    onHealth: (listener) => void healthListeners.push(listener),
    leavingVms: () => leavingVms,
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
    applyOwnWrite: receiveChanges,
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
      for (const link of dialed.values()) link.close();
      for (const [link] of links.all()) link.close();
    },
  };
}
