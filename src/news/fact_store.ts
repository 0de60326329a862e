/**
 * In-memory store of the facts that this VM knows, by key. The newest version of
 * each fact is kept.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { createEpochTracker, type EpochTracker } from "./epochs.ts";
import {
  createReadPositions,
  findPosition,
  type ReadPositions,
} from "./read_positions.ts";
import {
  CONFIGURATION_KEY,
  type Fact,
  type FactBatch,
  type FactUpdate,
  SOURCE_TOPICS,
  type Topic,
  type TopicDigest,
  TOPICS,
} from "./types.ts";
import { type EpochStart, type FactVersion, makeVersion } from "./version.ts";

/**
 * Called for each fact that changed.
 *
 * @param update The new version of the fact, or its removal.
 * @param previous The fact that it replaces; undefined where there was none.
 */
export type FactListener = (
  update: FactUpdate,
  previous: Fact | undefined,
) => void;

/** All facts of a topic that another VM has. */
export interface PeerSnapshot {
  updates: readonly FactUpdate[];
  /** Facts of the other VM that are invalid here: what is known of them stays. */
  invalidKeys?: readonly string[];
  /** By epoch, the position up to which the other VM knows the topic's history. */
  readPositions?: readonly FactVersion[];
  /** Whether the other VM knows the whole topic. */
  isWhole?: boolean;
}

/** The facts of one VM. A configuration is replaced, but never removed. */
export interface FactStore {
  /**
   * Applies updates.
   *
   * @param updates Updates from any source, in any order.
   * @returns Those that were new to this VM.
   */
  apply(updates: readonly FactUpdate[]): FactUpdate[];
  /**
   * Applies changes that the source made to a topic since the position up to
   * which this VM knew it.
   *
   * @param topic The topic.
   * @param batch The changes, and the position up to which they reach.
   * @returns Those that were new to this VM.
   */
  applyChanges(topic: Topic, batch: FactBatch): FactUpdate[];
  /**
   * Applies a full listing of a topic by its source. Facts that the listing
   * lacks are removed, except those of earlier epochs while the listing may come
   * from a restored copy.
   *
   * @param topic The topic.
   * @param batch All its facts as of one version.
   * @returns The updates that were new to this VM, including removals.
   */
  applySnapshot(topic: Topic, batch: FactBatch): FactUpdate[];
  /**
   * Applies all facts of a topic that another VM has. Of the facts that it lacks,
   * those before its position were removed, and are removed here. Where it knows
   * the whole topic, those that are older than the settled epoch were lost in a
   * restore, and are removed as well.
   *
   * @param topic The topic.
   * @param snapshot What the other VM has.
   * @returns The updates that were new to this VM, including removals.
   */
  applyPeerSnapshot(topic: Topic, snapshot: PeerSnapshot): FactUpdate[];
  /**
   * @param topic The topic.
   * @returns All its facts and removals, for a VM that lacks some of them.
   */
  listTopic(topic: Topic): FactUpdate[];
  /**
   * @param update A fact from another VM.
   * @returns Whether it was removed: this VM lacks it, but knows the topic's
   *   history up to a later position.
   */
  isKnownRemoved(update: FactUpdate): boolean;
  /**
   * Records that this VM has the same facts of a topic as another VM, which knows
   * its history up to some positions.
   *
   * @param topic The topic.
   * @param positions The other VM's positions.
   */
  recordReadPositions(topic: Topic, positions: readonly FactVersion[]): void;
  /**
   * @param topic The topic.
   * @returns By epoch, the position up to which this VM knows the topic's history.
   */
  listReadPositions(topic: Topic): FactVersion[];
  /**
   * @param key Key of a fact.
   * @returns The newest update with that key; undefined where there is none.
   */
  get(key: string): FactUpdate | undefined;
  /**
   * Records when epochs of a topic's source began.
   *
   * @param topic The topic.
   * @param starts The epoch starts to record.
   * @returns Whether any of them was new.
   */
  recordEpochs(topic: Topic, starts: readonly EpochStart[]): boolean;
  /**
   * @param topic The topic.
   * @returns The starts of the latest settled epoch and of those after it.
   */
  listEpochs(topic: Topic): EpochStart[];
  /**
   * @param topic The topic.
   * @returns The latest epoch of its source; 0 where none is known.
   */
  getLatestEpoch(topic: Topic): number;
  /**
   * @param topic The topic.
   * @returns Whether the latest epoch is settled; true where none is known.
   */
  isSettled(topic: Topic): boolean;
  /**
   * @param topic The topic.
   * @returns Whether its source was restored and the new epoch isn't settled yet:
   *   the source may have lost facts that this VM never read.
   */
  hasUnsettledRestore(topic: Topic): boolean;
  /**
   * @param topic The topic.
   * @returns Whether this VM knows all its facts, and none that a restore lost.
   */
  isComplete(topic: Topic): boolean;
  /**
   * @param key Key of a fact.
   * @returns Whether the fact was written in the latest epoch of its source.
   */
  isFromLatestEpoch(key: string): boolean;
  /**
   * @param topic The topic.
   * @returns A digest for comparing this store's facts with another store's.
   */
  getDigest(topic: Topic): TopicDigest;
  /** @returns The digests of all topics. */
  getDigests(): Record<Topic, TopicDigest>;
  /**
   * Records that this VM knew all facts of a topic at an earlier time.
   *
   * @param topic The topic.
   * @param ageMs How long ago that was, in ms.
   */
  recordComplete(topic: Topic, ageMs: number): void;
  /**
   * @param topic The topic.
   * @returns Time since its facts were last known to be complete, in ms;
   *   infinite where they never were.
   */
  getAgeMs(topic: Topic): number;
  /**
   * Registers a listener for changes. Listeners are called in the order in which
   * they were registered.
   *
   * @param listener The listener.
   */
  subscribe(listener: FactListener): void;
}

/**
 * Minimum time for which removals are kept, so that a late message can't restore
 * a removed fact. They are kept on until the position up to which the topic is
 * known shows as well that the fact was removed.
 */
const REMOVAL_RETENTION_MS = 120_000;

/** Maximum age at which the facts of a topic count as complete. */
const MAX_COMPLETE_AGE_MS = 1_500;

/** Most facts and removals of a topic; further ones are dropped. */
const MAX_KEYS = 50_000;

interface StoredUpdate {
  update: FactUpdate;
  storedAtMs: number;
}

interface TopicState {
  epochs: EpochTracker;
  readPositions: ReadPositions;
  /** Cached digest; undefined after a change. */
  digest: TopicDigest | undefined;
  /** Number of its stored facts and removals. */
  keys: number;
}

/**
 * Creates an empty store.
 *
 * @param clock Clock for the age of facts and removals.
 * @returns The store.
 */
export function createFactStore(clock: Clock): FactStore {
  const stored = new Map<string, StoredUpdate>();
  const completeAtMs = new Map<Topic, number>();
  const topicStates = new Map<Topic, TopicState>(
    TOPICS.map((topic) => [topic, createTopicState()]),
  );
  const listeners: FactListener[] = [];

  function getEpochs(topic: Topic): EpochTracker {
    return topicStates.get(topic)!.epochs;
  }

  function isSettled(topic: Topic): boolean {
    const epochs = getEpochs(topic);
    return epochs.getSettled() === epochs.getLatest();
  }

  function getAgeMs(topic: Topic): number {
    const atMs = completeAtMs.get(topic);
    return atMs === undefined ? Infinity : clock.monotonicMs() - atMs;
  }

  function getDigest(topic: Topic): TopicDigest {
    const state = topicStates.get(topic)!;
    return state.digest ??= computeDigest(topic, state.epochs);
  }

  function computeDigest(topic: Topic, epochs: EpochTracker): TopicDigest {
    let facts = 0;
    let versionSum = 0;
    let epochSum = 0;
    for (const { update } of stored.values()) {
      if (update.topic !== topic || update.fact === undefined) continue;
      facts++;
      versionSum += update.version.number;
      epochSum += epochs.getOriginEpoch(update.version);
    }
    const starts = epochs.list();
    if (starts.length === 0) return { facts, versionSum };
    return { facts, versionSum, epochSum, epochs: starts };
  }

  function applyUpdate(
    update: FactUpdate,
    listedThrough: readonly FactVersion[],
  ): boolean {
    const previous = stored.get(update.key);
    if (removesConfiguration(update, previous?.update)) return false;
    if (isRemovedSince(update, listedThrough)) return false;
    const state = topicStates.get(update.topic)!;
    const isNewer = previous === undefined
      ? update.version.epoch >= state.epochs.getSettled()
      : state.epochs.isNewer(update, previous.update);
    if (!isNewer) return false;
    if (previous === undefined) {
      if (state.keys >= MAX_KEYS) return false;
      state.keys++;
    } else if (previous.update.topic !== update.topic) {
      return false;
    }
    stored.set(update.key, { update, storedAtMs: clock.monotonicMs() });
    state.digest = undefined;
    if (update.fact === undefined && previous?.update.fact === undefined) {
      return previous === undefined;
    }
    for (const listener of listeners) listener(update, previous?.update.fact);
    return true;
  }

  /**
   * @param updates The updates.
   * @param listedThrough Where the updates are all facts of a topic, the positions
   *   up to which the sender knows its history.
   * @returns Those that were new to this VM.
   */
  function apply(
    updates: readonly FactUpdate[],
    listedThrough: readonly FactVersion[] = [],
  ): FactUpdate[] {
    deleteExpiredRemovals();
    return updates.filter((update) => applyUpdate(update, listedThrough));
  }

  function isKnownRemoved({ topic, key, version }: FactUpdate): boolean {
    if (key === CONFIGURATION_KEY || stored.has(key)) return false;
    return topicStates.get(topic)!.readPositions.includes(version);
  }

  /** Whether a fact was removed, and isn't in a listing that is as recent. */
  function isRemovedSince(
    update: FactUpdate,
    listedThrough: readonly FactVersion[],
  ): boolean {
    if (!isKnownRemoved(update)) return false;
    const listed = findPosition(update.version, listedThrough);
    const positions = topicStates.get(update.topic)!.readPositions;
    return listed === undefined || !positions.isReachedBy(listed);
  }

  /** Records that this VM knows all facts of a topic as of a batch. */
  function recordRead(topic: Topic, batch: FactBatch): void {
    if (batch.isEpochAssumed) return;
    if (!areDecoded(batch.items, batch.invalidKeys)) return;
    recordReadPositions(topic, [batch.version]);
  }

  function applyChanges(topic: Topic, batch: FactBatch): FactUpdate[] {
    const updates = apply(batch.items);
    recordRead(topic, batch);
    return updates;
  }

  function applySnapshot(topic: Topic, batch: FactBatch): FactUpdate[] {
    const missing = listMissing(topic, batch.items, batch.invalidKeys)
      .filter((update) => covers(topic, batch.version, update.version));
    const removals = missing.map((update) =>
      makeRemoval(update, batch.version)
    );
    const updates = apply([...batch.items, ...removals], [batch.version]);
    recordRead(topic, batch);
    return updates;
  }

  function applyPeerSnapshot(
    topic: Topic,
    { updates, invalidKeys, readPositions = [], isWhole }: PeerSnapshot,
  ): FactUpdate[] {
    const settled = getEpochs(topic).getSettled();
    const newest = getNewestVersion(updates, settled);
    const removals: FactUpdate[] = [];
    for (const fact of listMissing(topic, updates, invalidKeys)) {
      const removedBy = findPosition(fact.version, readPositions);
      const isLost = isWhole && fact.version.epoch < settled;
      if (removedBy !== undefined) removals.push(makeRemoval(fact, removedBy));
      else if (isLost) removals.push(makeRemoval(fact, newest));
    }
    const applied = apply([...updates, ...removals], readPositions);
    if (areDecoded(updates, invalidKeys)) {
      recordReadPositions(topic, readPositions);
    }
    return applied;
  }

  function recordReadPositions(
    topic: Topic,
    positions: readonly FactVersion[],
  ): void {
    const { readPositions } = topicStates.get(topic)!;
    for (const position of positions) readPositions.record(position);
  }

  /** Lists the stored facts of a topic that a listing lacks. */
  function listMissing(
    topic: Topic,
    updates: readonly FactUpdate[],
    invalidKeys: readonly string[] = [],
  ): FactUpdate[] {
    const listedKeys = new Set(invalidKeys);
    for (const { key } of updates) listedKeys.add(key);
    return listFacts(topic).filter(({ key }) => !listedKeys.has(key));
  }

  function listFacts(topic: Topic): FactUpdate[] {
    return [...stored.values()].map(({ update }) => update).filter((update) =>
      update.topic === topic && update.fact !== undefined
    );
  }

  /** A VM that knows a whole topic knows all of it up to its newest fact. */
  function getNewestVersion(
    updates: readonly FactUpdate[],
    epoch: number,
  ): FactVersion {
    const numbers = updates.map(({ version }) => version)
      .filter((version) => version.epoch === epoch)
      .map(({ number }) => number);
    return makeVersion(Math.max(0, ...numbers), epoch);
  }

  function makeRemoval(
    { topic, key }: FactUpdate,
    version: FactVersion,
  ): FactUpdate {
    return { topic, key, version };
  }

  /**
   * Whether a listing as of one version would contain a fact of another version
   * that still exists.
   */
  function covers(
    topic: Topic,
    list: FactVersion,
    version: FactVersion,
  ): boolean {
    if (list.epoch === version.epoch) return version.number <= list.number;
    return version.epoch < list.epoch &&
      getEpochs(topic).getSettled() >= list.epoch;
  }

  function deleteExpiredRemovals(): void {
    const limitMs = clock.monotonicMs() - REMOVAL_RETENTION_MS;
    for (const [key, { update, storedAtMs }] of stored) {
      if (update.fact !== undefined || storedAtMs >= limitMs) continue;
      if (isNeeded(update)) continue;
      stored.delete(key);
      topicStates.get(update.topic)!.keys--;
    }
  }

  /** Whether only the removal shows that its fact was removed. */
  function isNeeded({ topic, version }: FactUpdate): boolean {
    const { epochs, readPositions } = topicStates.get(topic)!;
    return version.epoch >= epochs.getSettled() &&
      readPositions.list().length > 0 && !readPositions.includes(version);
  }

  return {
    apply: (updates) => apply(updates),
    applyChanges,
    applySnapshot,
    applyPeerSnapshot,
    listTopic: (topic) =>
      [...stored.values()].map(({ update }) => update)
        .filter((update) => update.topic === topic),
    isKnownRemoved,
    recordReadPositions,
    listReadPositions: (topic) => topicStates.get(topic)!.readPositions.list(),
    get: (key) => stored.get(key)?.update,
    recordEpochs(topic, starts) {
      const state = topicStates.get(topic)!;
      const isNew = state.epochs.record(starts);
      if (isNew) state.digest = undefined;
      return isNew;
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
      return getAgeMs(topic) <= MAX_COMPLETE_AGE_MS &&
        listFacts(topic).every(({ version }) => version.epoch >= settled);
    },
    isFromLatestEpoch(key) {
      const update = stored.get(key)?.update;
      if (update === undefined) return false;
      const epochs = getEpochs(update.topic);
      return epochs.getOriginEpoch(update.version) === epochs.getLatest();
    },
    getDigest,
    getDigests: () => ({
      operations: getDigest("operations"),
      servers: getDigest("servers"),
      suspects: getDigest("suspects"),
    }),
    recordComplete(topic, ageMs) {
      const atMs = clock.monotonicMs() - ageMs;
      const previousMs = completeAtMs.get(topic) ?? -Infinity;
      if (atMs > previousMs) completeAtMs.set(topic, atMs);
    },
    getAgeMs,
    subscribe: (listener) => void listeners.push(listener),
  };
}

function createTopicState(): TopicState {
  const epochs = createEpochTracker();
  const readPositions = createReadPositions(epochs);
  return { epochs, readPositions, digest: undefined, keys: 0 };
}

/**
 * Whether there is an update for each fact that a topic has. For a configuration
 * none is needed: its own number decides which one is in force.
 */
function areDecoded(
  updates: readonly FactUpdate[],
  invalidKeys: readonly string[] = [],
): boolean {
  if (invalidKeys.length === 0) return true;
  const decodedKeys = new Set(updates.map(({ key }) => key));
  return invalidKeys.every((key) =>
    key === CONFIGURATION_KEY || decodedKeys.has(key)
  );
}

/**
 * Whether an update removes a configuration. One is in force until a newer one
 * replaces it: forgotten, it would let an older one in.
 */
function removesConfiguration(
  update: FactUpdate,
  previous: FactUpdate | undefined,
): boolean {
  return update.fact === undefined && previous?.key === CONFIGURATION_KEY;
}

/**
 * @param store Store of the facts.
 * @returns The greatest age of a topic that is read from a source, in ms;
 *   infinite where one was never complete.
 */
export function getOldestAgeMs(store: FactStore): number {
  return Math.max(...SOURCE_TOPICS.map((topic) => store.getAgeMs(topic)));
}
