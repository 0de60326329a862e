/**
 * Reads a topic from its source while this VM has the duty to read for others,
 * and for itself whenever no other VM passes current facts on.
 *
 * @module
 */
import { type Clock, pause } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { Log } from "../telemetry/log.ts";
import { createEpochSettlement } from "./epoch_settlement.ts";
import type { FactStore } from "./fact_store.ts";
import type { Instant } from "./freshness.ts";
import { createMarkKeeper } from "./epoch_marks.ts";
import type {
  EpochMarks,
  Fact,
  FactBatch,
  FactSource,
  FactUpdate,
  SourceBatch,
  SourceTopic,
} from "./types.ts";
import { type FactVersion, makeVersion } from "./version.ts";

/** Timings of a reader. */
export interface ReaderTimings {
  /**
   * How long the source holds a call while nothing changes, in ms. Facts count as
   * current as of the last answer, so without changes they get this old.
   */
  waitMs: number;
  /** Pause after an answer, in ms, so that changes arrive in batches. */
  batchPauseMs: number;
  /** First pause after a failed call, in ms; it doubles up to `maxRetryMs`. */
  initialRetryMs: number;
  /** Maximum pause after a failed call, in ms. */
  maxRetryMs: number;
}

/** Timings of a reader for which no proof of freshness is needed. */
export const DEFAULT_READER_TIMINGS: ReaderTimings = {
  waitMs: 1_000,
  batchPauseMs: 150,
  initialRetryMs: 100,
  maxRetryMs: 800,
};

/**
 * Timings of a reader whose facts need a recent proof: a read proves the state at
 * the time of its request, so a long call proves an old state when it ends.
 */
export const STRICT_READER_TIMINGS: ReaderTimings = {
  ...DEFAULT_READER_TIMINGS,
  waitMs: 500,
};

/** How often a VM that doesn't read checks whether it has to. */
const IDLE_CHECK_INTERVAL_MS = 250;
/** Maximum number of facts that one log line names. */
const MAX_LOGGED_FACTS = 5;
/** Time beyond `waitMs` after which a call without an answer counts as lost. */
export const SOURCE_GRACE_MS = 700;

/** Dependencies of a reader. */
export interface ReaderOptions {
  source: FactSource;
  store: FactStore;
  clock: Clock;
  log: Log;
  timings: ReaderTimings;
  /** @returns Whether this VM reads for others. */
  hasReadDuty: () => boolean;
  /**
   * @param ageMs Age of the topic's facts, in ms; infinite before the first.
   * @returns Whether this VM has to read them itself.
   */
  needsFallbackRead: (ageMs: number) => boolean;
  /**
   * Called with the updates that were new, to pass them on.
   *
   * @param updates The updates; never empty.
   */
  onUpdates: (updates: FactUpdate[]) => void;
  /**
   * Called for each answer of the source that was applied.
   *
   * @param topic The topic.
   * @param requestedAt When the answer was requested.
   */
  onRead: (topic: SourceTopic, requestedAt: Instant) => void;
  /** @returns The current instant. */
  getInstant: () => Instant;
  /** Marks of settled epochs; undefined where none are kept for the topic. */
  epochMarks?: EpochMarks;
  /**
   * Whether the source is read for the first time ever, so that its epoch can't
   * have lost anything.
   */
  isFirstStart?: boolean;
}

/** A running reader. */
export interface Reader {
  /** Stops the reader after the call in progress. */
  stop(): void;
}

/**
 * Starts to read a topic.
 *
 * @param topic The topic to read.
 * @param options Dependencies of the reader.
 * @returns The running reader.
 */
export function startReader(
  topic: SourceTopic,
  options: ReaderOptions,
): Reader {
  const { source, store, clock, log, timings } = options;
  let stopped = false;
  let position: FactVersion | undefined;
  const settlement = createEpochSettlement(topic, store, clock);
  const marks = options.epochMarks && createMarkKeeper(options.epochMarks);
  let failures = 0;

  async function readOnce(): Promise<void> {
    const asOf = options.getInstant();
    if (position === undefined || settlement.isDue() || isMarkUnknown()) {
      return await list(asOf);
    }
    const result = await source.follow(topic, position.number, timings.waitMs);
    settlement.recordAnswer();
    if (result.kind === "history_lost") {
      log.info(
        { topic, position },
        "source no longer has the changes, listing the topic again",
      );
      position = undefined;
      return;
    }
    const batch = toFactBatch(result.batch);
    if (batch.version.epoch !== position.epoch || isOfEarlierEpoch(batch)) {
      const { epoch } = batch.version;
      log.info(
        { topic, epoch, position },
        "epoch changed, listing the topic again",
      );
      position = undefined;
      return;
    }
    acceptBatch(batch, store.applyChanges(topic, batch), asOf);
  }

  async function list(asOf: Instant): Promise<void> {
    const isSettlementDue = settlement.isDue();
    const isFirst = options.isFirstStart && store.getLatestEpoch(topic) === 0;
    const [answer, marked] = await Promise.all([
      source.list(topic),
      isFirst ? undefined : readMark(),
    ]);
    const batch = toFactBatch(answer);
    position = undefined;
    if (isOfEarlierEpoch(batch)) {
      const { epoch } = batch.version;
      throw new Error(
        `The source answered in epoch ${epoch}, but epoch ${
          store.getLatestEpoch(topic)
        } is known`,
      );
    }
    const isSettled = isFirst || marked === batch.version.epoch ||
      isSettlementDue && settlement.settlesEpoch(batch);
    if (answer.epoch !== undefined) recordEpoch(batch.version, isSettled);
    settlement.recordAnswer();
    const updates = store.applySnapshot(topic, batch);
    const facts = batch.items.length;
    log.info(
      { topic, position: batch.version, facts, news: updates.length },
      "topic listed",
    );
    acceptBatch(batch, updates, asOf);
  }

  /** Whether an epoch that this VM can't judge may have been marked as settled. */
  function isMarkUnknown(): boolean {
    return marks !== undefined && !store.isSettled(topic) &&
      marks.isUnread(store.getLatestEpoch(topic));
  }

  /** Returns the epoch that is marked; undefined where it isn't needed. */
  async function readMark(): Promise<number | undefined> {
    const epoch = store.getLatestEpoch(topic);
    if (marks === undefined || !marks.isUnread(epoch)) return undefined;
    try {
      return await marks.read(epoch);
    } catch (cause) {
      log.warn({ topic, error: describeError(cause) }, "epoch's mark not read");
      return undefined;
    }
  }

  /** An answer that names no epoch belongs to the latest one that is known. */
  function toFactBatch(
    { items, version, epoch, invalidKeys }: SourceBatch,
  ): FactBatch {
    const answerEpoch = epoch ?? store.getLatestEpoch(topic);
    return {
      version: makeVersion(version, answerEpoch),
      isEpochAssumed: epoch === undefined && answerEpoch > 0,
      invalidKeys,
      items: items.map((update) => ({
        ...update,
        version: makeVersion(update.version, answerEpoch),
      })),
    };
  }

  /** Whether a late answer comes from before the source was restored. */
  function isOfEarlierEpoch({ version }: FactBatch): boolean {
    return version.epoch < store.getLatestEpoch(topic);
  }

  function recordEpoch(
    { epoch, number }: FactVersion,
    isSettled: boolean,
  ): void {
    const before = store.listEpochs(topic);
    const isNew = store.recordEpochs(topic, [{
      epoch,
      copiedThrough: number,
      isSettled,
    }]);
    if (!isNew) return;
    if (isSettled) {
      log.info({ topic, epoch }, "epoch settled");
      if (options.hasReadDuty()) marks?.setDue(epoch);
    } else log.warn({ topic, epoch, before, position: number }, "epoch began");
  }

  function acceptBatch(
    batch: FactBatch,
    updates: FactUpdate[],
    asOf: Instant,
  ): void {
    position = batch.version;
    logOlderFacts(batch);
    publish(updates, asOf);
    marks?.writeDue().catch((cause) => {
      log.warn({ topic, error: describeError(cause) }, "epoch not marked");
    });
  }

  /** Logs facts of the source that are older than what this VM keeps. */
  function logOlderFacts({ items, version: position }: FactBatch): void {
    const older = items.flatMap(({ key, version, fact }) => {
      const known = store.get(key);
      if (known === undefined) return [];
      const { epoch, number } = known.version;
      // An answer that is late, or a fact that is read again.
      if (epoch === version.epoch && number >= version.number) return [];
      if (number === version.number) return [];
      const configurations = {
        configuration: getConfigurationVersion(fact),
        knownConfiguration: getConfigurationVersion(known.fact),
      };
      return [{ key, version, known: known.version, ...configurations }];
    });
    if (older.length === 0) return;
    const shown = older.slice(0, MAX_LOGGED_FACTS);
    log.warn(
      { topic, position, count: older.length, shown },
      "source returned older facts than this VM keeps",
    );
  }

  function publish(updates: FactUpdate[], asOf: Instant): void {
    store.recordComplete(topic, 0);
    if (updates.length > 0) options.onUpdates(updates);
    options.onRead(topic, asOf);
  }

  function recordSuccess(): void {
    if (failures > 0) {
      log.info({ topic, failures }, "platform reachable again");
    }
    failures = 0;
  }

  /** Records a failed call, and pauses before the next one. */
  async function backOff(cause: unknown): Promise<void> {
    failures++;
    settlement.recordFailure();
    if (failures === 1) {
      log.warn({ topic, error: describeError(cause) }, "platform unreachable");
    }
    const factor = 2 ** Math.min(failures - 1, 10);
    await pause(
      clock,
      Math.min(timings.initialRetryMs * factor, timings.maxRetryMs),
    );
  }

  async function run(): Promise<void> {
    while (!stopped) {
      if (
        !options.hasReadDuty() &&
        !options.needsFallbackRead(store.getAgeMs(topic))
      ) {
        await pause(clock, IDLE_CHECK_INTERVAL_MS);
        continue;
      }
      try {
        await readOnce();
        recordSuccess();
        await pause(clock, timings.batchPauseMs);
      } catch (cause) {
        await backOff(cause);
      }
    }
  }

  void run();
  return { stop: () => void (stopped = true) };
}

function getConfigurationVersion(fact: Fact | undefined): number | undefined {
  return fact?.kind === "configuration"
    ? fact.configuration.version
    : undefined;
}
