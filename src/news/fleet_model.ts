/**
 * A model of VMs that learn facts from a source and from each other, for tests:
 * calls and messages are slow, late or lost, VMs are cut off, frozen and killed,
 * and the source is restored from a copy.
 *
 * @module
 */
import {
  makeConfiguration,
  makeRoute,
  makeServer,
} from "../gateway/fixture.ts";
import {
  type AnnouncedRead,
  createFactRepair,
  type FactPeer,
} from "../members/repair.ts";
import { type FakeClock, pause, type Timer } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createFactStore, type FactStore } from "./fact_store.ts";
import { DEFAULT_READER_TIMINGS, type Reader, startReader } from "./reader.ts";
import {
  CONFIGURATION_KEY,
  type Fact,
  FactSource,
  type FactUpdate,
  type FollowResult,
  SOURCE_TOPICS,
  type SourceBatch,
  type SourceTopic,
} from "./types.ts";

const SERVERS = 6;
const MAX_CALL_MS = 400;
const LATE_SHARE = 0.2;
const REPORT_INTERVAL_MS = 800;
/** Age of facts from which a VM without read duty reads them itself. */
const FALLBACK_AGE_MS = 1_500;
const log = createSilentLog();

export interface StoredRow {
  topic: SourceTopic;
  version: number;
  fact: Fact | undefined;
  atMs: number;
}

/**
 * A source that is restored from a copy. Some of its answers come late, even from
 * before a restore.
 */
export class RestoredSource extends FactSource {
  rows = new Map<string, StoredRow>();
  counter = 0;
  epoch = 1;
  isDown = false;
  readonly #clock: FakeClock;
  readonly #random: Random;

  constructor(clock: FakeClock, random: Random) {
    super();
    this.#clock = clock;
    this.#random = random;
  }

  put(topic: SourceTopic, key: string, fact: Fact | undefined): void {
    const atMs = this.#clock.monotonicMs();
    this.rows.set(key, { topic, version: ++this.counter, fact, atMs });
  }

  override async list(topic: SourceTopic): Promise<SourceBatch> {
    const answer = this.#answer(topic, ({ fact }) => fact !== undefined);
    await this.#passTime();
    return answer;
  }

  override async follow(
    topic: SourceTopic,
    after: number,
  ): Promise<FollowResult> {
    if (!this.isDown && after > this.counter) return { kind: "history_lost" };
    const isChange = ({ version }: StoredRow) => version > after;
    const early = this.#answer(topic, isChange);
    await this.#passTime();
    const isLate = this.#random() < LATE_SHARE;
    const batch = isLate ? early : this.#answer(topic, isChange);
    return { kind: "changes", batch };
  }

  #passTime(): Promise<void> {
    return pause(this.#clock, this.#random() * MAX_CALL_MS);
  }

  #answer(
    topic: SourceTopic,
    isAsked: (row: StoredRow) => boolean,
  ): SourceBatch {
    if (this.isDown) throw new Error("source is down");
    const items = [...this.rows].filter(([, row]) =>
      row.topic === topic && isAsked(row)
    ).map(([key, { version, fact }]) => ({ topic, key, version, fact }));
    return { items, version: this.counter, epoch: this.epoch };
  }
}

/** The operator and the servers, which know what they wrote last. */
export function createWriters(source: RestoredSource, random: Random) {
  let configuration = 0;
  const states = Array.from({ length: SERVERS }, () => ({
    start: 1,
    isDraining: false,
  }));

  function putConfiguration(): void {
    source.put("operations", CONFIGURATION_KEY, {
      kind: "configuration",
      configuration: makeConfiguration([makeRoute()], configuration),
    });
  }

  function putServer(index: number): void {
    const { start, isDraining } = states[index];
    const server = makeServer(`${index}-${start}`, {
      state: isDraining ? "draining" : "ready",
    });
    source.put("servers", `server/${server.id}`, { kind: "server", server });
  }

  function change(): void {
    const index = Math.floor(random() * (SERVERS + 2));
    if (index >= SERVERS) {
      configuration++;
      return putConfiguration();
    }
    const state = states[index];
    if (state.isDraining) {
      source.put("servers", `server/${index}-${state.start}`, undefined);
      state.start++;
    }
    state.isDraining = !state.isDraining;
    putServer(index);
  }

  /** Writes what a restored source may lack; ended server starts expire. */
  function rewriteAll(): void {
    putConfiguration();
    states.forEach((state, index) => {
      putServer(index);
      for (let past = 1; past < state.start; past++) {
        source.put("servers", `server/${index}-${past}`, undefined);
      }
    });
  }

  configuration = 1;
  rewriteAll();
  return { change, rewriteAll };
}

/** A running process of a VM. */
export interface ModelVm {
  store: FactStore;
  /** Whether it reads the source for others. */
  hasReadDuty: boolean;
  /** Whether it doesn't reach the source. */
  isCut: boolean;
  /** Whether it does nothing; what is sent to it waits. */
  isFrozen: boolean;
  /** When its last disruption ended, or it started. */
  calmSinceMs: number;
}

/** VMs that exchange facts. */
export interface ModelFleet {
  /** The VMs that run. */
  vms: ModelVm[];
  /**
   * Starts a VM.
   *
   * @param hasReadDuty Whether it reads the source for others.
   */
  add(hasReadDuty: boolean): ModelVm;
  /** Ends a VM's process; what is on the way to it is lost. */
  kill(vm: ModelVm): void;
  /** Delivers the messages that are due. */
  deliver(): void;
}

/** Dependencies of a fleet. */
export interface ModelFleetOptions {
  source: RestoredSource;
  clock: FakeClock;
  random: Random;
  /** Share of the messages between VMs that are lost. */
  lostShare: number;
  /**
   * Whether VMs announce their reads, and read the source themselves where no
   * other VM announces one.
   */
  announcesReads: boolean;
}

interface Message {
  atMs: number;
  to: ModelVm;
  deliver: () => void;
}

/** What one VM reaches of the source. */
class ReachedSource extends FactSource {
  readonly #source: RestoredSource;
  readonly #vm: ModelVm;
  readonly #clock: FakeClock;

  constructor(source: RestoredSource, vm: ModelVm, clock: FakeClock) {
    super();
    this.#source = source;
    this.#vm = vm;
    this.#clock = clock;
  }

  override async list(topic: SourceTopic): Promise<SourceBatch> {
    return await this.#reach(() => this.#source.list(topic));
  }

  override async follow(
    topic: SourceTopic,
    after: number,
  ): Promise<FollowResult> {
    return await this.#reach(() => this.#source.follow(topic, after));
  }

  async #reach<T>(call: () => Promise<T>): Promise<T> {
    await this.#thaw();
    if (this.#vm.isCut) throw new Error("source is out of reach");
    const answer = await call();
    await this.#thaw();
    if (this.#vm.isCut) throw new Error("source is out of reach");
    return answer;
  }

  async #thaw(): Promise<void> {
    while (this.#vm.isFrozen) await pause(this.#clock, 50);
  }
}

/**
 * @param options Its dependencies.
 * @returns A fleet without VMs.
 */
export function createModelFleet(options: ModelFleetOptions): ModelFleet {
  const { source, clock, random, lostShare, announcesReads } = options;
  const vms: ModelVm[] = [];
  const processes = new Map<ModelVm, { readers: Reader[]; timer: Timer }>();
  const messages: Message[] = [];
  const receivers = new Map<
    ModelVm,
    (from: ModelVm, read: AnnouncedRead) => void
  >();

  function deliverLater(to: ModelVm, deliver: () => void): void {
    if (random() < lostShare) return;
    const atMs = clock.monotonicMs() + 40 + random() * 100;
    messages.push({ atMs, to, deliver });
  }

  function sendUpdates(
    from: FactStore,
    to: ModelVm,
    updates: FactUpdate[],
  ): void {
    const epochs = SOURCE_TOPICS.map((topic) => from.listEpochs(topic));
    deliverLater(to, () => {
      SOURCE_TOPICS.forEach((topic, at) =>
        to.store.recordEpochs(topic, epochs[at])
      );
      to.store.apply(updates);
    });
  }

  function sendTopic(from: FactStore, to: ModelVm, topic: SourceTopic): void {
    const updates = from.listTopic(topic);
    const isWhole = from.isComplete(topic);
    const readPositions = from.listReadPositions(topic);
    const epochs = from.listEpochs(topic);
    deliverLater(to, () => {
      to.store.recordEpochs(topic, epochs);
      to.store.applyPeerSnapshot(topic, { updates, readPositions, isWhole });
    });
  }

  function add(hasReadDuty: boolean): ModelVm {
    const store = createFactStore(clock);
    const vm: ModelVm = {
      store,
      hasReadDuty,
      isCut: false,
      isFrozen: false,
      calmSinceMs: clock.monotonicMs(),
    };
    vms.push(vm);
    const repair = createFactRepair({ factStore: store, clock, log });
    const peers = new Map<ModelVm, FactPeer>();
    const getPeer = (other: ModelVm): FactPeer => {
      const known = peers.get(other) ?? {
        peer: "",
        requestTopic(topic) {
          if (vms.includes(other) && !other.isFrozen && !vm.isFrozen) {
            sendTopic(other.store, vm, topic as SourceTopic);
          }
        },
      };
      peers.set(other, known);
      return known;
    };
    const listOthers = () => vms.filter((other) => other !== vm);
    const timer = clock.every(REPORT_INTERVAL_MS, () => {
      if (vm.isFrozen) return;
      for (const other of listOthers()) {
        if (other.isFrozen) continue;
        for (const topic of SOURCE_TOPICS) {
          const digest = other.store.getDigest(topic);
          repair.compare(getPeer(other), topic, digest);
        }
      }
    });
    const reads = hasReadDuty || announcesReads;
    const readers = (reads ? SOURCE_TOPICS : []).map((topic) =>
      startReader(topic, {
        // The further turns of a source that can be cut off would change the
        // plays of seeds that are kept.
        source: announcesReads ? new ReachedSource(source, vm, clock) : source,
        store,
        clock,
        log,
        timings: DEFAULT_READER_TIMINGS,
        hasReadDuty: () => hasReadDuty,
        needsFallbackRead: (ageMs) => ageMs >= FALLBACK_AGE_MS,
        onUpdates: (updates) => {
          for (const other of listOthers()) sendUpdates(store, other, updates);
        },
        onRead: () => announceRead(topic),
        getInstant: () => ({ monotonicMs: 0, wallMs: 0 }),
      })
    );
    processes.set(vm, { readers, timer });

    function announceRead(topic: SourceTopic): void {
      if (!announcesReads) return;
      const digest = store.getDigest(topic);
      const readPositions = store.listReadPositions(topic);
      for (const other of listOthers()) {
        deliverLater(other, () => {
          receivers.get(other)!(vm, { topic, digest, readPositions });
        });
      }
    }

    receivers.set(vm, (from, read) => {
      repair.recordRead(getPeer(from), read);
    });
    return vm;
  }

  return {
    vms,
    add,
    kill(vm) {
      vms.splice(vms.indexOf(vm), 1);
      const { readers, timer } = processes.get(vm)!;
      timer.cancel();
      for (const reader of readers) reader.stop();
      vm.isCut = true;
    },
    deliver() {
      const nowMs = clock.monotonicMs();
      const due = messages.filter(({ atMs, to }) =>
        atMs <= nowMs && !to.isFrozen
      );
      for (const message of due) messages.splice(messages.indexOf(message), 1);
      for (const { to, deliver } of due) if (vms.includes(to)) deliver();
    },
  };
}

/**
 * @param store Facts of a VM.
 * @returns The servers that it knows, with their states.
 */
export function listServerStates(store: FactStore): string[] {
  return store.listTopic("servers").flatMap(({ fact }) =>
    fact?.kind === "server" ? [`${fact.server.id} ${fact.server.state}`] : []
  ).sort();
}

/**
 * @param source The source.
 * @returns The servers that it has, with their states.
 */
export function listSourceStates(source: RestoredSource): string[] {
  return [...source.rows.values()].flatMap(({ fact }) =>
    fact?.kind === "server" ? [`${fact.server.id} ${fact.server.state}`] : []
  ).sort();
}
