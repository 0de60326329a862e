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
const PLAY_MS = 40_000;
/** Longer than an operator may leave an older configuration. */
const QUIET_MS = 75_000;
const SERVERS = 6;
const VMS = 5;
const READERS = 2;
const MAX_CALL_MS = 400;
const LATE_PART = 0.2;
/** Part of the messages between VMs that are lost. */
const LOST_PART = 0.1;
const log = createSilentLog();

interface StoredRow {
  topic: SourceTopic;
  version: number;
  fact: Fact | undefined;
}

/**
 * A source that goes back to a copy. Some of its answers come late, also from
 * before it went back.
 */
class RestoredSource extends FactSource {
  rows = new Map<string, StoredRow>();
  counter = 0;
  epoch = 1;
  isAway = false;
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
    if (!this.isAway && after > this.counter) return { kind: "history_lost" };
    const isChange = ({ version }: StoredRow) => version > after;
    const early = this.#answer(topic, isChange);
    await this.#passTime();
    const isLate = this.#random() < LATE_PART;
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
    if (this.isAway) throw new Error("away");
    const items = [...this.rows].filter(([, row]) =>
      row.topic === topic && isAsked(row)
    ).map(([key, { version, fact }]) => ({ topic, key, version, fact }));
    return { items, version: this.counter, epoch: this.epoch };
  }
}

/** The operator and the servers, who know what they wrote last. */
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

  /** What a restored source lacks; starts that ended expire. */
  function writeAgain(): void {
    putConfiguration();
    states.forEach((state, index) => {
      putServer(index);
      for (let past = 1; past < state.start; past++) {
        source.put("servers", `server/${index}-${past}`, undefined);
      }
    });
  }

  configuration = 1;
  writeAgain();
  return { change, writeAgain };
}

interface Message {
  atMs: number;
  deliver: () => void;
}

/** VMs of which some read, and that tell each other what is new. */
function startVms(source: RestoredSource, clock: FakeClock, random: Random) {
  const boards: FactStore[] = [];
  const messages: Message[] = [];

  function send(deliver: () => void): void {
    if (random() < LOST_PART) return;
    const atMs = clock.monotonicMs() + 40 + random() * 100;
    messages.push({ atMs, deliver });
  }

  function tell(from: FactStore, to: FactStore, items: FactUpdate[]): void {
    const epochs = SOURCE_TOPICS.map((topic) => from.listEpochs(topic));
    send(() => {
      SOURCE_TOPICS.forEach((topic, at) => to.recordEpochs(topic, epochs[at]));
      to.apply(items);
    });
  }

  function tellWhole(from: FactStore, to: FactStore, topic: SourceTopic): void {
    const items = from.listTopic(topic);
    const isComplete = from.isComplete(topic);
    const epochs = from.listEpochs(topic);
    send(() => {
      to.recordEpochs(topic, epochs);
      if (isComplete) to.applyPeerSnapshot(topic, items);
      else to.apply(items);
    });
  }

  function add(reads: boolean): FactStore {
    const board = createFactStore(clock);
    boards.push(board);
    const repair = createFactRepair({ board, clock, log });
    const peers = new Map<FactStore, FactPeer>();
    const getPeer = (other: FactStore): FactPeer => {
      const known = peers.get(other) ?? {
        peer: "",
        ask: (topic) => tellWhole(other, board, topic as SourceTopic),
      };
      peers.set(other, known);
      return known;
    };
    clock.every(800, () => {
      for (const other of boards) {
        if (other === board) continue;
        for (const topic of SOURCE_TOPICS) {
          repair.compare(getPeer(other), topic, other.getDigest(topic));
        }
      }
    });
    for (const topic of reads ? SOURCE_TOPICS : []) {
      startReader(topic, {
        source,
        store: board,
        clock,
        log,
        timings: DEFAULT_READER_TIMINGS,
        hasReadDuty: () => true,
        needsFallbackRead: () => false,
        onUpdates: (items) => {
          for (const other of boards) {
            if (other !== board) tell(board, other, items);
          }
        },
        onRead: () => {},
        getInstant: () => ({ monotonicMs: 0, wallMs: 0 }),
      });
    }
    return board;
  }

  return {
    boards,
    add,
    deliver() {
      const nowMs = clock.monotonicMs();
      const due = messages.filter(({ atMs }) => atMs <= nowMs);
      for (const message of due) messages.splice(messages.indexOf(message), 1);
      for (const { deliver } of due) deliver();
    },
  };
}

function getConfigurationNumber(board: FactStore): number {
  const fact = board.get(CONFIGURATION_KEY)?.fact;
  return fact?.kind === "configuration" ? fact.configuration.version : 0;
}

function listStates(board: FactStore): string[] {
  return board.listTopic("servers").flatMap(({ fact }) =>
    fact?.kind === "server" ? [`${fact.server.id} ${fact.server.state}`] : []
  ).sort();
}

/** Fails where a VM goes back to what it knew before. */
function createWatch(board: FactStore) {
  let configuration = 0;
  const draining = new Set<string>();
  return () => {
    const now = getConfigurationNumber(board);
    assert.ok(now >= configuration, `configuration ${now} < ${configuration}`);
    configuration = now;
    for (const state of listStates(board)) {
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
  const watches = Array.from(
    { length: VMS },
    (_, index) => createWatch(fleet.add(index < READERS)),
  );
  let copy = { rows: new Map(source.rows), counter: source.counter };
  let awayUntilMs = Infinity;
  let writesAtMs = Infinity;
  const startMs = clock.monotonicMs();

  async function step(isQuiet: boolean): Promise<void> {
    clock.advance(STEP_MS);
    const nowMs = clock.monotonicMs();
    if (!isQuiet && !source.isAway) {
      if (random() < 0.1) writers.change();
      if (random() < 0.02) {
        copy = { rows: new Map(source.rows), counter: source.counter };
      }
      if (random() < 0.008) {
        source.isAway = true;
        awayUntilMs = nowMs + 300 + random() * 2_200;
      }
      if (random() < 0.002) watches.push(createWatch(fleet.add(true)));
    }
    if (nowMs >= awayUntilMs) {
      awayUntilMs = Infinity;
      source.isAway = false;
      source.rows = new Map(copy.rows);
      source.counter = copy.counter;
      source.epoch += random() < 0.2 ? 2 : 1;
      writesAtMs = nowMs + random() * 1_500;
    }
    if (nowMs >= writesAtMs && !source.isAway) {
      writesAtMs = Infinity;
      writers.writeAgain();
    }
    fleet.deliver();
    for (let turn = 0; turn < 12; turn++) await Promise.resolve();
    for (const watch of watches) watch();
  }

  while (clock.monotonicMs() < startMs + PLAY_MS) await step(false);
  while (clock.monotonicMs() < startMs + PLAY_MS + QUIET_MS) await step(true);
  const live = [...source.rows.values()].flatMap(({ fact }) =>
    fact?.kind === "server" ? [`${fact.server.id} ${fact.server.state}`] : []
  ).sort();
  const stored = source.rows.get(CONFIGURATION_KEY)!.fact;
  for (const board of fleet.boards) {
    assert.equal(listStates(board), live);
    assert.equal(board.get(CONFIGURATION_KEY)?.fact, stored);
  }
}

for (const seed of [1, 2, 3, 4, 208, 209, 290, 301]) {
  test(`restores in series: no VM goes back, all agree, seed ${seed}`, () =>
    play(seed));
}

test.run();
