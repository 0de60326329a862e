/**
 * Idempotency keys. A key starts with the VM, incarnation and epoch of the one
 * entry process that may dispatch it; a caller adds its own random rest. So no
 * two processes can both dispatch a key, and no write to a store is needed.
 *
 * @module
 */

/** Length of an epoch. */
export const KEY_EPOCH_MS = 60_000;
/** Epochs, besides the newest, whose keys are remembered and accepted. */
export const RETAINED_EPOCHS = 4;

/** A parsed key. */
export interface IdempotencyKey {
  text: string;
  vmId: string;
  incarnation: number;
  epoch: number;
}

/** Characters after the prefix: enough to be unique, few enough to keep. */
const KEY_PATTERN =
  /^([a-z0-9][a-z0-9-]{0,62})\.(\d{1,15})\.(\d{1,10})\.([A-Za-z0-9_-]{8,64})$/;

/**
 * @param wallMs Wall-clock time, in ms since the epoch.
 * @returns Number of the key epoch.
 */
export function getKeyEpoch(wallMs: number): number {
  return Math.floor(wallMs / KEY_EPOCH_MS);
}

/**
 * @param vmId The entry's VM.
 * @param incarnation The entry process's incarnation.
 * @param wallMs Wall-clock time, in ms since the epoch.
 * @returns What a caller's keys for this entry start with, without the last dot.
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
 * @returns Its parts, or undefined where it is malformed.
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
