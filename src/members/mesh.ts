/**
 * Links between VMs: who is up, and facts passed on.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Activity, ActivityScope } from "../activity/types.ts";
import type { NewsBoard } from "../news/board.ts";
import { type NewsItem, type Topic, TOPICS } from "../news/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import {
  acceptLinks,
  type DialedLink,
  encodeBroadcast,
  keepLink,
  type PeerLink,
} from "../runtime/peer_link.ts";
import type { Log } from "../telemetry/log.ts";
import { type VmMessage, vmMessageSchema } from "./messages.ts";
import { createFactRepair, type FactPeer } from "./repair.ts";
import {
  mergeParts,
  pickChangedParts,
  type ReportParts,
} from "./report_parts.ts";
import { sumDemands } from "./demand.ts";
import {
  arrange,
  isHub,
  listLinked,
  MAX_FULL_MESH_VMS,
  type Topology,
} from "./hubs.ts";
import { type Member, type MemberTable, SILENCE_LIMIT_MS } from "./table.ts";
import type {
  DemandByRegion,
  VmIdentity,
  VmRegister,
  VmReport,
} from "./types.ts";
import { createViewTeller, type ToldVm } from "./view_teller.ts";

type VmLink = PeerLink<VmMessage>;

/** What a mesh needs. */
export interface MeshParts {
  self: VmIdentity;
  table: MemberTable;
  board: NewsBoard;
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
  /** Told of what other VMs do at backend servers. */
  onActivity: (
    from: VmIdentity,
    scope: ActivityScope,
    activity: Activity,
  ) => void;
}

/** The links of this VM. */
export interface Mesh {
  /** Passes facts on to every VM that is linked. */
  passOn(items: NewsItem[]): void;
  /** Tells every VM that this one read a topic from its source. */
  noteRead(topic: Topic): void;
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
/** Pause in which a hub gathers changes of VMs, so that they come in batches. */
const VIEW_PAUSE_MS = 100;
/** Pause in which VMs that were found gather before links are looked at. */
const DIAL_PAUSE_MS = 50;
/** How often the register is asked for VMs while this one starts. */
const STARTING_LIST_MS = 2_000;
/** After that time VMs learn of new ones from each other. */
const STARTING_MS = 5_000;
const SETTLED_LIST_MS = 30_000;
const REGISTER_RETRY_MS = 1_000;
/**
 * VMs that start together have all registered by then. One that lists too soon
 * takes others for its hubs than those that start after it.
 */
const FIRST_LIST_MS = 800;
/** Seeds are dialed where the register has not answered by then. */
const SEEDS_AFTER_MS = 500;
/** A hub that can't be reached for this long is given up, for a while. */
const UNREACHABLE_MS = 1_500;
const GIVEN_UP_MS = 10_000;

interface LinkState {
  /** The VM at the other end, once it said so. */
  identity: VmIdentity | undefined;
  heardAtMs: number;
  /** The VM as one to compare facts with. */
  facts: FactPeer;
}

/**
 * @param parts What the mesh needs.
 * @returns The running mesh.
 */
export function startMesh(parts: MeshParts): Mesh {
  const { self, table, board, register, clock, log } = parts;
  const links = new Map<VmLink, LinkState>();
  const dialed = new Map<string, DialedLink>();
  const startedAtMs = clock.monotonicMs();
  const repair = createFactRepair(parts);
  const toldReadAtMs = new Map<Topic, number>();
  const reach = createReach(clock);
  /** For VMs of this region: all VMs. For hubs: those that are linked here. */
  const fleetTeller = createViewTeller("fleet");
  const linkedTeller = createViewTeller("linked");
  /** What every linked VM was told of this one. */
  let told: VmReport | undefined;
  let topology = arrange([self]);
  const listAfterMs = parts.startsWithAll ? FIRST_LIST_MS : 0;
  let hasListed = false;
  let isViewDue = false;
  let isDialDue = false;
  let stopped = false;

  const options = {
    schema: vmMessageSchema,
    clock,
    isSelfContained: true,
    events: { onOpen, onMessage, onClose },
  };

  function onOpen(link: VmLink): void {
    const heardAtMs = clock.monotonicMs();
    const facts: FactPeer = {
      peer: link.peer,
      ask: (topic) => link.send({ kind: "want", topic }),
    };
    links.set(link, { identity: undefined, heardAtMs, facts });
    const members = table.listKnown().length;
    link.send({ kind: "hello", identity: self, members });
    link.send({ kind: "report", ...parts.makeReport() });
  }

  function onClose(link: VmLink, reason: string): void {
    const id = links.get(link)?.identity?.id;
    links.delete(link);
    if (id === undefined || isLinked(id)) return;
    table.noteSilent(id);
    table.dropView(id);
    log.info({ member: id, peer: link.peer, reason }, "VM lost");
    tellViewSoon();
  }

  function onMessage(link: VmLink, message: VmMessage): void {
    const state = links.get(link);
    if (state === undefined) return;
    state.heardAtMs = clock.monotonicMs();
    if (message.kind === "hello") receiveHello(link, state, message);
    if (message.kind === "members") receiveMembers(message.members);
    if (message.kind === "news") receiveNews(link, message.items);
    if (message.kind === "want") sendTopic(link, message.topic);
    if (message.kind === "report") receiveReport(state, message);
    if (message.kind === "read") receiveRead(state, message);
    if (message.kind === "view") receiveView(link, state, message);
    if (message.kind === "want_view") sendView(link, state);
    if (message.kind === "activity") receiveActivity(state, message);
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
    if (before === undefined && hasSettled() && topology.isFullMesh) {
      send({ kind: "members", members: [identity] });
    }
    if (members < table.listKnown().length) {
      link.send({ kind: "members", members: listIdentities() });
    }
    if (actsAsHub()) sendView(link, state);
    parts.onFound(identity);
    dialSoon();
    tellViewSoon();
  }

  /** Facts reach VMs that only hubs are linked to by way of these. */
  function receiveNews(from: VmLink, items: NewsItem[]): void {
    const news = board.apply(items);
    if (news.length === 0 || topology.isFullMesh || !actsAsHub()) return;
    sendTo(listLinkedIds((_, link) => link !== from), {
      kind: "news",
      items: news,
    });
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
    dialSoon();
    tellViewSoon();
  }

  function receiveActivity(
    { identity }: LinkState,
    message: Extract<VmMessage, { kind: "activity" }>,
  ): void {
    const { scope, asked, forgotten, running } = message;
    if (identity === undefined) return;
    parts.onActivity(identity, scope, { asked, forgotten, running });
  }

  function receiveMembers(members: readonly VmIdentity[]): void {
    const found = members.filter((identity) => table.noteHeardOf(identity));
    if (found.length > 0) dialMissing();
  }

  function receiveReport(state: LinkState, parts: ReportParts): void {
    if (state.identity === undefined) return;
    const { id } = state.identity;
    const before = table.get(id)?.state;
    table.noteReport(id, parts);
    const member = table.get(id);
    if (member?.state !== before) tellViewSoon();
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
    if (isOwn && !topology.isFullMesh && actsAsHub()) tellRead(topic, false);
  }

  function sendTopic(link: VmLink, topic: Topic): void {
    link.send({ kind: "news", items: board.listTopic(topic) });
  }

  /**
   * Sends on every link, also where a VM has two or has not said yet who it
   * is: one of two may be closing, and what a new link missed would be taken
   * for known.
   */
  function send(message: VmMessage): void {
    const frame = encodeBroadcast(message);
    for (const link of links.keys()) link.sendFrame(message.kind, frame);
  }

  function sendTo(vmIds: readonly string[], message: VmMessage): void {
    const frame = encodeBroadcast(message);
    const wanted = new Set(vmIds);
    for (const [link, { identity }] of links) {
      if (identity !== undefined && wanted.has(identity.id)) {
        link.sendFrame(message.kind, frame);
      }
    }
  }

  function listLinkedIds(
    isWanted: (identity: VmIdentity, link: VmLink) => boolean,
  ): string[] {
    return [...links].flatMap(([link, { identity }]) =>
      identity !== undefined && isWanted(identity, link) ? [identity.id] : []
    );
  }

  function isLinked(id: string): boolean {
    return [...links.values()].some(({ identity }) => identity?.id === id);
  }

  /** A VM that others of its region take for their hub is one. */
  function actsAsHub(): boolean {
    if (topology.isFullMesh) return false;
    return isHub(topology, self) ||
      [...links.values()].some(({ identity }) =>
        identity?.region === self.region && !isHub(topology, identity)
      );
  }

  function sendView(link: VmLink, { identity }: LinkState): void {
    if (identity === undefined) return;
    const isMember = identity.region === self.region &&
      !isHub(topology, identity);
    const teller = isMember ? fleetTeller : linkedTeller;
    link.send({ kind: "view", ...teller.tellAll() });
  }

  /** Members hear of all VMs, hubs of those that only this one may know. */
  function tellView(): void {
    isViewDue = false;
    if (stopped || !actsAsHub()) return;
    const own = { identity: self, state: parts.makeReport().state };
    const demandPerS = sumLinkedDemand();
    const linked = linkedTeller.update(
      [own, ...listTold(table.listLinked())],
      demandPerS,
    );
    const all = fleetTeller.update(
      [own, ...listTold(table.listVouched())],
      sumDemands([demandPerS, ...table.listDemands("linked")]),
    );
    const isMember = (identity: VmIdentity) =>
      identity.region === self.region && !isHub(topology, identity);
    sendTo(listLinkedIds(isMember), { kind: "view", ...all });
    sendTo(listLinkedIds((identity) => !isMember(identity)), {
      kind: "view",
      ...linked,
    });
  }

  function tellViewSoon(): void {
    if (isViewDue || !actsAsHub()) return;
    isViewDue = true;
    clock.after(VIEW_PAUSE_MS, tellView);
  }

  /** The first hub of a region sums up, so that no demand counts twice. */
  function sumLinkedDemand(): DemandByRegion {
    const [first] = topology.hubs.get(self.region) ?? [];
    if (first?.id !== self.id) return {};
    const reports = table.listLinked()
      .filter(({ identity }) => identity.region === self.region)
      .map(({ report }) => report?.demandPerS ?? {});
    const own = parts.makeReport().demandPerS;
    return sumDemands(
      [own, ...reports].map((demandPerS) => ({ [self.region]: demandPerS })),
    );
  }

  /** Hubs sum up what hubs tell; other VMs are told the sum. */
  function getDemand(): DemandByRegion | undefined {
    if (topology.isFullMesh) return undefined;
    if (!isHub(topology, self)) return table.listDemands("fleet")[0];
    return sumDemands([sumLinkedDemand(), ...table.listDemands("linked")]);
  }

  function listIdentities(): VmIdentity[] {
    return [self, ...table.listAlive().map((member) => member.identity)];
  }

  /** Hubs that can't be reached are left out for a while. */
  function listPossible(): VmIdentity[] {
    const possible = table.listPossible();
    return [self, ...possible.filter(({ id }) => !reach.isGivenUp(id))];
  }

  function updateTopology(): void {
    const wasHub = isHub(topology, self);
    const wasFullMesh = topology.isFullMesh;
    const known = table.listKnown().length + 1;
    topology = known <= MAX_FULL_MESH_VMS
      ? arrange([self, ...table.listKnown().map(({ identity }) => identity)])
      : arrange(listPossible(), false);
    if (
      wasHub === isHub(topology, self) && wasFullMesh === topology.isFullMesh
    ) return;
    const { isFullMesh } = topology;
    log.info(
      { isFullMesh, isHub: isHub(topology, self), known },
      "links arranged",
    );
  }

  /**
   * Of two hubs the one with the lower address dials; VMs that are no hubs dial
   * theirs. While no other VM is known, seeds are dialed.
   */
  function dialMissing(): void {
    isDialDue = false;
    if (stopped) return;
    updateTopology();
    const wanted = new Set<string>();
    for (const target of listLinked(topology, self, actsAsHub())) {
      if (!topology.isFullMesh) reach.note(target.id, isLinked(target.id));
      const isOwnTurn = self.peerAddress < target.peerAddress ||
        !topology.isFullMesh &&
          (!isHub(topology, self) || reach.isOverdue(target.id));
      if (isOwnTurn) wanted.add(target.peerAddress);
    }
    const isAlone = table.listAlive().length === 0;
    const isSeedTime = hasListed ||
      clock.monotonicMs() - startedAtMs >= listAfterMs + SEEDS_AFTER_MS;
    if (isAlone && isSeedTime) parts.seeds.forEach((seed) => wanted.add(seed));
    wanted.delete(self.peerAddress);
    for (const address of wanted) {
      if (dialed.has(address)) continue;
      dialed.set(address, keepLink(address, options));
    }
    if (isAlone || !topology.isFullMesh && isAnyMissing()) return;
    for (const [address, link] of dialed) {
      if (wanted.has(address)) continue;
      link.close();
      dialed.delete(address);
    }
  }

  /** Of many VMs that are found at once, one look at the links is enough. */
  function dialSoon(): void {
    if (isDialDue) return;
    isDialDue = true;
    clock.after(DIAL_PAUSE_MS, dialMissing);
  }

  /** Former hubs are kept until all new ones are linked. */
  function isAnyMissing(): boolean {
    return listLinked(topology, self, actsAsHub())
      .some(({ id }) => !isLinked(id));
  }

  function hasSettled(): boolean {
    return clock.monotonicMs() - startedAtMs >= STARTING_MS;
  }

  function reportNow(): void {
    const changed = pickChangedParts(told, parts.makeReport());
    send({ kind: "report", ...changed });
    told = mergeParts(told, changed);
  }

  /** Tells that facts are current, though nothing changed. */
  function tellRead(topic: Topic, isOwn: boolean): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (toldReadAtMs.get(topic) ?? -Infinity) < READ_NEWS_MS) return;
    toldReadAtMs.set(topic, nowMs);
    send({ kind: "read", topic, digest: board.getDigest(topic), isOwn });
  }

  function closeSilentLinks(): void {
    const limitMs = clock.monotonicMs() - SILENCE_LIMIT_MS;
    for (const [link, state] of links) {
      if (state.heardAtMs < limitMs) link.close();
    }
  }

  async function registerSelf(): Promise<void> {
    if (stopped) return;
    try {
      await register.register(self);
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "registering failed");
      clock.after(REGISTER_RETRY_MS, () => void registerSelf());
    }
  }

  /** In a large fleet hubs look for VMs, and who is linked to none. */
  function mayKnowTooFew(): boolean {
    return topology.isFullMesh || isHub(topology, self) || links.size === 0;
  }

  async function findMembers(): Promise<void> {
    if (stopped) return;
    try {
      if (mayKnowTooFew()) receiveMembers(await register.list());
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "listing VMs failed");
    }
    hasListed = true;
    dialMissing();
    clock.after(
      hasSettled() && links.size > 0 ? SETTLED_LIST_MS : STARTING_LIST_MS,
      () => void findMembers(),
    );
  }

  acceptLinks(parts.server, options);
  const timer = clock.every(REPORT_MS, () => {
    closeSilentLinks();
    table.prune();
    dialMissing();
    reportNow();
    tellView();
  });
  void registerSelf().then(() => clock.after(listAfterMs, findMembers));

  return {
    passOn: (items) => send({ kind: "news", items }),
    noteRead: (topic) => tellRead(topic, true),
    reportNow,
    sendTo,
    getTopology: () => topology,
    getDemand,
    hasListed: () => hasListed,
    stop() {
      stopped = true;
      timer.cancel();
      for (const link of dialed.values()) link.close();
      for (const link of links.keys()) link.close();
    },
  };
}

function listTold(members: readonly Member[]): ToldVm[] {
  return members.flatMap(({ identity, state }) =>
    state === undefined ? [] : [{ identity, state }]
  );
}

/** Follows which wanted links are missing, and for how long. */
function createReach(clock: Clock) {
  const missingSinceMs = new Map<string, number>();
  const givenUpAtMs = new Map<string, number>();

  function getMissingMs(id: string): number {
    const sinceMs = missingSinceMs.get(id);
    return sinceMs === undefined ? 0 : clock.monotonicMs() - sinceMs;
  }

  return {
    note(id: string, isLinked: boolean): void {
      if (isLinked) {
        missingSinceMs.delete(id);
        givenUpAtMs.delete(id);
        return;
      }
      if (!missingSinceMs.has(id)) {
        missingSinceMs.set(id, clock.monotonicMs());
      }
      if (getMissingMs(id) < UNREACHABLE_MS) return;
      givenUpAtMs.set(id, clock.monotonicMs());
      missingSinceMs.delete(id);
    },
    isOverdue: (id: string) => getMissingMs(id) > UNREACHABLE_MS / 2,
    isGivenUp(id: string): boolean {
      const atMs = givenUpAtMs.get(id);
      return atMs !== undefined && clock.monotonicMs() - atMs < GIVEN_UP_MS;
    },
  };
}
