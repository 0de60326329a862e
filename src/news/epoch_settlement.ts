/**
 * When an epoch of a source is settled: what was lost has been written again,
 * and what the source lists holds, however much older it looks.
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
 * operator at once. The rest covers a write that fails and is tried again.
 */
const SETTLE_MS = 5_000;
/**
 * An operator that has not written again for this long means the configuration
 * that the source has, though it is older than the one in force.
 */
const OLDER_CONFIGURATION_MS = 60_000;

/** Follows one epoch of a topic after the other. */
export interface EpochSettlement {
  /** Notes that the source answered. */
  recordAnswer(): void;
  /** Notes that it didn't, so that writers may not have reached it either. */
  recordFailure(): void;
  /** @returns Whether to list the topic in order to settle its epoch. */
  isDue(): boolean;
  /**
   * @param batch What was listed while that was due.
   * @returns Whether it settles its epoch.
   */
  settlesEpoch(batch: FactBatch): boolean;
}

/**
 * @param topic A topic.
 * @param board All facts of this VM.
 * @param clock The clock.
 * @returns Settling of a source that has not answered.
 */
export function createEpochSettlement(
  topic: SourceTopic,
  board: FactStore,
  clock: Clock,
): EpochSettlement {
  let epoch: number | undefined;
  let answeringSinceMs: number | undefined;
  let triedAtMs = -Infinity;

  function getAnsweringMs(): number {
    return answeringSinceMs === undefined
      ? 0
      : clock.monotonicMs() - answeringSinceMs;
  }

  /** Whether the operator has yet to write the configuration in force again. */
  function isOlder(batch: FactBatch): boolean {
    const listed = batch.items.find(({ key }) => key === CONFIGURATION_KEY);
    const known = board.get(CONFIGURATION_KEY);
    return listed?.fact?.kind === "configuration" &&
      known?.fact?.kind === "configuration" &&
      listed.fact.configuration.version < known.fact.configuration.version;
  }

  return {
    recordAnswer() {
      const latest = board.getLatestEpoch(topic);
      if (latest === epoch && answeringSinceMs !== undefined) return;
      epoch = latest;
      answeringSinceMs = clock.monotonicMs();
    },
    recordFailure() {
      answeringSinceMs = undefined;
    },
    isDue() {
      if (epoch !== board.getLatestEpoch(topic) || board.isSettled(topic)) {
        return false;
      }
      const sinceTryMs = clock.monotonicMs() - triedAtMs;
      return getAnsweringMs() >= SETTLE_MS && sinceTryMs >= SETTLE_MS;
    },
    settlesEpoch(batch) {
      triedAtMs = clock.monotonicMs();
      if (batch.version.epoch !== epoch) return false;
      return getAnsweringMs() >= OLDER_CONFIGURATION_MS || !isOlder(batch);
    },
  };
}
