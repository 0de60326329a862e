/**
 * Reads the table's changes. In each failure domain only a few steers read;
 * rendezvous hashing on membership decides which, and one more does no harm.
 *
 * @module
 */
import PQueue from "p-queue";
import type { ChangeSet, ObjectStore, Platform } from "../platform/types.ts";
import { REPLICATED_PREFIXES } from "../replica/types.ts";
import type { Clock, Timer } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import { rankByRendezvous } from "../runtime/hash.ts";
import { createLogger } from "../runtime/logger.ts";

const log = createLogger("control");

/** Readers of a failure domain: the first, and a slower one behind it. */
export const READERS_PER_DOMAIN = 2;
/** Time between two reads of the first reader. */
export const READ_PERIOD_MS = 250;
/** Time between two reads of the one behind it. */
export const STANDBY_READ_PERIOD_MS = 1_000;
/** Name of the object that holds the last known rows. */
export const SNAPSHOT_NAME = "replica/snapshot";

/**
 * @param steerIds Ids of the steers of a failure domain that look alive.
 * @returns Them, the first to read first.
 */
export function rankReaders(steerIds: readonly string[]): string[] {
  const candidates = steerIds.map((id) => ({ id, weight: 1 }));
  return rankByRendezvous("feed", candidates).map(({ id }) => id);
}

/** What the feed needs to know. */
export interface ChangeFeedOptions {
  platform: Platform;
  clock: Clock;
  /** Place of this process among the readers, from 0; -1 for none. */
  rank(): number;
  /** Version that this process has. */
  throughVersion(): number;
  onChanges(changes: ChangeSet): void;
}

/** A running feed. */
export interface ChangeFeed {
  /** When the table last answered, in monotonic ms; undefined if never. */
  lastReadMs(): number | undefined;
  close(): void;
}

/**
 * Starts reading.
 *
 * @param options See there.
 * @returns The running feed.
 */
export function startChangeFeed(options: ChangeFeedOptions): ChangeFeed {
  const { platform, clock, rank, throughVersion, onChanges } = options;
  const reads = new PQueue({ concurrency: 1 });
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
    if (reads.size + reads.pending > 0) return;
    const place = rank();
    if (place < 0 || place >= READERS_PER_DOMAIN) return;
    const sinceMs = clock.monotonicMs() - startedMs;
    const isSecondDue = sinceMs % STANDBY_READ_PERIOD_MS < READ_PERIOD_MS;
    if (place === 0 || isSecondDue) void reads.add(read);
  }

  tick();
  const timer: Timer = clock.every(READ_PERIOD_MS, tick);
  return {
    lastReadMs: () => lastReadMs,
    close() {
      timer.cancel();
      reads.clear();
    },
  };
}

/**
 * Reads the last known rows when the table is down at start.
 *
 * @param objects The object store.
 * @returns The rows, or undefined where there are none.
 */
export async function readSnapshot(
  objects: ObjectStore,
): Promise<ChangeSet | undefined> {
  const text = await objects.get(SNAPSHOT_NAME);
  if (text.isErr() || text.value === undefined) return undefined;
  return JSON.parse(text.value) as ChangeSet;
}
