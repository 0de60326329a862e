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
import type { RateLimitUpdate } from "../servers/rate_limits.ts";
import { acceptLinks, keepLink } from "../runtime/peer_link.ts";
import type { Log } from "../telemetry/log.ts";
import { createDialing } from "./dialing.ts";
import { startDiscovery } from "./discovery.ts";
import { createHubViews } from "./hub_views.ts";
import { isHub, type Topology } from "./hubs.ts";
import { createLinkSet, type LinkState, type VmLink } from "./link_set.ts";
import { type VmMessage, vmMessageSchema } from "./messages.ts";
import {
  createPayloadReceiver,
  makeNewsMessage,
  makeTopicMessage,
  type PayloadListeners,
} from "./payloads.ts";
import { createProofTeller } from "./proofs.ts";
import { createFactRepair } from "./repair.ts";
import { mergeParts, pickChangedParts } from "./report_parts.ts";
import type { MemberTable } from "./table.ts";
import type {
  DemandByRegion,
  VmIdentity,
  VmRegister,
  VmReport,
} from "./types.ts";

/** What a mesh needs. */
export interface MeshParts extends PayloadListeners {
  self: VmIdentity;
  table: MemberTable;
  board: NewsBoard;
  knowledge: Knowledge;
  /** Whether anything hangs on how old knowledge is. */
  needsProofs: () => boolean;
  register: VmRegister;
  clock: Clock;
  log: Log;
  /** Server that accepts links of other VMs. */
  server: Server;
  /** Peer addresses to begin with; some may be down. */
  seeds: readonly string[];
  /** Whether all VMs start now, for the first time. */
  startsWithAll: boolean;
  /** What this VM tells of itself. */
  makeReport: () => VmReport;
  /** Told of each VM that says who it is. */
  onFound: (identity: VmIdentity) => void;
}

/** The links of this VM. */
export interface Mesh {
  /** Passes facts on to every VM that is linked. */
  passOn(items: NewsItem[]): void;
  /** Tells every VM that is linked of rate limits of servers. */
  tellServerRateLimits(rates: RateLimitUpdate[]): void;
  /** Tells every VM that this one read a topic from its source. */
  noteRead(topic: SourceTopic): void;
  /** Tells every VM how this one is, now. */
  reportNow(): void;
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

const REPORT_MS = 800;
/** Least pause between two messages that a topic is current. */
const READ_NEWS_MS = 250;
/** After that time a VM that is found is told of to all. */
const STARTING_MS = 5_000;
/** Seeds are dialed where the register has not answered by then. */
const SEEDS_AFTER_MS = 500;
/**
 * VMs that start together have all registered by then. One that lists too soon
 * takes others for its hubs than those that start after it.
 */
const FIRST_LIST_MS = 800;

/**
 * @param parts What the mesh needs.
 * @returns The running mesh.
 */
export function startMesh(parts: MeshParts): Mesh {
  const { self, table, board, clock, log } = parts;
  const links = createLinkSet(clock);
  const startedAtMs = clock.monotonicMs();
  const repair = createFactRepair(parts);
  const toldReadAtMs = new Map<SourceTopic, number>();
  const options = {
    schema: vmMessageSchema,
    clock,
    isSelfContained: true,
    events: { onOpen, onMessage, onClose },
  };
  const dialing = createDialing({
    self,
    table,
    clock,
    log,
    links,
    seeds: parts.seeds,
    isSeedTime: () =>
      discovery.hasListed() ||
      clock.monotonicMs() - startedAtMs >= listAfterMs + SEEDS_AFTER_MS,
    dial: (address) => keepLink(address, options),
  });
  const views = createHubViews({
    ...parts,
    links,
    getTopology: dialing.getTopology,
    actsAsHub: dialing.actsAsHub,
  });
  const proofs = createProofTeller({
    ...parts,
    links,
    isNeeded: parts.needsProofs,
    isRelay: () => dialing.actsAsHub(),
  });
  const payloads = createPayloadReceiver({
    ...parts,
    links,
    isRelay: () => !dialing.getTopology().isFullMesh && dialing.actsAsHub(),
  });
  /** What every linked VM was told of this one. */
  let told: VmReport | undefined;
  const listAfterMs = parts.startsWithAll ? FIRST_LIST_MS : 0;

  function onOpen(link: VmLink): void {
    links.add(link);
    const members = table.countKnown();
    link.send({ kind: "hello", identity: self, members });
    const report = { ...parts.makeReport(), ...proofs.makeQuestion() };
    link.send({ kind: "report", ...report });
  }

  function onClose(link: VmLink, reason: string): void {
    const lost = links.remove(link);
    if (lost === undefined) return;
    table.noteSilent(lost.id);
    table.dropView(lost.id);
    log.info({ member: lost.id, peer: link.peer, reason }, "VM lost");
    views.tellSoon();
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
    if (message.kind === "want_view") sendWholeView(link, state);
    payloads.receive(link, state.identity, message);
  }

  function receiveHello(
    link: VmLink,
    state: LinkState,
    { identity, members }: Extract<VmMessage, { kind: "hello" }>,
  ): void {
    const before = table.get(identity.id)?.identity.incarnation;
    state.identity = identity;
    table.noteHello(identity);
    if (before !== identity.incarnation) {
      const { id, region, frontAddress } = identity;
      log.info({ member: id, region, frontAddress }, "VM found");
    }
    if (
      before === undefined && hasSettled() && dialing.getTopology().isFullMesh
    ) {
      links.send({ kind: "members", members: [identity] });
    }
    if (members < table.countKnown()) {
      link.send({ kind: "members", members: listIdentities() });
    }
    if (dialing.actsAsHub()) views.sendAll(link, identity);
    parts.onFound(identity);
    dialing.lookSoon();
    views.tellSoon();
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
    dialing.lookSoon();
    views.tellSoon();
  }

  function receiveMembers(members: readonly VmIdentity[]): void {
    const found = members.filter((identity) => table.noteHeardOf(identity));
    if (found.length > 0) dialing.look();
  }

  function receiveReport(
    link: VmLink,
    state: LinkState,
    message: Extract<VmMessage, { kind: "report" }>,
  ): void {
    if (state.identity === undefined) return;
    proofs.receiveQuestion(link, message);
    const { id } = state.identity;
    const before = table.get(id)?.state;
    table.noteReport(id, message);
    const member = table.get(id);
    if (member?.state !== before) views.tellSoon();
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
    if (isOwn && !dialing.getTopology().isFullMesh && dialing.actsAsHub()) {
      tellRead(topic, false);
    }
  }

  function sendTopic(link: VmLink, topic: Topic): void {
    link.send(makeTopicMessage(board, topic));
  }

  function sendWholeView(link: VmLink, { identity }: LinkState): void {
    if (identity !== undefined) views.sendAll(link, identity);
  }

  function listIdentities(): VmIdentity[] {
    return [self, ...table.listAlive().map((member) => member.identity)];
  }

  function hasSettled(): boolean {
    return clock.monotonicMs() - startedAtMs >= STARTING_MS;
  }

  function reportNow(): void {
    const changed = pickChangedParts(told, parts.makeReport());
    links.send({ kind: "report", ...changed, ...proofs.makeQuestion() });
    told = mergeParts(told, changed);
  }

  /** Tells that facts are current, though nothing changed. */
  function tellRead(topic: SourceTopic, isOwn: boolean): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (toldReadAtMs.get(topic) ?? -Infinity) < READ_NEWS_MS) return;
    toldReadAtMs.set(topic, nowMs);
    links.send({ kind: "read", topic, digest: board.getDigest(topic), isOwn });
  }

  /** In a large fleet hubs look for VMs, and who is linked to none. */
  function mayKnowTooFew(): boolean {
    const topology = dialing.getTopology();
    return topology.isFullMesh || isHub(topology, self) || links.isEmpty();
  }

  acceptLinks(parts.server, options);
  const timer = clock.every(REPORT_MS, () => {
    links.closeSilent();
    table.prune();
    dialing.look();
    reportNow();
    views.tell();
  });
  const discovery = startDiscovery({
    ...parts,
    listAfterMs,
    countKnown: () => table.countKnown(),
    getEpoch: () => board.getEpoch("operations"),
    isWanted: mayKnowTooFew,
    isAlone: links.isEmpty,
    onListed: (members) => {
      receiveMembers(members);
      dialing.look();
    },
  });

  return {
    passOn: (items) => links.send(makeNewsMessage(board, items)),
    tellServerRateLimits: (rates) =>
      links.send({ kind: "server_rate_limits", rates }),
    noteRead(topic) {
      tellRead(topic, true);
      if (topic === "operations") proofs.tell();
    },
    reportNow,
    sendTo(vmIds, message) {
      const wanted = new Set(vmIds);
      links.sendWhere(message, ({ id }) => wanted.has(id));
    },
    getTopology: dialing.getTopology,
    getDemand: views.getDemand,
    hasListed: discovery.hasListed,
    stop() {
      timer.cancel();
      discovery.stop();
      dialing.stop();
      links.close();
    },
  };
}
