/**
 * Limits what a peer sends in a time, so that no peer takes the processor time of
 * all others.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** Limits for one peer. */
export interface InflowLimits {
  messagesPerS: number;
  bytesPerS: number;
  /** Messages and bytes at once, as seconds of the rates. */
  burstS: number;
}

/** Counts what one peer sends. */
export interface InflowLimit {
  /**
   * Counts a message.
   *
   * @param bytes Its size.
   * @returns Whether the peer stays within its limits.
   */
  record(bytes: number): boolean;
}

/**
 * @param limits The limits.
 * @param clock The clock.
 * @returns The limit of a peer that has sent nothing.
 */
export function createInflowLimit(
  { messagesPerS, bytesPerS, burstS }: InflowLimits,
  clock: Clock,
): InflowLimit {
  let usedMessages = 0;
  let usedBytes = 0;
  let updatedAtMs = clock.monotonicMs();

  function forget(): void {
    const nowMs = clock.monotonicMs();
    const passedS = (nowMs - updatedAtMs) / 1_000;
    updatedAtMs = nowMs;
    usedMessages = Math.max(0, usedMessages - passedS * messagesPerS);
    usedBytes = Math.max(0, usedBytes - passedS * bytesPerS);
  }

  return {
    record(bytes) {
      forget();
      usedMessages++;
      usedBytes += bytes;
      return usedMessages <= burstS * messagesPerS &&
        usedBytes <= burstS * bytesPerS;
    },
  };
}
