/**
 * Decides when an epoch of a source is settled: lost facts have been written
 * again, and from then on the source's listing is authoritative, even where it is
 * older than what VMs know.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { FactStore } from "./fact_store.ts";
import {
  CONFIGURATION_KEY,
  type FactBatch,
  type SourceTopic,
} from "./types.ts";

/**
 * Servers write within two seconds after the source answers again, and the
 * operator at once. The rest covers a write that fails and is retried.
 */
const SETTLE_MS = 5_000;
/**
 * If the operator hasn't written again for this long, the configuration in the
 * source is taken as intended, though it is older than the one in force.
 */
const OLDER_CONFIGURATION_MS = 60_000;

/** Tracks the settlement of the latest epoch of a topic. */
export interface EpochSettlement {
  /** Records that the source answered. */
  recordAnswer(): void;
  /** Records that the source failed to answer; writers may have failed as well. */
  recordFailure(): void;
  /** @returns Whether to list the topic in order to settle its epoch. */
  isDue(): boolean;
  /**
   * @param batch The listing that was made because `isDue` held.
   * @returns Whether it settles its epoch.
   */
  settlesEpoch(batch: FactBatch): boolean;
}

/**
 * Creates the settlement state of a source that hasn't answered yet.
 *
 * @param topic The topic.
 * @param store Facts of this VM.
 * @param clock Clock for the waiting times.
 * @returns The settlement state.
 */
export function createEpochSettlement(
  topic: SourceTopic,
  store: FactStore,
  clock: Clock,
): EpochSettlement {
  let epoch: number | undefined;
  let answeringSinceMs: number | undefined;
  let lastAttemptAtMs = -Infinity;

  function getAnsweringMs(): number {
    return answeringSinceMs === undefined
      ? 0
      : clock.monotonicMs() - answeringSinceMs;
  }

  /** Whether the listed configuration is older than the one in force. */
  function listsOlderConfiguration(batch: FactBatch): boolean {
    const listed = batch.items.find(({ key }) => key === CONFIGURATION_KEY);
    const known = store.get(CONFIGURATION_KEY);
    return listed?.fact?.kind === "configuration" &&
      known?.fact?.kind === "configuration" &&
      listed.fact.configuration.version < known.fact.configuration.version;
  }

  return {
    recordAnswer() {
      const latest = store.getLatestEpoch(topic);
      if (latest === epoch && answeringSinceMs !== undefined) return;
      epoch = latest;
      answeringSinceMs = clock.monotonicMs();
    },
    recordFailure() {
      answeringSinceMs = undefined;
    },
    isDue() {
      if (epoch !== store.getLatestEpoch(topic) || store.isSettled(topic)) {
        return false;
      }
      const sinceAttemptMs = clock.monotonicMs() - lastAttemptAtMs;
      return getAnsweringMs() >= SETTLE_MS && sinceAttemptMs >= SETTLE_MS;
    },
    settlesEpoch(batch) {
      lastAttemptAtMs = clock.monotonicMs();
      if (batch.version.epoch !== epoch) return false;
      return getAnsweringMs() >= OLDER_CONFIGURATION_MS ||
        !listsOlderConfiguration(batch);
    },
  };
}
