/**
 * The control side of every process: links to peers, membership, the replica
 * of the table's rows and the configuration in force.
 *
 * @module
 */
import type { Server } from "node:http";
import { applyConfigRow, createConfigView } from "../config/view.ts";
import type { ConfigView } from "../config/view.ts";
import {
  forgetOldLoad,
  type LoadState,
  noteLoad,
} from "../measurement/state.ts";
import type { EntryLoad } from "../measurement/types.ts";
import {
  listServing,
  makeOwnView,
  noteHeartbeat,
  noteLinkClosed,
  noteView,
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
import { type Feed, isReader, readSnapshot, startFeed } from "./feed.ts";
import type { HealthReport, PeerMessage } from "./messages.ts";
import {
  acceptLinks,
  type DialedLink,
  keepLink,
  linkTraffic,
  type PeerLink,
} from "./peer_link.ts";
import { chooseLinks } from "./topology.ts";

const log = createLogger("control");

/** Views go out each second heartbeat. */
const VIEW_EVERY_TICKS = 2;
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

interface LinkState {
  member: Member | undefined;
  throughVersion: number;
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
  const links = new Map<PeerLink, LinkState>();
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
      links.set(link, { member: undefined, throughVersion: 0 });
      link.send(makeHeartbeat());
    },
    onMessage: handleMessage,
    onClose(link: PeerLink) {
      const member = links.get(link)?.member;
      links.delete(link);
      if (member) noteLinkClosed(membership, member.id);
    },
  };

  function makeHeartbeat(): PeerMessage {
    const { throughVersion } = replica;
    return { kind: "heartbeat", member: membership.self, throughVersion };
  }

  function handleMessage(link: PeerLink, message: PeerMessage): void {
    if (closed) return;
    switch (message.kind) {
      case "heartbeat":
        return handleHeartbeat(link, message.member, message.throughVersion);
      case "views":
        return handleViews(link, message.views);
      case "load":
        return handleLoads(link, message.loads);
      case "changes":
        return receiveChanges(message.changes);
      case "vms":
        leavingVms = new Set(message.leaving);
        return;
      case "health":
        return handleHealth(link, message.reports);
    }
  }

  /** Steers pass probes on to the other entries of their failure domain. */
  function handleHealth(link: PeerLink, reports: HealthReport[]): void {
    for (const listener of healthListeners) listener(reports);
    if (self.role !== "steer") return;
    for (const [other, { member }] of links) {
      const isEntry = member?.role === "entry" &&
        member.failureDomain === self.failureDomain;
      if (isEntry && other !== link) other.send({ kind: "health", reports });
    }
  }

  async function readVms(): Promise<void> {
    if (closed || platform === undefined || !isOwnReader()) return;
    const list = await platform.vms.list();
    if (list.isErr() || closed) return;
    const leaving = list.value.filter(({ state }) => state === "leaving")
      .map(({ id }) => id);
    leavingVms = new Set(leaving);
    sendInDomain({ kind: "vms", leaving });
  }

  function handleHeartbeat(
    link: PeerLink,
    member: Member,
    throughVersion: number,
  ): void {
    links.set(link, { member, throughVersion });
    highestHeard = Math.max(highestHeard, throughVersion);
    if (member.failureDomain === self.failureDomain) {
      const nowMs = clock.monotonicMs();
      noteHeartbeat(membership, { member, throughVersion }, nowMs);
    }
    sendMissing(link);
    checkReady();
  }

  function sendMissing(link: PeerLink): void {
    const state = links.get(link);
    if (!state?.member || state.throughVersion >= replica.throughVersion) {
      return;
    }
    const changes = collectChanges(replica, state.throughVersion);
    link.send({ kind: "changes", changes });
    state.throughVersion = replica.throughVersion;
  }

  function handleViews(link: PeerLink, views: DomainView[]): void {
    const nowMs = clock.monotonicMs();
    const from = links.get(link)?.member?.failureDomain;
    for (const view of views) {
      const isNews = noteView(membership, view, nowMs);
      const isFirstHand = from === view.failureDomain &&
        from !== self.failureDomain;
      if (isNews && isFirstHand && self.role === "steer") {
        sendInDomain({ kind: "views", views: [view] });
      }
    }
  }

  function handleLoads(link: PeerLink, received: EntryLoad[]): void {
    const nowMs = clock.monotonicMs();
    for (const load of received) noteLoad(loads, load, nowMs);
    const from = links.get(link)?.member;
    if (!from || self.role !== "steer") return;
    if (from.role === "entry") {
      sendElsewhere({ kind: "load", loads: received });
      sendInDomain({ kind: "load", loads: received }, "entry");
    } else if (from.failureDomain !== self.failureDomain) {
      sendInDomain({ kind: "load", loads: received }, "steer");
    }
  }

  function sendInDomain(message: PeerMessage, role?: Role): void {
    for (const [link, { member }] of links) {
      if (member?.failureDomain !== self.failureDomain) continue;
      if (role === undefined || member.role === role) link.send(message);
    }
  }

  function sendElsewhere(message: PeerMessage): void {
    for (const [link, { member }] of links) {
      if (member && member.failureDomain !== self.failureDomain) {
        link.send(message);
      }
    }
  }

  function receiveChanges(changes: ChangeSet): void {
    const applied = applyChanges(replica, changes);
    if (applied.outcome === "gap") {
      log.debug("Changes start after a gap", { step: "replica.apply" });
      return;
    }
    bringIntoForce(applied.changed);
    for (const link of links.keys()) sendMissing(link);
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
    for (const link of links.keys()) link.send(makeHeartbeat());
    if (self.role === "steer" && ticks % VIEW_EVERY_TICKS === 0) sendOwnView();
    forgetOldLoad(loads, clock.monotonicMs());
    checkReady();
  }

  function sendOwnView(): void {
    const { throughVersion } = replica;
    const view = makeOwnView(membership, throughVersion, clock.monotonicMs());
    noteView(membership, view, clock.monotonicMs());
    for (const link of links.keys()) {
      link.send({ kind: "views", views: [view] });
    }
  }

  function checkReady(): void {
    if (config.fleet === undefined) return;
    const learning = clock.monotonicMs() - startedMs < LEARN_MS;
    const readTable = feed?.lastReadMs() !== undefined;
    const caughtUp = replica.throughVersion >= highestHeard;
    if (readTable || (!learning && caughtUp)) markReady();
  }

  function isOwnReader(): boolean {
    const steers = serving("steer")
      .filter((member) => member.failureDomain === self.failureDomain)
      .map((member) => member.id);
    return isReader(self.id, steers);
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
    shouldRead: () => config.fleet === undefined || isOwnReader(),
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
    reportLoad(load) {
      noteLoad(loads, load, clock.monotonicMs());
      sendInDomain({ kind: "load", loads: [load] }, "steer");
    },
    reportHealth(reports) {
      // One steer is enough: each of them passes it on to every entry.
      for (const [link, { member }] of links) {
        if (member?.role !== "steer") continue;
        link.send({ kind: "health", reports });
        return;
      }
    },
    onHealth: (listener) => void healthListeners.push(listener),
    leavingVms: () => leavingVms,
    leave() {
      membership.self = { ...self, state: "leaving" };
      tick();
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
      links: [...links].map(([link, state]) => ({
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
      for (const link of links.keys()) link.close();
    },
  };
}
