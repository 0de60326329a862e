/**
 * Which backend servers answered for which objects not long ago, as far as
 * this VM asked them.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** What this VM knows of servers' memories. */
export interface ObjectMemory {
  /** Notes that a server answered for an object. */
  note(serverId: string, objectKey: string): void;
  /** @returns Whether a server answered for an object not long ago. */
  knows(serverId: string, objectKey: string): boolean;
}

/** A server may have forgotten an object that it was not asked for so long. */
const FORGET_MS = 20_000;
/** Pairs kept; the oldest go first. A pair takes about 100 bytes. */
const MAX_PAIRS = 20_000;

/**
 * @param clock The clock.
 * @returns A memory of nothing.
 */
export function createObjectMemory(clock: Clock): ObjectMemory {
  const answeredAtMs = new Map<string, number>();

  return {
    note(serverId, objectKey) {
      const pair = `${serverId} ${objectKey}`;
      answeredAtMs.delete(pair);
      answeredAtMs.set(pair, clock.monotonicMs());
      if (answeredAtMs.size <= MAX_PAIRS) return;
      const oldest = answeredAtMs.keys().next().value;
      if (oldest !== undefined) answeredAtMs.delete(oldest);
    },
    knows(serverId, objectKey) {
      const atMs = answeredAtMs.get(`${serverId} ${objectKey}`);
      return atMs !== undefined && clock.monotonicMs() - atMs < FORGET_MS;
    },
  };
}
