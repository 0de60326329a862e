/**
 * Requests that this VM recently saw answered.
 *
 * Load pattern: a failure domain is lost, and with it three servers that ran
 * copies of one popular request. The request was answered a second earlier, so
 * it can't be the cause: a poison request is never answered.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Recently answered requests. */
export interface RecentAnswers {
  /**
   * Records that a request was answered.
   *
   * @param request Fingerprint of the request.
   */
  record(request: string): void;
  /**
   * Removes the recorded answer to a request. Each answer clears its request
   * only once; otherwise an old answer would clear a request that has become
   * poisonous since.
   *
   * @param request Fingerprint of the request.
   * @returns Whether the request was answered recently.
   */
  consume(request: string): boolean;
}

/** Age up to which an answer is recent; popular requests repeat within it. */
const RECENT_MS = 10_000;
/** Twice the answers of 10 s at 200 requests a second. */
const MAX_ANSWERS = 4_096;

/**
 * @param clock The clock.
 * @returns An empty record of answers.
 */
export function createRecentAnswers(clock: Clock): RecentAnswers {
  /** Time of each request's last answer, the oldest first. */
  const answeredAtMs = new Map<string, number>();

  return {
    record(request) {
      answeredAtMs.delete(request);
      answeredAtMs.set(request, clock.monotonicMs());
      if (answeredAtMs.size <= MAX_ANSWERS) return;
      for (const oldest of answeredAtMs.keys()) {
        answeredAtMs.delete(oldest);
        break;
      }
    },
    consume(request) {
      const atMs = answeredAtMs.get(request) ?? -Infinity;
      answeredAtMs.delete(request);
      return clock.monotonicMs() - atMs <= RECENT_MS;
    },
  };
}
