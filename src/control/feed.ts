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

/** Readers of a failure domain. */
export const READERS_PER_DOMAIN = 2;
/** Time between two reads of one reader. */
export const READ_PERIOD_MS = 250;
/** Name of the object that holds the last known rows. */
export const SNAPSHOT_NAME = "replica/snapshot";

/**
 * Decides whether a steer reads the table.
 *
 * @param selfId This steer's member id.
 * @param steerIds Ids of the steers of its failure domain that look alive.
 * @returns Whether it is one of the readers.
 */
export function isReader(selfId: string, steerIds: readonly string[]): boolean {
  const candidates = steerIds.map((id) => ({ id, weight: 1 }));
  return rankByRendezvous("feed", candidates)
    .slice(0, READERS_PER_DOMAIN)
    .some(({ id }) => id === selfId);
}

/** What the feed needs to know. */
export interface FeedOptions {
  platform: Platform;
  clock: Clock;
  /** Whether this process reads now. */
  shouldRead(): boolean;
  /** Version that this process has. */
  throughVersion(): number;
  onChanges(changes: ChangeSet): void;
}

/** A running feed. */
export interface Feed {
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
export function startFeed(options: FeedOptions): Feed {
  const { platform, clock, shouldRead, throughVersion, onChanges } = options;
  const reads = new PQueue({ concurrency: 1 });
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
    if (reads.size + reads.pending > 0 || !shouldRead()) return;
    void reads.add(read);
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
