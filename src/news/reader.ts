/**
 * Reads topics from their source while this VM has the duty to, and for
 * itself whenever nobody passes current facts on.
 *
 * @module
 */
import { type Clock, pause } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { Log } from "../telemetry/log.ts";
import type { FactStore } from "./fact_store.ts";
import type { Instant } from "./freshness.ts";
import { createEpochSettlement } from "./epoch_settlement.ts";
import type {
  FactBatch,
  FactSource,
  FactUpdate,
  SourceBatch,
  SourceTopic,
} from "./types.ts";
import { type FactVersion, makeVersion } from "./version.ts";

/** Times of a reader. */
export interface ReaderTimings {
  /**
   * How long the source holds a call back when nothing changed. Facts count
   * as current as of the last answer, so it is also their age on a calm day.
   */
  waitMs: number;
  /** Pause between two answers, so that changes come in batches. */
  batchPauseMs: number;
  /** First pause after a failed call; doubles up to `maxRetryMs`. */
  initialRetryMs: number;
  maxRetryMs: number;
}

export const DEFAULT_READER_TIMINGS: ReaderTimings = {
  waitMs: 1_000,
  batchPauseMs: 150,
  initialRetryMs: 100,
  maxRetryMs: 800,
};

/**
 * Where what is known has to be proven lately: a reading proves what held when
 * it was asked for, so one that waits for long is old when it ends.
 */
export const STRICT_READER_TIMINGS: ReaderTimings = {
  ...DEFAULT_READER_TIMINGS,
  waitMs: 500,
};

/** How often a VM that does not read checks whether it has to. */
const IDLE_CHECK_MS = 250;
/** Facts that one line of the log names. */
const MAX_SHOWN_FACTS = 5;
/** A call that found nothing is this much late before it counts as lost. */
export const SOURCE_GRACE_MS = 700;

/** What a reader needs. */
export interface ReaderOptions {
  source: FactSource;
  store: FactStore;
  clock: Clock;
  log: Log;
  timings: ReaderTimings;
  /** Whether this VM reads for others. */
  hasReadDuty: () => boolean;
  /**
   * @param ageMs Age of the topic's facts; infinite before the first.
   * @returns Whether this VM has to read them for itself.
   */
  needsFallbackRead: (ageMs: number) => boolean;
  /** Told of facts that were new, to pass them on. */
  onUpdates: (items: FactUpdate[]) => void;
  /** Told of each answer of the source, and when it was asked for. */
  onRead: (topic: SourceTopic, askedAt: Instant) => void;
  /** @returns This moment. */
  getInstant: () => Instant;
}

/** A running reader. */
export interface Reader {
  stop(): void;
}

/**
 * @param topic The topic to read.
 * @param parts What the reader needs.
 * @returns The running reader.
 */
export function startReader(topic: SourceTopic, parts: ReaderOptions): Reader {
  const { source, store: board, clock, log, timings: times } = parts;
  let stopped = false;
  let position: FactVersion | undefined;
  const settling = createEpochSettlement(topic, board, clock);
  let failures = 0;

  async function readOnce(): Promise<void> {
    const askedAt = parts.getInstant();
    if (position === undefined || settling.isDue()) return await list(askedAt);
    const result = await source.follow(topic, position.number, times.waitMs);
    settling.recordAnswer();
    if (result.kind === "history_lost") {
      log.info({ topic, position }, "history lost, listing anew");
      position = undefined;
      return;
    }
    const batch = toBatch(result.batch);
    if (batch.version.epoch !== position.epoch || isEarlier(batch)) {
      const { epoch } = batch.version;
      log.info({ topic, epoch, position }, "epoch changed, listing anew");
      position = undefined;
      return;
    }
    take(batch, board.apply(batch.items), askedAt);
  }

  async function list(askedAt: Instant): Promise<void> {
    const isSettlingDue = settling.isDue();
    const answer = await source.list(topic);
    const batch = toBatch(answer);
    position = undefined;
    if (isEarlier(batch)) {
      const { epoch } = batch.version;
      throw new Error(
        `The source answers of epoch ${epoch}, known is ${
          board.getLatestEpoch(topic)
        }`,
      );
    }
    const isSettled = isSettlingDue && settling.settlesEpoch(batch);
    if (answer.epoch !== undefined) noteEpoch(batch.version, isSettled);
    settling.recordAnswer();
    const news = board.applySnapshot(topic, batch);
    const facts = batch.items.length;
    log.info(
      { topic, position: batch.version, facts, news: news.length },
      "topic listed",
    );
    take(batch, news, askedAt);
  }

  /** An answer that names no epoch is one of the epoch that is known. */
  function toBatch({ items, version, epoch }: SourceBatch): FactBatch {
    const named = epoch ?? board.getLatestEpoch(topic);
    return {
      version: makeVersion(version, named),
      items: items.map((item) => ({
        ...item,
        version: makeVersion(item.version, named),
      })),
    };
  }

  /** Whether an answer came late, from before the source was restored. */
  function isEarlier({ version }: FactBatch): boolean {
    return version.epoch < board.getLatestEpoch(topic);
  }

  function noteEpoch({ epoch, number }: FactVersion, isSettled: boolean): void {
    const before = board.listEpochs(topic);
    const isNews = board.recordEpochs(topic, [{
      epoch,
      copiedThrough: number,
      isSettled,
    }]);
    if (!isNews) return;
    if (isSettled) log.info({ topic, epoch }, "epoch settled");
    else log.warn({ topic, epoch, before, position: number }, "epoch began");
  }

  function take(batch: FactBatch, news: FactUpdate[], askedAt: Instant): void {
    position = batch.version;
    logOlder(batch);
    publish(news, askedAt);
  }

  /** Facts of the source in whose place this VM keeps another one. */
  function logOlder({ items, version: position }: FactBatch): void {
    const older = items.flatMap(({ key, version }) => {
      const known = board.get(key)?.version;
      if (known === undefined || known.epoch === version.epoch) return [];
      return known.number === version.number ? [] : [{ key, version, known }];
    });
    if (older.length === 0) return;
    const shown = older.slice(0, MAX_SHOWN_FACTS);
    log.warn(
      { topic, position, count: older.length, shown },
      "source tells older facts",
    );
  }

  function publish(items: FactUpdate[], askedAt: Instant): void {
    board.recordComplete(topic, 0);
    if (items.length > 0) parts.onUpdates(items);
    parts.onRead(topic, askedAt);
  }

  function noteSuccess(): void {
    if (failures > 0) {
      log.info({ topic, failures }, "platform reachable again");
    }
    failures = 0;
  }

  async function noteFailure(cause: unknown): Promise<void> {
    failures++;
    settling.recordFailure();
    if (failures === 1) {
      log.warn({ topic, error: describeError(cause) }, "platform lost");
    }
    const factor = 2 ** Math.min(failures - 1, 10);
    await pause(
      clock,
      Math.min(times.initialRetryMs * factor, times.maxRetryMs),
    );
  }

  async function run(): Promise<void> {
    while (!stopped) {
      if (
        !parts.hasReadDuty() && !parts.needsFallbackRead(board.getAgeMs(topic))
      ) {
        await pause(clock, IDLE_CHECK_MS);
        continue;
      }
      try {
        await readOnce();
        noteSuccess();
        await pause(clock, times.batchPauseMs);
      } catch (cause) {
        await noteFailure(cause);
      }
    }
  }

  void run();
  return { stop: () => void (stopped = true) };
}
