/**
 * Polls the table for changes. Only a few steers of each failure domain read;
 * each steer selects them by rendezvous hashing over the members that it sees.
 * Where views differ, an additional steer may read, which is harmless.
 *
 * @module
 */
import PQueue from "p-queue";
import { parseChangeSet } from "../platform/messages.ts";
import type { ChangeSet, ObjectStore, Platform } from "../platform/types.ts";
import { REPLICATED_PREFIXES } from "../replica/types.ts";
import type { Clock, Timer } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import { rankByRendezvous } from "../runtime/hash.ts";
import { createLogger } from "../runtime/logger.ts";

const log = createLogger("control");

/** Readers per failure domain: a primary and a slower standby. */
export const READERS_PER_DOMAIN = 2;
/** Interval between two reads of the primary reader, in ms. */
export const READ_PERIOD_MS = 250;
/** Interval between two reads of the standby reader, in ms. */
export const STANDBY_READ_PERIOD_MS = 1_000;
/** Name of the stored object that holds a snapshot of the replica. */
export const SNAPSHOT_NAME = "replica/snapshot";

/**
 * Ranks the steers of a failure domain as readers of the table.
 *
 * @param steerIds Member ids of the domain's live steers.
 * @returns The ids, primary reader first.
 */
export function rankReaders(steerIds: readonly string[]): string[] {
  const candidates = steerIds.map((id) => ({ id, weight: 1 }));
  return rankByRendezvous("feed", candidates).map(({ id }) => id);
}

/** Dependencies of the change feed. */
export interface ChangeFeedOptions {
  platform: Platform;
  clock: Clock;
  /** @returns Rank of this process among the readers, from 0; -1 for none. */
  rank(): number;
  /** @returns Version up to which this process's replica is complete. */
  throughVersion(): number;
  /** Called with each change set read from the table. */
  onChanges(changes: ChangeSet): void;
}

/** A running change feed. */
export interface ChangeFeed {
  /** @returns Monotonic time of the last successful read, in ms, if any. */
  lastReadMs(): number | undefined;
  /** Stops polling; a read in progress still completes. */
  close(): void;
}

/**
 * Starts polling the table. Reads don't overlap: a tick is skipped while one
 * is in progress.
 *
 * @param options Dependencies.
 * @returns The running feed.
 */
export function startChangeFeed(options: ChangeFeedOptions): ChangeFeed {
  const { platform, clock, rank, throughVersion, onChanges } = options;
  const readQueue = new PQueue({ concurrency: 1 });
  const startedMs = clock.monotonicMs();
  let lastReadMs: number | undefined;

  async function read(): Promise<void> {
    const changes = await platform.table.changes(
      throughVersion(),
      REPLICATED_PREFIXES,
    );
    if (changes.isErr()) {
      log.info(describeError(changes.error), { step: "feed.read" });
      return;
    }
    lastReadMs = clock.monotonicMs();
    onChanges(changes.value);
  }

  function tick(): void {
    if (readQueue.size + readQueue.pending > 0) return;
    const readerRank = rank();
    if (readerRank < 0 || readerRank >= READERS_PER_DOMAIN) return;
    const elapsedMs = clock.monotonicMs() - startedMs;
    const isStandbyDue = elapsedMs % STANDBY_READ_PERIOD_MS < READ_PERIOD_MS;
    if (readerRank === 0 || isStandbyDue) void readQueue.add(read);
  }

  tick();
  const timer: Timer = clock.every(READ_PERIOD_MS, tick);
  return {
    lastReadMs: () => lastReadMs,
    close() {
      timer.cancel();
      readQueue.clear();
    },
  };
}

/**
 * Reads the stored snapshot of the replica, for a start without the table.
 *
 * @param objects The object store.
 * @returns The rows; undefined where there is no snapshot, it is malformed, or
 *   the read failed.
 */
export async function readSnapshot(
  objects: ObjectStore,
): Promise<ChangeSet | undefined> {
  const text = await objects.get(SNAPSHOT_NAME);
  if (text.isErr() || text.value === undefined) return undefined;
  const snapshot = parseChangeSet(text.value);
  if (snapshot === undefined) {
    log.warn("The stored snapshot is malformed", { step: "replica.snapshot" });
  }
  return snapshot;
}
