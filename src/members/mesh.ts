/**
 * The mesh of links between VMs, which carries membership and facts.
 *
 * @module
 */
import type { Server } from "node:http";
import type { FactStore } from "../news/fact_store.ts";
import {
  type FactUpdate,
  type SourceTopic,
  type Topic,
  TOPICS,
} from "../news/types.ts";
import type { FreshnessTracker } from "../news/freshness.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RateLimitUpdate } from "../servers/rate_limits.ts";
import type { ReachabilityReport } from "../servers/reachability.ts";
import { acceptLinks, maintainLink } from "../runtime/peer_link.ts";
import type { Log } from "../telemetry/log.ts";
import { createDialer } from "./dialer.ts";
import { startDiscovery } from "./discovery.ts";
import { createHubViews } from "./hub_views.ts";
import { isHub, type Topology } from "./hubs.ts";
import { createLinkSet, type LinkState, type VmLink } from "./link_set.ts";
import { isFrequentMessage } from "./message_checks.ts";
import { ADDED_KINDS, type VmMessage, vmMessageSchema } from "./messages.ts";
import {
  createPayloadReceiver,
  makeFactMessages,
  makeTopicMessages,
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

/** Dependencies of a mesh. */
export interface MeshOptions extends PayloadListeners {
  self: VmIdentity;
  table: MemberTable;
  factStore: FactStore;
  freshness: FreshnessTracker;
  /** @returns Whether anything depends on the age of the knowledge. */
  needsProofs: () => boolean;
  registry: VmRegistry;
  clock: Clock;
  log: Log;
  /** Server that accepts links from other VMs. */
  server: Server;
  /** Peer addresses to start with; some may be down. */
  seeds: readonly string[];
  /** Whether all VMs of the fleet start together for the first time. */
  isFleetBootstrap: boolean;
  /** @returns The current report of this VM. */
  makeReport: () => VmReport;
  /**
   * Called for each hello.
   *
   * @param identity The VM that sent it.
   */
  onFound: (identity: VmIdentity) => void;
}

/** The mesh as seen by this VM. */
export interface Mesh {
  /**
   * Sends facts to all linked VMs.
   *
   * @param items The facts.
   */
  broadcastFacts(items: FactUpdate[]): void;
  /**
   * Sends rate limits of backend servers to all linked VMs.
   *
   * @param rates The rate limits.
   */
  broadcastServerRateLimits(rates: RateLimitUpdate[]): void;
  /**
   * Sends reports about backend servers that don't respond to all linked VMs
   * that understand them.
   *
   * @param reports The reports.
   */
  broadcastUnreachableServers(reports: ReachabilityReport[]): void;
  /**
   * Announces to all linked VMs that this VM just read a topic from its source.
   *
   * @param topic The topic.
   */
  announceRead(topic: SourceTopic): void;
  /** Sends a report of this VM now, ahead of the next interval. */
  sendReport(): void;
  /**
   * Sends a message to those of some VMs that are linked.
   *
   * @param vmIds The ids of the VMs.
   * @param message The message.
   */
  sendTo(vmIds: readonly string[], message: VmMessage): void;
  /** @returns The link topology. */
  getTopology(): Topology;
  /**
   * @returns Demand of the clients of all VMs, in requests a second; undefined in
   *   a full mesh, where VMs report to each other directly, or before the first
   *   view of a hub.
   */
  getDemand(): DemandByRegion | undefined;
  /** @returns Whether the first list of the registry has completed. */
  hasListed(): boolean;
  /** Stops reports, discovery and dialing, and closes all links. */
  stop(): void;
}

const REPORT_INTERVAL_MS = 800;
/** Minimum interval between two `read` messages of a topic. */
const MIN_READ_MESSAGE_INTERVAL_MS = 250;
/** Minimum interval between two answers to the same question of a VM. */
const MIN_REPLY_INTERVAL_MS = 100;
/** After this time newly found VMs are announced to all linked VMs. */
const STARTUP_MS = 5_000;
/** Seeds are dialed if the registry has not answered within this time. */
const SEED_DIAL_DELAY_MS = 500;
/**
 * VMs that start together have all registered within this time. A VM that lists
 * earlier would choose other hubs than those that start after it.
 */
const BOOTSTRAP_LIST_DELAY_MS = 800;

/**
 * Starts the mesh.
 *
 * @param options Its dependencies.
 * @returns The running mesh.
 */
export function startMesh(options: MeshOptions): Mesh {
  const { self, table, factStore, clock, log } = options;
  const links = createLinkSet(clock);
  const startedAtMs = clock.monotonicMs();
  const repair = createFactRepair(options);
  const readSentAtMs = new Map<SourceTopic, number>();
  const linkOptions = {
    schema: vmMessageSchema,
    quickCheck: isFrequentMessage,
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
    seeds: options.seeds,
    canDialSeeds: () =>
      discovery.hasListed() ||
      clock.monotonicMs() - startedAtMs >= listAfterMs + SEED_DIAL_DELAY_MS,
    dial: (address) => maintainLink(address, linkOptions),
  });
  const views = createHubViews({
    ...options,
    links,
    getTopology: dialer.getTopology,
    actsAsHub: dialer.actsAsHub,
  });
  const proofs = createProofSender({
    ...options,
    links,
    isNeeded: options.needsProofs,
    isRelay: () => dialer.actsAsHub(),
  });
  const payloads = createPayloadReceiver({
    ...options,
    links,
    isRelay: () => !dialer.getTopology().isFullMesh && dialer.actsAsHub(),
  });
  /** The report as all linked VMs have it. */
  let reported: VmReport | undefined;
  const listAfterMs = options.isFleetBootstrap ? BOOTSTRAP_LIST_DELAY_MS : 0;

  function onOpen(link: VmLink): void {
    links.add(link);
    const members = table.countKnown();
    const understands = [...ADDED_KINDS];
    link.send({ kind: "hello", identity: self, members, understands });
    const report = { ...options.makeReport(), ...proofs.makeRequest() };
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
    if (message.kind === "want") sendTopic(link, state, message.topic);
    if (message.kind === "report") receiveReport(link, state, message);
    if (message.kind === "proof") proofs.receiveProof(link, message);
    if (message.kind === "read") receiveRead(state, message);
    if (message.kind === "view") receiveView(link, state, message);
    if (message.kind === "want_view") sendViewSnapshot(link, state);
    payloads.receive(link, state.identity, message);
  }

  /** Whether a reply that is large is due; a peer may ask for it all the time. */
  function mayReply(state: LinkState, name: string): boolean {
    const nowMs = clock.monotonicMs();
    const lastMs = state.repliedAtMs.get(name) ?? -Infinity;
    if (nowMs - lastMs < MIN_REPLY_INTERVAL_MS) return false;
    state.repliedAtMs.set(name, nowMs);
    return true;
  }

  function receiveHello(
    link: VmLink,
    state: LinkState,
    { identity, members, understands }: Extract<VmMessage, { kind: "hello" }>,
  ): void {
    if (state.identity !== undefined) {
      log.warn({ member: state.identity.id, peer: link.peer }, "second hello");
      return link.close();
    }
    const before = table.get(identity.id)?.identity.incarnation;
    state.identity = identity;
    state.understands = new Set(understands);
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
    options.onFound(identity);
    dialer.scheduleUpdate();
    views.scheduleChanges();
  }

  function receiveView(
    link: VmLink,
    { identity }: LinkState,
    view: Extract<VmMessage, { kind: "view" }>,
  ): void {
    if (identity === undefined) return;
    const isApplied = table.applyView(identity.id, view);
    if (!isApplied) return link.send({ kind: "want_view" });
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
    message: Extract<VmMessage, { kind: "read" }>,
  ): void {
    if (!repair.recordRead(state.facts, message)) return;
    const { topic, isOwn } = message;
    // Forwarded only once: sent back and forth, it would keep the topic current
    // forever.
    if (isOwn && !dialer.getTopology().isFullMesh && dialer.actsAsHub()) {
      sendRead(topic, false);
    }
  }

  function sendTopic(link: VmLink, state: LinkState, topic: Topic): void {
    if (!mayReply(state, topic)) return;
    makeTopicMessages(factStore, topic).forEach(link.send);
  }

  function sendViewSnapshot(link: VmLink, state: LinkState): void {
    const { identity } = state;
    if (identity === undefined || !mayReply(state, "view")) return;
    views.sendSnapshot(link, identity);
  }

  function listIdentities(): VmIdentity[] {
    return [self, ...table.listAlive().map((member) => member.identity)];
  }

  function hasSettled(): boolean {
    return clock.monotonicMs() - startedAtMs >= STARTUP_MS;
  }

  function sendReport(): void {
    const changed = diffReport(reported, options.makeReport());
    links.send({ kind: "report", ...changed, ...proofs.makeRequest() });
    reported = mergeReport(reported, changed);
  }

  /** Announces that a topic is current, even if nothing changed. */
  function sendRead(topic: SourceTopic, isOwn: boolean): void {
    const nowMs = clock.monotonicMs();
    if (
      nowMs - (readSentAtMs.get(topic) ?? -Infinity) <
        MIN_READ_MESSAGE_INTERVAL_MS
    ) return;
    readSentAtMs.set(topic, nowMs);
    links.send({
      kind: "read",
      topic,
      digest: factStore.getDigest(topic),
      isOwn,
      readPositions: factStore.listReadPositions(topic),
    });
  }

  /** In a large fleet only hubs and VMs without a link use the registry. */
  function mayMissVms(): boolean {
    const topology = dialer.getTopology();
    return topology.isFullMesh || isHub(topology, self) || links.isEmpty();
  }

  acceptLinks(options.server, linkOptions);
  const timer = clock.every(REPORT_INTERVAL_MS, () => {
    links.closeSilent();
    table.prune();
    dialer.updateLinks();
    sendReport();
    views.sendChanges();
  });
  const discovery = startDiscovery({
    ...options,
    listAfterMs,
    countKnown: () => table.countKnown(),
    getEpoch: () => factStore.getLatestEpoch("operations"),
    shouldList: mayMissVms,
    isAlone: links.isEmpty,
    onListed: (members) => {
      receiveMembers(members);
      dialer.updateLinks();
    },
  });

  return {
    broadcastFacts: (items) =>
      makeFactMessages(factStore, items).forEach(links.send),
    broadcastServerRateLimits: (rates) =>
      links.send({ kind: "server_rate_limits", rates }),
    broadcastUnreachableServers: (reports) =>
      links.sendIfUnderstood({ kind: "unreachable_servers", reports }),
    announceRead(topic) {
      sendRead(topic, true);
      if (topic === "operations") proofs.sendProofs();
    },
    sendReport,
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
