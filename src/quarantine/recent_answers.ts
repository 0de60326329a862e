/**
 * Requests that this VM saw answered a moment ago.
 *
 * Load pattern: a failure domain is lost, and with it three servers that ran
 * copies of one popular request. It was answered a second before, which speaks
 * for it; one that is deadly never is.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Requests that were answered. */
export interface RecentAnswers {
  /** Notes that a request was answered. */
  note(request: string): void;
  /**
   * Each answer speaks for its request once: one that has become deadly since
   * is not cleared for ever by an answer of before.
   *
   * @param request A request.
   * @returns Whether it was answered a moment ago.
   */
  take(request: string): boolean;
}

/** Requests that are popular come again within that time. */
const RECENT_MS = 10_000;
/** At 200 requests a second, those of the last ten seconds and as many again. */
const MAX_ANSWERS = 4_096;

/**
 * @param clock The clock.
 * @returns A list without answers.
 */
export function createRecentAnswers(clock: Clock): RecentAnswers {
  /** When each request was answered, the oldest first. */
  const answeredAtMs = new Map<string, number>();

  return {
    note(request) {
      answeredAtMs.delete(request);
      answeredAtMs.set(request, clock.monotonicMs());
      if (answeredAtMs.size <= MAX_ANSWERS) return;
      for (const oldest of answeredAtMs.keys()) {
        answeredAtMs.delete(oldest);
        break;
      }
    },
    take(request) {
      const atMs = answeredAtMs.get(request) ?? -Infinity;
      answeredAtMs.delete(request);
      return clock.monotonicMs() - atMs <= RECENT_MS;
    },
  };
}
