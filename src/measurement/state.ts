/**
 * Latest measurements of every entry, with the time of their receipt.
 *
 * @module
 */
import type { EntryLoad, ReceivedLoad } from "./types.ts";

/** Latest measurements by entry id. */
export type LoadState = Map<string, ReceivedLoad>;

/** Period at which unchanged measurements are sent again, in ms. */
export const LOAD_REFRESH_MS = 2_000;
/** Age at which measurements are removed, in ms. */
export const LOAD_RETENTION_MS = 60_000;

/**
 * Records an entry's measurements; they replace its earlier ones.
 *
 * @param state Changed in place.
 * @param load The measurements.
 * @param nowMs Monotonic time of their receipt, in ms.
 */
export function recordLoad(
  state: LoadState,
  load: EntryLoad,
  nowMs: number,
): void {
  state.set(load.entryId, { load, receivedMs: nowMs });
}

/**
 * Removes measurements older than {@link LOAD_RETENTION_MS}.
 *
 * @param state Changed in place.
 * @param nowMs Monotonic time, in ms.
 */
export function removeExpiredLoads(state: LoadState, nowMs: number): void {
  for (const [entryId, { receivedMs }] of state) {
    if (nowMs - receivedMs > LOAD_RETENTION_MS) state.delete(entryId);
  }
}
