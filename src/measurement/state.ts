/**
 * Latest figures of every entry, with their age.
 *
 * @module
 */
import type { EntryLoad, ReceivedLoad } from "./types.ts";

/** By entry id. */
export type LoadState = Map<string, ReceivedLoad>;

/** Figures that did not change are sent again after this time. */
export const LOAD_REFRESH_MS = 2_000;
/** Figures older than this are dropped altogether. */
export const LOAD_RETENTION_MS = 60_000;

/**
 * Takes in an entry's figures.
 *
 * @param state Changed in place.
 * @param load The figures.
 * @param nowMs Monotonic time, in ms.
 */
export function recordLoad(
  state: LoadState,
  load: EntryLoad,
  nowMs: number,
): void {
  state.set(load.entryId, { load, receivedMs: nowMs });
}

/**
 * Drops figures that are too old to mean anything.
 *
 * @param state Changed in place.
 * @param nowMs Monotonic time, in ms.
 */
export function removeExpiredLoads(state: LoadState, nowMs: number): void {
  for (const [entryId, { receivedMs }] of state) {
    if (nowMs - receivedMs > LOAD_RETENTION_MS) state.delete(entryId);
  }
}
