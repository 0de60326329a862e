/**
 * Links between VMs: who is up, and facts passed on.
 *
 * @module
 */
import type { Server } from "node:http";
import type { NewsBoard } from "../news/board.ts";
import {
  type NewsItem,
  type SourceTopic,
  type Topic,
  TOPICS,
} from "../news/types.ts";
import type { Knowledge } from "../news/knowledge.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RateLimitNews } from "../servers/rate_limits.ts";
import { acceptLinks, keepLink } from "../runtime/peer_link.ts";
import type { Log } from "../telemetry/log.ts";
import { createDialer } from "./dialer.ts";
import { startDiscovery } from "./discovery.ts";
import { createHubViews } from "./hub_views.ts";
import { isHub, type Topology } from "./hubs.ts";
import { createLinkSet, type LinkState, type VmLink } from "./link_set.ts";
import { type VmMessage, vmMessageSchema } from "./messages.ts";
import {
  createPayloadReceiver,
  makeFactMessage,
  makeTopicMessage,
  type PayloadListeners,
} from "./payloads.ts";
import { createProofSender } from "./proofs.ts";
import { createFactRepair } from "./repair.ts";
import { diffReport, mergeReport } from "./report_delta.ts";
import type { MemberTable } from "./table.ts";
import type {
  DemandByRegion,
  VmIdentity,
  VmRegistry,
  VmReport,
} from "./types.ts";

/** What a mesh needs. */
export interface MeshOptions extends PayloadListeners {
  self: VmIdentity;
  table: MemberTable;
  factStore: NewsBoard;
  knowledge: Knowledge;
  /** Whether anything hangs on how old knowledge is. */
  needsProofs: () => boolean;
  registry: VmRegistry;
  clock: Clock;
  log: Log;
  /** Server that accepts links of other VMs. */
  server: Server;
  /** Peer addresses to begin with; some may be down. */
  seeds: readonly string[];
  /** Whether all VMs start now, for the first time. */
  isFleetBootstrap: boolean;
  /** What this VM tells of itself. */
  makeReport: () => VmReport;
  /** Told of each VM that says who it is. */
  onFound: (identity: VmIdentity) => void;
}

/** The links of this VM. */
export interface Mesh {
  /** Passes facts on to every VM that is linked. */
  broadcastFacts(items: NewsItem[]): void;
  /** Tells every VM that is linked of rate limits of servers. */
  broadcastServerRateLimits(rates: RateLimitNews[]): void;
  /** Tells every VM that this one read a topic from its source. */
  announceRead(topic: SourceTopic): void;
  /** Tells every VM how this one is, now. */
  sendReport(): void;
  /** Sends a message to some VMs that are linked. */
  sendTo(vmIds: readonly string[], message: VmMessage): void;
  /** @returns Who links to whom. */
  getTopology(): Topology;
  /**
   * @returns Demand of the clients of all VMs; undefined where VMs tell each
   *   other themselves, or no hub told yet.
   */
  getDemand(): DemandByRegion | undefined;
  /** @returns Whether the register was asked for VMs. */
  hasListed(): boolean;
  stop(): void;
}

const REPORT_INTERVAL_MS = 800;
/** Least pause between two messages that a topic is current. */
const MIN_READ_MESSAGE_INTERVAL_MS = 250;
/** After that time a VM that is found is told of to all. */
const STARTUP_MS = 5_000;
/** Seeds are dialed where the register has not answered by then. */
const SEED_DIAL_DELAY_MS = 500;
/**
 * VMs that start together have all registered by then. One that lists too soon
 * takes others for its hubs than those that start after it.
 */
const BOOTSTRAP_LIST_DELAY_MS = 800;

/**
 * @param parts What the mesh needs.
 * @returns The running mesh.
 */
export function startMesh(parts: MeshOptions): Mesh {
  const { self, table, factStore: board, clock, log } = parts;
  const links = createLinkSet(clock);
  const startedAtMs = clock.monotonicMs();
  const repair = createFactRepair(parts);
  const readSentAtMs = new Map<SourceTopic, number>();
  const linkOptions = {
    schema: vmMessageSchema,
    clock,
    isSelfContained: true,
    events: { onOpen, onMessage, onClose },
  };
  const dialer = createDialer({
    self,
    table,
    clock,
    log,
    links,
    seeds: parts.seeds,
    canDialSeeds: () =>
      discovery.hasListed() ||
      clock.monotonicMs() - startedAtMs >= listAfterMs + SEED_DIAL_DELAY_MS,
    dial: (address) => keepLink(address, linkOptions),
  });
  const views = createHubViews({
    ...parts,
    links,
    getTopology: dialer.getTopology,
    actsAsHub: dialer.actsAsHub,
  });
  const proofs = createProofSender({
    ...parts,
    links,
    isNeeded: parts.needsProofs,
    isRelay: () => dialer.actsAsHub(),
  });
  const payloads = createPayloadReceiver({
    ...parts,
    links,
    isRelay: () => !dialer.getTopology().isFullMesh && dialer.actsAsHub(),
  });
  /** What every linked VM was told of this one. */
  let reported: VmReport | undefined;
  const listAfterMs = parts.isFleetBootstrap ? BOOTSTRAP_LIST_DELAY_MS : 0;

  function onOpen(link: VmLink): void {
    links.add(link);
    const members = table.countKnown();
    link.send({ kind: "hello", identity: self, members });
    const report = { ...parts.makeReport(), ...proofs.makeRequest() };
    link.send({ kind: "report", ...report });
  }

  function onClose(link: VmLink, reason: string): void {
    const lost = links.remove(link);
    if (lost === undefined) return;
    table.recordDisconnect(lost.id);
    table.dropView(lost.id);
    log.info({ member: lost.id, peer: link.peer, reason }, "VM lost");
    views.scheduleChanges();
  }

  function onMessage(link: VmLink, message: VmMessage): void {
    const state = links.get(link);
    if (state === undefined) return;
    state.heardAtMs = clock.monotonicMs();
    if (message.kind === "hello") receiveHello(link, state, message);
    if (message.kind === "members") receiveMembers(message.members);
    if (message.kind === "want") sendTopic(link, message.topic);
    if (message.kind === "report") receiveReport(link, state, message);
    if (message.kind === "proof") proofs.receiveProof(link, message);
    if (message.kind === "read") receiveRead(state, message);
    if (message.kind === "view") receiveView(link, state, message);
    if (message.kind === "want_view") sendViewSnapshot(link, state);
    payloads.receive(link, state.identity, message);
  }

  function receiveHello(
    link: VmLink,
    state: LinkState,
    { identity, members }: Extract<VmMessage, { kind: "hello" }>,
  ): void {
    const before = table.get(identity.id)?.identity.incarnation;
    state.identity = identity;
    table.recordHello(identity);
    if (before !== identity.incarnation) {
      const { id, region, frontAddress } = identity;
      log.info({ member: id, region, frontAddress }, "VM found");
    }
    if (
      before === undefined && hasSettled() && dialer.getTopology().isFullMesh
    ) {
      links.send({ kind: "members", members: [identity] });
    }
    if (members < table.countKnown()) {
      link.send({ kind: "members", members: listIdentities() });
    }
    if (dialer.actsAsHub()) views.sendSnapshot(link, identity);
    parts.onFound(identity);
    dialer.scheduleUpdate();
    views.scheduleChanges();
  }

  function receiveView(
    link: VmLink,
    { identity }: LinkState,
    view: Extract<VmMessage, { kind: "view" }>,
  ): void {
    if (identity === undefined) return;
    const isKnown = table.applyView(identity.id, view);
    if (!isKnown) return link.send({ kind: "want_view" });
    if (view.up.length + view.gone.length === 0) return;
    dialer.scheduleUpdate();
    views.scheduleChanges();
  }

  function receiveMembers(members: readonly VmIdentity[]): void {
    const found = members.filter((identity) =>
      table.recordDiscovered(identity)
    );
    if (found.length > 0) dialer.updateLinks();
  }

  function receiveReport(
    link: VmLink,
    state: LinkState,
    message: Extract<VmMessage, { kind: "report" }>,
  ): void {
    if (state.identity === undefined) return;
    proofs.receiveRequest(link, message);
    const { id } = state.identity;
    const before = table.get(id)?.state;
    table.recordReport(id, message);
    const member = table.get(id);
    if (member?.state !== before) views.scheduleChanges();
    if (member?.report === undefined) return;
    for (const topic of TOPICS) {
      repair.compare(state.facts, topic, member.report.digests[topic]);
    }
  }

  function receiveRead(
    state: LinkState,
    { topic, digest, isOwn }: Extract<VmMessage, { kind: "read" }>,
  ): void {
    if (repair.compare(state.facts, topic, digest)) return;
    board.noteCurrent(topic, 0);
    // Told on once only: passed back and forth it would stay current for ever.
    if (isOwn && !dialer.getTopology().isFullMesh && dialer.actsAsHub()) {
      sendRead(topic, false);
    }
  }

  function sendTopic(link: VmLink, topic: Topic): void {
    link.send(makeTopicMessage(board, topic));
  }

  function sendViewSnapshot(link: VmLink, { identity }: LinkState): void {
    if (identity !== undefined) views.sendSnapshot(link, identity);
  }

  function listIdentities(): VmIdentity[] {
    return [self, ...table.listAlive().map((member) => member.identity)];
  }

  function hasSettled(): boolean {
    return clock.monotonicMs() - startedAtMs >= STARTUP_MS;
  }

  function reportNow(): void {
    const changed = diffReport(reported, parts.makeReport());
    links.send({ kind: "report", ...changed, ...proofs.makeRequest() });
    reported = mergeReport(reported, changed);
  }

  /** Tells that facts are current, though nothing changed. */
  function sendRead(topic: SourceTopic, isOwn: boolean): void {
    const nowMs = clock.monotonicMs();
    if (
      nowMs - (readSentAtMs.get(topic) ?? -Infinity) <
        MIN_READ_MESSAGE_INTERVAL_MS
    ) return;
    readSentAtMs.set(topic, nowMs);
    links.send({ kind: "read", topic, digest: board.getDigest(topic), isOwn });
  }

  /** In a large fleet hubs look for VMs, and who is linked to none. */
  function mayMissVms(): boolean {
    const topology = dialer.getTopology();
    return topology.isFullMesh || isHub(topology, self) || links.isEmpty();
  }

  acceptLinks(parts.server, linkOptions);
  const timer = clock.every(REPORT_INTERVAL_MS, () => {
    links.closeSilent();
    table.prune();
    dialer.updateLinks();
    reportNow();
    views.sendChanges();
  });
  const discovery = startDiscovery({
    ...parts,
    listAfterMs,
    countKnown: () => table.countKnown(),
    getEpoch: () => board.getEpoch("operations"),
    shouldList: mayMissVms,
    isAlone: links.isEmpty,
    onListed: (members) => {
      receiveMembers(members);
      dialer.updateLinks();
    },
  });

  return {
    broadcastFacts: (items) => links.send(makeFactMessage(board, items)),
    broadcastServerRateLimits: (rates) =>
      links.send({ kind: "server_rate_limits", rates }),
    announceRead(topic) {
      sendRead(topic, true);
      if (topic === "operations") proofs.sendProofs();
    },
    sendReport: reportNow,
    sendTo(vmIds, message) {
      const wanted = new Set(vmIds);
      links.sendWhere(message, ({ id }) => wanted.has(id));
    },
    getTopology: dialer.getTopology,
    getDemand: views.getDemand,
    hasListed: discovery.hasListed,
    stop() {
      timer.cancel();
      discovery.stop();
      dialer.stop();
      links.close();
    },
  };
}
