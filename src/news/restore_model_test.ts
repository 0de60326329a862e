import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeConfiguration,
  makeRoute,
  makeServer,
} from "../gateway/fixture.ts";
import { createFactRepair, type FactPeer } from "../members/repair.ts";
import { createFakeClock, type FakeClock, pause } from "../runtime/clock.ts";
import { createRandom, type Random } from "../runtime/random.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createFactStore, type FactStore } from "./fact_store.ts";
import { DEFAULT_READER_TIMINGS, startReader } from "./reader.ts";
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

const STEP_MS = 50;
const ACTIVE_MS = 40_000;
/** Longer than an older configuration takes to be accepted as intended (60 s). */
const QUIET_MS = 75_000;
const SERVERS = 6;
const VMS = 5;
const READERS = 2;
const MAX_CALL_MS = 400;
const LATE_SHARE = 0.2;
/** Share of the messages between VMs that are lost. */
const LOST_SHARE = 0.1;
const log = createSilentLog();

interface StoredRow {
  topic: SourceTopic;
  version: number;
  fact: Fact | undefined;
}

/**
 * A source that is restored from a copy. Some of its answers come late, even from
 * before a restore.
 */
class RestoredSource extends FactSource {
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
    this.rows.set(key, { topic, version: ++this.counter, fact });
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
function createWriters(source: RestoredSource, random: Random) {
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

interface Message {
  atMs: number;
  deliver: () => void;
}

/** VMs of which some read, and that send each other updates. */
function startVms(source: RestoredSource, clock: FakeClock, random: Random) {
  const stores: FactStore[] = [];
  const messages: Message[] = [];

  function deliverLater(deliver: () => void): void {
    if (random() < LOST_SHARE) return;
    const atMs = clock.monotonicMs() + 40 + random() * 100;
    messages.push({ atMs, deliver });
  }

  function sendUpdates(
    from: FactStore,
    to: FactStore,
    updates: FactUpdate[],
  ): void {
    const epochs = SOURCE_TOPICS.map((topic) => from.listEpochs(topic));
    deliverLater(() => {
      SOURCE_TOPICS.forEach((topic, at) => to.recordEpochs(topic, epochs[at]));
      to.apply(updates);
    });
  }

  function sendTopic(from: FactStore, to: FactStore, topic: SourceTopic): void {
    const updates = from.listTopic(topic);
    const isComplete = from.isComplete(topic);
    const epochs = from.listEpochs(topic);
    deliverLater(() => {
      to.recordEpochs(topic, epochs);
      if (isComplete) to.applyPeerSnapshot(topic, updates);
      else to.apply(updates);
    });
  }

  function add(reads: boolean): FactStore {
    const store = createFactStore(clock);
    stores.push(store);
    const repair = createFactRepair({ factStore: store, clock, log });
    const peers = new Map<FactStore, FactPeer>();
    const getPeer = (other: FactStore): FactPeer => {
      const known = peers.get(other) ?? {
        peer: "",
        requestTopic: (topic) => sendTopic(other, store, topic as SourceTopic),
      };
      peers.set(other, known);
      return known;
    };
    clock.every(800, () => {
      for (const other of stores) {
        if (other === store) continue;
        for (const topic of SOURCE_TOPICS) {
          repair.compare(getPeer(other), topic, other.getDigest(topic));
        }
      }
    });
    for (const topic of reads ? SOURCE_TOPICS : []) {
      startReader(topic, {
        source,
        store,
        clock,
        log,
        timings: DEFAULT_READER_TIMINGS,
        hasReadDuty: () => true,
        needsFallbackRead: () => false,
        onUpdates: (updates) => {
          for (const other of stores) {
            if (other !== store) sendUpdates(store, other, updates);
          }
        },
        onRead: () => {},
        getInstant: () => ({ monotonicMs: 0, wallMs: 0 }),
      });
    }
    return store;
  }

  return {
    stores,
    add,
    deliver() {
      const nowMs = clock.monotonicMs();
      const due = messages.filter(({ atMs }) => atMs <= nowMs);
      for (const message of due) messages.splice(messages.indexOf(message), 1);
      for (const { deliver } of due) deliver();
    },
  };
}

function getConfigurationNumber(store: FactStore): number {
  const fact = store.get(CONFIGURATION_KEY)?.fact;
  return fact?.kind === "configuration" ? fact.configuration.version : 0;
}

function listStates(store: FactStore): string[] {
  return store.listTopic("servers").flatMap(({ fact }) =>
    fact?.kind === "server" ? [`${fact.server.id} ${fact.server.state}`] : []
  ).sort();
}

/** Fails if a VM reverts to an older configuration or server state. */
function createRegressionCheck(store: FactStore) {
  let configuration = 0;
  const draining = new Set<string>();
  return () => {
    const now = getConfigurationNumber(store);
    assert.ok(now >= configuration, `configuration ${now} < ${configuration}`);
    configuration = now;
    for (const state of listStates(store)) {
      const [id, name] = state.split(" ");
      if (name === "draining") draining.add(id);
      else assert.not(draining.has(id), `${id} is ready again`);
    }
  };
}

async function play(seed: number): Promise<void> {
  const random = createRandom(seed);
  const clock = createFakeClock();
  const source = new RestoredSource(clock, random);
  const writers = createWriters(source, random);
  const fleet = startVms(source, clock, random);
  const checks = Array.from(
    { length: VMS },
    (_, index) => createRegressionCheck(fleet.add(index < READERS)),
  );
  let copy = { rows: new Map(source.rows), counter: source.counter };
  let downUntilMs = Infinity;
  let rewriteAtMs = Infinity;
  const startMs = clock.monotonicMs();

  async function step(isQuiet: boolean): Promise<void> {
    clock.advance(STEP_MS);
    const nowMs = clock.monotonicMs();
    if (!isQuiet && !source.isDown) {
      if (random() < 0.1) writers.change();
      if (random() < 0.02) {
        copy = { rows: new Map(source.rows), counter: source.counter };
      }
      if (random() < 0.008) {
        source.isDown = true;
        downUntilMs = nowMs + 300 + random() * 2_200;
      }
      if (random() < 0.002) checks.push(createRegressionCheck(fleet.add(true)));
    }
    if (nowMs >= downUntilMs) {
      downUntilMs = Infinity;
      source.isDown = false;
      source.rows = new Map(copy.rows);
      source.counter = copy.counter;
      source.epoch += random() < 0.2 ? 2 : 1;
      rewriteAtMs = nowMs + random() * 1_500;
    }
    if (nowMs >= rewriteAtMs && !source.isDown) {
      rewriteAtMs = Infinity;
      writers.rewriteAll();
    }
    fleet.deliver();
    for (let turn = 0; turn < 12; turn++) await Promise.resolve();
    for (const check of checks) check();
  }

  while (clock.monotonicMs() < startMs + ACTIVE_MS) await step(false);
  while (clock.monotonicMs() < startMs + ACTIVE_MS + QUIET_MS) await step(true);
  const live = [...source.rows.values()].flatMap(({ fact }) =>
    fact?.kind === "server" ? [`${fact.server.id} ${fact.server.state}`] : []
  ).sort();
  const stored = source.rows.get(CONFIGURATION_KEY)!.fact;
  for (const store of fleet.stores) {
    assert.equal(listStates(store), live);
    assert.equal(store.get(CONFIGURATION_KEY)?.fact, stored);
  }
}

for (const seed of [1, 2, 3, 4, 208, 209, 290, 301]) {
  test(`repeated restores: no VM reverts a fact, all VMs agree, seed ${seed}`, () =>
    play(seed));
}

test.run();
