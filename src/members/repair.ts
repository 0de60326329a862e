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
import { isSameDigest, type Topic, type TopicDigest } from "../news/types.ts";
import type { EpochStart } from "../news/version.ts";
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
}

/** Dependencies of the fact repair. */
export interface FactRepairOptions {
  factStore: FactStore;
  clock: Clock;
  log: Log;
}

/**
 * Updates in flight make digests differ too, for at most one interval of the
 * reader (150 ms) and one round trip (70 ms). A difference that lasts this long
 * has another cause, and the repaired facts can still take effect within the
 * shortest limit (2 s).
 */
const DIVERGENCE_TIMEOUT_MS = 1_000;
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
  const differentSinceMs = new WeakMap<FactPeer, Map<Topic, number>>();

  function getSince(other: FactPeer): Map<Topic, number> {
    const known = differentSinceMs.get(other);
    if (known !== undefined) return known;
    const since = new Map<Topic, number>();
    differentSinceMs.set(other, since);
    return since;
  }

  function requestTopic(other: FactPeer, topic: Topic): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (sentAtMs.get(topic) ?? -Infinity) < REQUEST_PAUSE_MS) return;
    sentAtMs.set(topic, nowMs);
    log.info({ peer: other.peer, topic }, "facts differ, requesting topic");
    other.requestTopic(topic);
  }

  return {
    compare(other, topic, digest) {
      const startedAfterRestore = hasEarlierEpoch(
        digest,
        factStore.listEpochs(topic),
      );
      factStore.recordEpochs(topic, digest.epochs ?? []);
      const own = factStore.getDigest(topic);
      const since = getSince(other);
      if (isSameDigest(own, digest)) {
        since.delete(topic);
        return false;
      }
      const nowMs = clock.monotonicMs();
      const sinceMs = since.get(topic) ?? nowMs;
      since.set(topic, sinceMs);
      const isLacking = own.facts === 0 || startedAfterRestore ||
        nowMs - sinceMs >= DIVERGENCE_TIMEOUT_MS;
      if (isLacking && digest.facts > 0) requestTopic(other, topic);
      return isLacking;
    },
  };
}
