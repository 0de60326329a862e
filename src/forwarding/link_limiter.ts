/**
 * Limits traffic to other regions with one token bucket per link. Each entry of a
 * region has an equal share of the link's limit and counts only its own bytes, so
 * the limit holds without messages between entries. Pure.
 *
 * @module
 */

/** Capacity of a bucket, in seconds of the limit. */
const BURST_S = 0.5;

/** Token bucket of one link. */
interface LinkBucket {
  availableBytes: number;
  refilledAtMs: number;
}

/** Byte rate limiter for links. */
export interface LinkLimiter {
  /**
   * @param link Name of the link.
   * @param limitBytesPerS This entry's share of the link's limit.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether another request may be sent over the link.
   */
  hasCapacity(link: string, limitBytesPerS: number, nowMs: number): boolean;
  /**
   * Subtracts sent and received bytes. The balance may become negative, which
   * delays later requests.
   *
   * @param link Name of the link.
   * @param bytes Number of bytes.
   */
  count(link: string, bytes: number): void;
}

/** @returns A limiter whose buckets are full. */
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
