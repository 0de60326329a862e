/**
 * All facts that this VM knows, by key; the newest version of each holds.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { createEpochTracker, type EpochTracker } from "./epochs.ts";
import {
  type Fact,
  type FactBatch,
  type FactUpdate,
  SOURCE_TOPICS,
  type Topic,
  type TopicDigest,
  TOPICS,
} from "./types.ts";
import { type EpochStart, type FactVersion, makeVersion } from "./version.ts";

/** Told of each fact that changed. */
export type FactListener = (
  item: FactUpdate,
  previous: Fact | undefined,
) => void;

/** The facts of one VM. */
export interface FactStore {
  /**
   * Takes changes in.
   *
   * @param items Facts from any source, in any order.
   * @returns Those that were new to this VM.
   */
  apply(items: readonly FactUpdate[]): FactUpdate[];
  /**
   * Takes a whole topic in: what it does not list is removed, except facts of
   * earlier epochs while what it lists may stem from a copy.
   *
   * @param topic The topic.
   * @param batch All its facts as of one moment.
   * @returns Those that were new to this VM, removals among them.
   */
  applySnapshot(topic: Topic, batch: FactBatch): FactUpdate[];
  /**
   * Takes a topic in as another VM knows it, which knows all of it. Facts that
   * it lacks and that are older than the settled epoch were lost.
   *
   * @param topic The topic.
   * @param items All facts of the other VM.
   * @returns Those that were new to this VM, removals among them.
   */
  applyPeerSnapshot(topic: Topic, items: readonly FactUpdate[]): FactUpdate[];
  /** @returns All facts and removals of a topic, for a VM that lacks some. */
  listTopic(topic: Topic): FactUpdate[];
  /**
   * @param key A key.
   * @returns What is known under it.
   */
  get(key: string): FactUpdate | undefined;
  /**
   * Notes when epochs of a topic's source began.
   *
   * @returns Whether anything of it was new.
   */
  recordEpochs(topic: Topic, starts: readonly EpochStart[]): boolean;
  /** @returns Those that still matter. */
  listEpochs(topic: Topic): EpochStart[];
  /** @returns The latest epoch of a topic's source; 0 where none is known. */
  getLatestEpoch(topic: Topic): number;
  /** @returns Whether that epoch is settled; true where none is known. */
  isSettled(topic: Topic): boolean;
  /**
   * @returns Whether the source was restored so lately that facts may be lost
   *   which this VM never read.
   */
  hasUnsettledRestore(topic: Topic): boolean;
  /** @returns Whether this VM knows all facts of a topic, of no lost epoch. */
  isComplete(topic: Topic): boolean;
  /** @returns Whether a fact was written in the latest epoch of its source. */
  isFromLatestEpoch(key: string): boolean;
  /** @returns What tells this board's facts of a topic from another's. */
  getDigest(topic: Topic): TopicDigest;
  /** @returns The digests of all topics. */
  getDigests(): Record<Topic, TopicDigest>;
  /**
   * Notes that the facts of a topic were complete some time ago.
   *
   * @param topic The topic.
   * @param ageMs How long ago.
   */
  recordComplete(topic: Topic, ageMs: number): void;
  /**
   * @param topic The topic.
   * @returns How long ago its facts were known to be complete.
   */
  getAgeMs(topic: Topic): number;
  /** Registers who is told of changes, in order. */
  subscribe(listener: FactListener): void;
}

/**
 * Removals are remembered so that a late message can't bring a removed fact
 * back; two minutes exceed every delay of the links between VMs.
 */
const REMOVAL_MEMORY_MS = 120_000;

/** Facts that were known to be complete by then are complete. */
const COMPLETE_MS = 1_500;

interface Known {
  item: FactUpdate;
  sinceMs: number;
}

interface TopicState {
  epochs: EpochTracker;
  digest: TopicDigest | undefined;
}

/**
 * @param clock The clock.
 * @returns A board with no facts.
 */
export function createFactStore(clock: Clock): FactStore {
  const known = new Map<string, Known>();
  const currentAtMs = new Map<Topic, number>();
  const topics = new Map<Topic, TopicState>(
    TOPICS.map((topic) => [topic, {
      epochs: createEpochTracker(),
      digest: undefined,
    }]),
  );
  const listeners: FactListener[] = [];

  function getEpochs(topic: Topic): EpochTracker {
    return topics.get(topic)!.epochs;
  }

  function isSettled(topic: Topic): boolean {
    const epochs = getEpochs(topic);
    return epochs.getSettled() === epochs.getLatest();
  }

  function getAgeMs(topic: Topic): number {
    const atMs = currentAtMs.get(topic);
    return atMs === undefined ? Infinity : clock.monotonicMs() - atMs;
  }

  function getDigest(topic: Topic): TopicDigest {
    const state = topics.get(topic)!;
    return state.digest ??= makeDigest(topic, state.epochs);
  }

  function makeDigest(topic: Topic, epochs: EpochTracker): TopicDigest {
    let facts = 0;
    let versionSum = 0;
    let epochSum = 0;
    for (const { item } of known.values()) {
      if (item.topic !== topic || item.fact === undefined) continue;
      facts++;
      versionSum += item.version.number;
      epochSum += epochs.getOriginEpoch(item.version);
    }
    const starts = epochs.list();
    if (starts.length === 0) return { facts, versionSum };
    return { facts, versionSum, epochSum, epochs: starts };
  }

  function applyOne(item: FactUpdate): boolean {
    const previous = known.get(item.key);
    const state = topics.get(item.topic)!;
    const isNewer = previous === undefined
      ? item.version.epoch >= state.epochs.getSettled()
      : state.epochs.isNewer(item, previous.item);
    if (!isNewer) return false;
    known.set(item.key, { item, sinceMs: clock.monotonicMs() });
    state.digest = undefined;
    if (item.fact === undefined && previous?.item.fact === undefined) {
      return previous === undefined;
    }
    for (const listener of listeners) listener(item, previous?.item.fact);
    return true;
  }

  function apply(items: readonly FactUpdate[]): FactUpdate[] {
    forgetOldRemovals();
    return items.filter(applyOne);
  }

  function applyWhole(topic: Topic, batch: FactBatch): FactUpdate[] {
    const missing = listMissing(topic, batch.items)
      .filter((item) => covers(topic, batch.version, item.version));
    const removals = missing.map((item) => remove(item, batch.version));
    return apply([...batch.items, ...removals]);
  }

  function applySettled(
    topic: Topic,
    items: readonly FactUpdate[],
  ): FactUpdate[] {
    const settled = getEpochs(topic).getSettled();
    const lost = listMissing(topic, items)
      .filter(({ version }) => version.epoch < settled);
    const newest = getNewest(items, settled);
    const removals = lost.map((item) => remove(item, newest));
    return apply([...items, ...removals]);
  }

  function listMissing(
    topic: Topic,
    items: readonly FactUpdate[],
  ): FactUpdate[] {
    const listed = new Set(items.map((item) => item.key));
    return listFacts(topic).filter(({ key }) => !listed.has(key));
  }

  function listFacts(topic: Topic): FactUpdate[] {
    return [...known.values()].map(({ item }) => item).filter((item) =>
      item.topic === topic && item.fact !== undefined
    );
  }

  /** Whoever knows all of a topic knows all up to its newest fact. */
  function getNewest(items: readonly FactUpdate[], epoch: number): FactVersion {
    const numbers = items.map(({ version }) => version)
      .filter((version) => version.epoch === epoch)
      .map(({ number }) => number);
    return makeVersion(Math.max(0, ...numbers), epoch);
  }

  function remove(
    { topic, key }: FactUpdate,
    version: FactVersion,
  ): FactUpdate {
    return { topic, key, version };
  }

  /** Whether a list as of one version would show a fact of another. */
  function covers(
    topic: Topic,
    list: FactVersion,
    version: FactVersion,
  ): boolean {
    if (list.epoch === version.epoch) return version.number <= list.number;
    return version.epoch < list.epoch &&
      getEpochs(topic).getSettled() >= list.epoch;
  }

  function forgetOldRemovals(): void {
    const limitMs = clock.monotonicMs() - REMOVAL_MEMORY_MS;
    for (const [key, { item, sinceMs }] of known) {
      if (item.fact === undefined && sinceMs < limitMs) known.delete(key);
    }
  }

  return {
    apply,
    applySnapshot: applyWhole,
    applyPeerSnapshot: applySettled,
    listTopic: (topic) =>
      [...known.values()].map(({ item }) => item)
        .filter((item) => item.topic === topic),
    get: (key) => known.get(key)?.item,
    recordEpochs(topic, starts) {
      const state = topics.get(topic)!;
      const isNews = state.epochs.record(starts);
      if (isNews) state.digest = undefined;
      return isNews;
    },
    listEpochs: (topic) => getEpochs(topic).list(),
    getLatestEpoch: (topic) => getEpochs(topic).getLatest(),
    isSettled,
    hasUnsettledRestore(topic) {
      if (isSettled(topic)) return false;
      const epochs = getEpochs(topic);
      return epochs.list().length > 1 ||
        listFacts(topic).some(({ version }) =>
          version.epoch < epochs.getLatest()
        );
    },
    isComplete(topic) {
      const settled = getEpochs(topic).getSettled();
      return getAgeMs(topic) <= COMPLETE_MS &&
        listFacts(topic).every(({ version }) => version.epoch >= settled);
    },
    isFromLatestEpoch(key) {
      const item = known.get(key)?.item;
      if (item === undefined) return false;
      const epochs = getEpochs(item.topic);
      return epochs.getOriginEpoch(item.version) === epochs.getLatest();
    },
    getDigest,
    getDigests: () => ({
      operations: getDigest("operations"),
      servers: getDigest("servers"),
      suspects: getDigest("suspects"),
    }),
    recordComplete(topic, ageMs) {
      const atMs = clock.monotonicMs() - ageMs;
      const before = currentAtMs.get(topic) ?? -Infinity;
      if (atMs > before) currentAtMs.set(topic, atMs);
    },
    getAgeMs,
    subscribe: (listener) => void listeners.push(listener),
  };
}

/**
 * @param board A board.
 * @returns The age of its least current topic, in ms.
 */
export function getOldestAgeMs(board: FactStore): number {
  return Math.max(...SOURCE_TOPICS.map((topic) => board.getAgeMs(topic)));
}
