/**
 * Finds out which facts this VM missed, and asks another VM for them.
 *
 * Facts pass once on each link, so that a VM misses those that pass while it
 * has no link to the VM that passes them on.
 *
 * @module
 */
import type { FactStore } from "../news/fact_store.ts";
import { isSameDigest, type Topic, type TopicDigest } from "../news/types.ts";
import type { EpochStart } from "../news/version.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** A VM that facts may be asked of. */
export interface FactPeer {
  /** Its address, for logs. */
  peer: string;
  /** Asks it for all facts of a topic. */
  ask(topic: Topic): void;
}

/** Compares this VM's facts with those of others. */
export interface FactRepair {
  /**
   * @param other The other VM, the same object for each message of a link.
   * @param topic A topic.
   * @param digest What the other VM knows of it.
   * @returns Whether this VM lacks facts; they are asked for then.
   */
  compare(other: FactPeer, topic: Topic, digest: TopicDigest): boolean;
}

/** What a repair needs. */
export interface FactRepairParts {
  board: FactStore;
  clock: Clock;
  log: Log;
}

/**
 * News on their way show as a difference too, for a pause of the reader (150 ms)
 * and a round trip (70 ms) at most. A difference that lasts this long is none
 * of these, and leaves time to be in force within the shortest limit (2 s).
 */
const DIFFERENT_MS = 1_000;
/** One VM is asked at a time; an answer takes a round trip. */
const ASK_AGAIN_MS = 500;

/** Whether another VM has lived through a restore before this one began. */
function knowsEarlier(
  { epochs = [] }: TopicDigest,
  own: readonly EpochStart[],
): boolean {
  if (epochs.length === 0 || own.length === 0) return false;
  return epochs[0].epoch < own[0].epoch;
}

/**
 * @param parts What the repair needs.
 * @returns A repair that has compared nothing.
 */
export function createFactRepair(parts: FactRepairParts): FactRepair {
  const { board, clock, log } = parts;
  const askedAtMs = new Map<Topic, number>();
  const differentSinceMs = new WeakMap<FactPeer, Map<Topic, number>>();

  function getSince(other: FactPeer): Map<Topic, number> {
    const known = differentSinceMs.get(other);
    if (known !== undefined) return known;
    const since = new Map<Topic, number>();
    differentSinceMs.set(other, since);
    return since;
  }

  function ask(other: FactPeer, topic: Topic): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - (askedAtMs.get(topic) ?? -Infinity) < ASK_AGAIN_MS) return;
    askedAtMs.set(topic, nowMs);
    log.info({ peer: other.peer, topic }, "facts differ, asking");
    other.ask(topic);
  }

  return {
    compare(other, topic, digest) {
      const startedLater = knowsEarlier(digest, board.listEpochs(topic));
      board.recordEpochs(topic, digest.epochs ?? []);
      const own = board.getDigest(topic);
      const since = getSince(other);
      if (isSameDigest(own, digest)) {
        since.delete(topic);
        return false;
      }
      const nowMs = clock.monotonicMs();
      const sinceMs = since.get(topic) ?? nowMs;
      since.set(topic, sinceMs);
      const isLacking = own.facts === 0 || startedLater ||
        nowMs - sinceMs >= DIFFERENT_MS;
      if (isLacking && digest.facts > 0) ask(other, topic);
      return isLacking;
    },
  };
}
