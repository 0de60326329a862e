/**
 * All facts that this VM knows, by key; the highest version of each holds.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import {
  type Fact,
  type NewsBatch,
  type NewsItem,
  SOURCE_TOPICS,
  type Topic,
  type TopicDigest,
} from "./types.ts";

/** Told of each fact that changed. */
export type NewsListener = (item: NewsItem, previous: Fact | undefined) => void;

/** The facts of one VM. */
export interface NewsBoard {
  /**
   * Takes changes in.
   *
   * @param items Facts from any source, in any order.
   * @returns Those that were new to this VM.
   */
  apply(items: readonly NewsItem[]): NewsItem[];
  /**
   * Takes a whole topic in: what it does not list is removed.
   *
   * @param topic The topic.
   * @param batch All its facts as of one moment.
   * @returns Those that were new to this VM, removals among them.
   */
  applyWhole(topic: Topic, batch: NewsBatch): NewsItem[];
  /** @returns All facts and removals of a topic, for a VM that lacks some. */
  listTopic(topic: Topic): NewsItem[];
  /**
   * @param key A key.
   * @returns The version that is known under it; 0 where none is.
   */
  getVersion(key: string): number;
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
  noteCurrent(topic: Topic, ageMs: number): void;
  /**
   * @param topic The topic.
   * @returns How long ago its facts were known to be complete.
   */
  getAgeMs(topic: Topic): number;
  /** Registers who is told of changes, in order. */
  subscribe(listener: NewsListener): void;
}

/**
 * Removals are remembered so that a late message can't bring a removed fact
 * back; two minutes exceed every delay of the links between VMs.
 */
const REMOVAL_MEMORY_MS = 120_000;

interface Known {
  item: NewsItem;
  sinceMs: number;
}

/**
 * @param clock The clock.
 * @returns A board with no facts.
 */
export function createNewsBoard(clock: Clock): NewsBoard {
  const known = new Map<string, Known>();
  const currentAtMs = new Map<Topic, number>();
  const digests = new Map<Topic, TopicDigest>();
  const listeners: NewsListener[] = [];

  function getDigest(topic: Topic): TopicDigest {
    return digests.get(topic) ?? { facts: 0, versionSum: 0 };
  }

  function count(item: NewsItem | undefined, sign: 1 | -1): void {
    if (item?.fact === undefined) return;
    const { facts, versionSum } = getDigest(item.topic);
    digests.set(item.topic, {
      facts: facts + sign,
      versionSum: versionSum + sign * item.version,
    });
  }

  function applyOne(item: NewsItem): boolean {
    const previous = known.get(item.key);
    if (previous !== undefined && previous.item.version >= item.version) {
      return false;
    }
    known.set(item.key, { item, sinceMs: clock.monotonicMs() });
    count(previous?.item, -1);
    count(item, 1);
    if (item.fact === undefined && previous?.item.fact === undefined) {
      return previous === undefined;
    }
    for (const listener of listeners) listener(item, previous?.item.fact);
    return true;
  }

  function apply(items: readonly NewsItem[]): NewsItem[] {
    forgetOldRemovals();
    return items.filter(applyOne);
  }

  function applyWhole(topic: Topic, batch: NewsBatch): NewsItem[] {
    const listed = new Set(batch.items.map((item) => item.key));
    const removed: NewsItem[] = [];
    for (const { item } of known.values()) {
      const isMissing = item.topic === topic && item.fact !== undefined &&
        item.version <= batch.version && !listed.has(item.key);
      if (!isMissing) continue;
      removed.push({ topic, key: item.key, version: batch.version });
    }
    return apply([...batch.items, ...removed]);
  }

  function forgetOldRemovals(): void {
    const limitMs = clock.monotonicMs() - REMOVAL_MEMORY_MS;
    for (const [key, { item, sinceMs }] of known) {
      if (item.fact === undefined && sinceMs < limitMs) known.delete(key);
    }
  }

  return {
    apply,
    applyWhole,
    listTopic: (topic) =>
      [...known.values()].map(({ item }) => item)
        .filter((item) => item.topic === topic),
    getVersion: (key) => known.get(key)?.item.version ?? 0,
    getDigest,
    getDigests: () => ({
      operations: getDigest("operations"),
      servers: getDigest("servers"),
      suspects: getDigest("suspects"),
    }),
    noteCurrent(topic, ageMs) {
      const atMs = clock.monotonicMs() - ageMs;
      const before = currentAtMs.get(topic) ?? -Infinity;
      if (atMs > before) currentAtMs.set(topic, atMs);
    },
    getAgeMs(topic) {
      const atMs = currentAtMs.get(topic);
      return atMs === undefined ? Infinity : clock.monotonicMs() - atMs;
    },
    subscribe: (listener) => void listeners.push(listener),
  };
}

/**
 * @param board A board.
 * @returns The age of its least current topic, in ms.
 */
export function getOldestAgeMs(board: NewsBoard): number {
  return Math.max(...SOURCE_TOPICS.map((topic) => board.getAgeMs(topic)));
}
