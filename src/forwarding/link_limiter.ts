/**
 * Keeps traffic to other regions under the links' limits, from the bytes that
 * this entry counts itself. Each entry of a region has an equal part of a link,
 * so the parts add up with no messages. Pure.
 *
 * @module
 */

/** Bytes that may pass at once after a pause, as seconds of the limit. */
const BURST_S = 0.5;

/** Traffic to one region. */
interface LinkBucket {
  availableBytes: number;
  refilledAtMs: number;
}

/** Counts bytes against limits. */
export interface LinkLimiter {
  /**
   * @param link Name of the link.
   * @param limitBytesPerS This entry's part of its limit.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether another request may be sent.
   */
  hasCapacity(link: string, limitBytesPerS: number, nowMs: number): boolean;
  /** Counts bytes that passed; an overdraft delays later requests. */
  count(link: string, bytes: number): void;
}

/** @returns A limiter that has counted nothing. */
export function createLinkLimiter(): LinkLimiter {
  const links = new Map<string, LinkBucket>();
  return {
    hasCapacity(link, limitBytesPerS, nowMs) {
      const burstBytes = limitBytesPerS * BURST_S;
      const state = links.get(link) ??
        { availableBytes: burstBytes, refilledAtMs: nowMs };
      const refillBytes = (nowMs - state.refilledAtMs) / 1_000 * limitBytesPerS;
      state.availableBytes = Math.min(
        burstBytes,
        state.availableBytes + refillBytes,
      );
      state.refilledAtMs = nowMs;
      links.set(link, state);
      return state.availableBytes > 0;
    },
    count(link, bytes) {
      const state = links.get(link);
      if (state) state.availableBytes -= bytes;
    },
  };
}
