/**
 * Idempotency keys. A key starts with the VM id, the incarnation and the epoch of
 * the only entry process that may dispatch it, followed by a random suffix from
 * the caller. No two processes can dispatch the same key, so at-most-once
 * execution needs no write to a store.
 *
 * @module
 */

/** Length of a key epoch. */
export const KEY_EPOCH_MS = 60_000;
/** Number of epochs before the newest whose keys are still accepted. */
export const RETAINED_EPOCHS = 4;

/** A parsed idempotency key. */
export interface IdempotencyKey {
  /** The whole key. */
  text: string;
  vmId: string;
  incarnation: number;
  epoch: number;
}

/** The suffix is long enough to be unique and bounded to limit memory. */
const KEY_PATTERN =
  /^([a-z0-9][a-z0-9-]{0,62})\.(\d{1,15})\.(\d{1,10})\.([A-Za-z0-9_-]{8,64})$/;

/**
 * @param wallMs Wall-clock time, in ms since the Unix epoch.
 * @returns Number of the key epoch.
 */
export function getKeyEpoch(wallMs: number): number {
  return Math.floor(wallMs / KEY_EPOCH_MS);
}

/**
 * @param vmId The entry's VM.
 * @param incarnation The entry process's incarnation.
 * @param wallMs Wall-clock time, in ms since the Unix epoch.
 * @returns Prefix of callers' keys for this entry, without the final dot.
 */
export function formatKeyPrefix(
  vmId: string,
  incarnation: number,
  wallMs: number,
): string {
  return `${vmId}.${incarnation}.${getKeyEpoch(wallMs)}`;
}

/**
 * @param text A caller's key.
 * @returns The parsed key, or undefined if it is malformed.
 */
export function parseKey(text: string): IdempotencyKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  const [, vmId, incarnation, epoch] = match;
  return {
    text,
    vmId,
    incarnation: Number(incarnation),
    epoch: Number(epoch),
  };
}
