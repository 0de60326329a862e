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
import { type MemberTable, SILENCE_LIMIT_MS } from "./table.ts";
import type { VmIdentity, VmRegister, VmReport } from "./types.ts";

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
  /** Sends a message to some VMs. */
  sendTo(vmIds: readonly string[], message: VmMessage): void;
  stop(): void;
}

const REPORT_MS = 800;
/** Least pause between two messages that a topic is current. */
const READ_NEWS_MS = 250;
/** How often the register is asked for VMs while this one starts. */
const STARTING_LIST_MS = 2_000;
/** After that time VMs learn of new ones from each other. */
const STARTING_MS = 10_000;
const SETTLED_LIST_MS = 30_000;
const REGISTER_RETRY_MS = 1_000;

interface LinkState {
  /** The VM at the other end, once it said so. */
  id: string | undefined;
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
  /** What every linked VM was told of this one. */
  let told: VmReport | undefined;
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
    links.set(link, { id: undefined, heardAtMs, facts });
    const members = table.listKnown().length;
    link.send({ kind: "hello", identity: self, members });
    link.send({ kind: "report", ...parts.makeReport() });
  }

  function onClose(link: VmLink, reason: string): void {
    const state = links.get(link);
    links.delete(link);
    if (state?.id === undefined) return;
    const isLinked = [...links.values()].some(({ id }) => id === state.id);
    if (isLinked) return;
    table.noteSilent(state.id);
    log.info({ member: state.id, peer: link.peer, reason }, "VM lost");
  }

  function onMessage(link: VmLink, message: VmMessage): void {
    const state = links.get(link);
    if (state === undefined) return;
    state.heardAtMs = clock.monotonicMs();
    if (message.kind === "hello") receiveHello(link, state, message);
    if (message.kind === "members") receiveMembers(message.members);
    if (message.kind === "news") board.apply(message.items);
    if (message.kind === "want") sendTopic(link, message.topic);
    if (message.kind === "report") receiveReport(state, message);
    if (message.kind === "read") receiveRead(state, message);
    if (message.kind === "activity") receiveActivity(state, message);
  }

  function receiveHello(
    link: VmLink,
    state: LinkState,
    { identity, members }: Extract<VmMessage, { kind: "hello" }>,
  ): void {
    const before = table.get(identity.id)?.identity.incarnation;
    state.id = identity.id;
    table.noteHello(identity);
    if (before !== identity.incarnation) {
      const { id, region, frontAddress } = identity;
      log.info({ member: id, region, frontAddress }, "VM found");
    }
    if (before === undefined && hasSettled()) {
      send({ kind: "members", members: [identity] });
    }
    if (members < table.listKnown().length) {
      link.send({ kind: "members", members: listIdentities() });
    }
    parts.onFound(identity);
    dialMissing();
  }

  function receiveActivity(
    state: LinkState,
    message: Extract<VmMessage, { kind: "activity" }>,
  ): void {
    const { scope, asked, forgotten, running } = message;
    const activity = { asked, forgotten, running };
    const from = state.id === undefined ? undefined : table.get(state.id);
    if (from !== undefined) parts.onActivity(from.identity, scope, activity);
  }

  function receiveMembers(members: readonly VmIdentity[]): void {
    const found = members.filter((identity) => table.noteHeardOf(identity));
    if (found.length > 0) dialMissing();
  }

  function receiveReport(state: LinkState, parts: ReportParts): void {
    if (state.id === undefined) return;
    table.noteReport(state.id, parts);
    const report = table.get(state.id)?.report;
    if (report === undefined) return;
    for (const topic of TOPICS) {
      repair.compare(state.facts, topic, report.digests[topic]);
    }
  }

  function receiveRead(
    state: LinkState,
    { topic, digest }: Extract<VmMessage, { kind: "read" }>,
  ): void {
    const isLacking = repair.compare(state.facts, topic, digest);
    if (!isLacking) board.noteCurrent(topic, 0);
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
    for (const [link, { id }] of links) {
      if (id !== undefined && wanted.has(id)) {
        link.sendFrame(message.kind, frame);
      }
    }
  }

  function listIdentities(): VmIdentity[] {
    return [self, ...table.listAlive().map((member) => member.identity)];
  }

  /** Of two VMs the one with the lower address dials; seeds are dialed too. */
  function dialMissing(): void {
    if (stopped) return;
    const wanted = new Set(
      table.listKnown()
        .map((member) => member.identity.peerAddress)
        .filter((address) => self.peerAddress < address),
    );
    const isAlone = table.listAlive().length === 0;
    if (isAlone) parts.seeds.forEach((seed) => wanted.add(seed));
    wanted.delete(self.peerAddress);
    for (const address of wanted) {
      if (dialed.has(address)) continue;
      dialed.set(address, keepLink(address, options));
    }
    if (isAlone) return;
    for (const [address, link] of dialed) {
      if (wanted.has(address)) continue;
      link.close();
      dialed.delete(address);
    }
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
  function noteRead(topic: Topic): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (toldReadAtMs.get(topic) ?? -Infinity) < READ_NEWS_MS) return;
    toldReadAtMs.set(topic, nowMs);
    send({ kind: "read", topic, digest: board.getDigest(topic) });
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

  async function findMembers(): Promise<void> {
    if (stopped) return;
    try {
      receiveMembers(await register.list());
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "listing VMs failed");
    }
    clock.after(
      hasSettled() ? SETTLED_LIST_MS : STARTING_LIST_MS,
      () => void findMembers(),
    );
  }

  acceptLinks(parts.server, options);
  const timer = clock.every(REPORT_MS, () => {
    closeSilentLinks();
    table.prune();
    dialMissing();
    reportNow();
  });
  void registerSelf().then(findMembers);
  dialMissing();

  return {
    passOn: (items) => send({ kind: "news", items }),
    noteRead,
    reportNow,
    sendTo,
    stop() {
      stopped = true;
      timer.cancel();
      for (const link of dialed.values()) link.close();
      for (const link of links.keys()) link.close();
    },
  };
}
