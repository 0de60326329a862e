/**
 * Anti-entropy: detects from digests that this VM missed facts, and requests
 * them from another VM.
 *
 * Each fact is sent only once on each link, so that a VM misses the facts that
 * are sent while it has no link to the sender.
 *
 * @module
 */
import type { FactStore } from "../news/fact_store.ts";
import {
  isSameDigest,
  type SourceTopic,
  type Topic,
  type TopicDigest,
} from "../news/types.ts";
import type { EpochStart, FactVersion } from "../news/version.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** A VM that facts can be requested from. */
export interface FactPeer {
  /** The VM's address, for logs. */
  peer: string;
  /**
   * Requests all facts of a topic.
   *
   * @param topic The topic.
   */
  requestTopic(topic: Topic): void;
}

/** Compares the facts of this VM with those of others. */
export interface FactRepair {
  /**
   * Compares digests of a topic, and requests the topic if facts are missing.
   *
   * @param other The other VM; the same object for every message of a link.
   * @param topic The topic.
   * @param digest The other VM's digest of the topic.
   * @returns Whether this VM lacks facts. Requests are rate-limited.
   */
  compare(other: FactPeer, topic: Topic, digest: TopicDigest): boolean;
  /**
   * Applies the announcement that another VM just read a topic. If this VM has
   * the same facts, it is complete as well.
   *
   * @param other The other VM; the same object for every message of a link.
   * @param read What the other VM read.
   * @returns Whether this VM has the same facts.
   */
  recordRead(other: FactPeer, read: AnnouncedRead): boolean;
}

/** Announcement of a VM that it read a topic from its source. */
export interface AnnouncedRead {
  topic: SourceTopic;
  /** Its facts of the topic after the read. */
  digest: TopicDigest;
  /** By epoch, the position up to which it knows the topic's history. */
  readPositions?: readonly FactVersion[];
}

/** A difference between the facts of this VM and of another one. */
interface Difference {
  sinceMs: number;
}

/** Dependencies of the fact repair. */
export interface FactRepairOptions {
  factStore: FactStore;
  clock: Clock;
  log: Log;
}

/** A difference that lasts this long is not due to changes in flight. */
const DIVERGENCE_TIMEOUT_MS = 1_000;
/**
 * The same where no change arrives meanwhile: updates are in flight for at most
 * one interval of the reader (150 ms) and one round trip (70 ms).
 */
const QUIET_DIVERGENCE_TIMEOUT_MS = 400;
/** Requests go to one VM at a time; an answer takes a round trip. */
const REQUEST_PAUSE_MS = 500;

/**
 * Whether another VM ran through a restore that took place before this VM
 * started: its first epoch is earlier.
 */
function hasEarlierEpoch(
  { epochs = [] }: TopicDigest,
  own: readonly EpochStart[],
): boolean {
  if (epochs.length === 0 || own.length === 0) return false;
  return epochs[0].epoch < own[0].epoch;
}

/**
 * Creates a fact repair.
 *
 * @param options Its dependencies.
 * @returns The repair.
 */
export function createFactRepair(options: FactRepairOptions): FactRepair {
  const { factStore, clock, log } = options;
  const sentAtMs = new Map<Topic, number>();
  const differences = new WeakMap<FactPeer, Map<Topic, Difference>>();

  function getDifferences(other: FactPeer): Map<Topic, Difference> {
    const known = differences.get(other);
    if (known !== undefined) return known;
    const created = new Map<Topic, Difference>();
    differences.set(other, created);
    return created;
  }

  /**
   * Checks a new difference again when it is due. The other VM may not repeat its
   * digest for a second, and a change has to be in force after two.
   */
  function recheckLater(
    other: FactPeer,
    topic: Topic,
    difference: Difference,
  ): void {
    const own = factStore.getDigest(topic);
    clock.after(QUIET_DIVERGENCE_TIMEOUT_MS, () => {
      const isCurrent = getDifferences(other).get(topic) === difference;
      // Changes since then are what was in flight, or will show again.
      const hasChanged = !isSameDigest(factStore.getDigest(topic), own);
      if (isCurrent && !hasChanged) requestTopic(other, topic);
    });
  }

  function requestTopic(other: FactPeer, topic: Topic): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (sentAtMs.get(topic) ?? -Infinity) < REQUEST_PAUSE_MS) return;
    sentAtMs.set(topic, nowMs);
    log.info({ peer: other.peer, topic }, "facts differ, requesting topic");
    other.requestTopic(topic);
  }

  const compare: FactRepair["compare"] = (other, topic, digest) => {
    const startedAfterRestore = hasEarlierEpoch(
      digest,
      factStore.listEpochs(topic),
    );
    factStore.recordEpochs(topic, digest.epochs ?? []);
    const own = factStore.getDigest(topic);
    const known = getDifferences(other);
    if (isSameDigest(own, digest)) {
      known.delete(topic);
      return false;
    }
    const nowMs = clock.monotonicMs();
    const difference = known.get(topic) ?? { sinceMs: nowMs };
    const isLacking = own.facts === 0 || startedAfterRestore ||
      nowMs - difference.sinceMs >= DIVERGENCE_TIMEOUT_MS;
    if (isLacking && digest.facts > 0) requestTopic(other, topic);
    if (!known.has(topic)) {
      known.set(topic, difference);
      if (digest.facts > 0) recheckLater(other, topic, difference);
    }
    return isLacking;
  };

  return {
    compare,
    recordRead(other, { topic, digest, readPositions = [] }) {
      compare(other, topic, digest);
      if (!isSameDigest(factStore.getDigest(topic), digest)) return false;
      factStore.recordReadPositions(topic, readPositions);
      factStore.recordComplete(topic, 0);
      return true;
    },
  };
}
