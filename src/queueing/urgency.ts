/**
 * Urgency of requests: the priority of each, which priorities compete for a
 * service, and which of them were requested lately.
 *
 * @module
 */
import type { ClientAccount } from "../accounts/types.ts";
import type { Configuration, Route } from "../routing/types.ts";
import type { Clock } from "../runtime/clock.ts";

/** Recent requests of one priority for one service. */
export interface PriorityDemand {
  service: string;
  priority: number;
  /** Time since the last request. */
  ageMs: number;
  /** Mean time that they could have waited and still be answered in time. */
  spareMs: number;
}

/** Priorities of the requests that this VM received lately. */
export interface UrgentDemand {
  /**
   * Records an arrival.
   *
   * @param service Service that the request is for.
   * @param priority Priority of the request.
   * @param spareMs Time that it may wait and still be answered in time.
   */
  record(service: string, priority: number, spareMs: number): void;
  /**
   * @param service A service.
   * @param priority A priority.
   * @returns Least mean spare time of the more urgent priorities that were
   *   requested lately and would be in time in a free slot; undefined where
   *   there were none.
   */
  getLeastSpareMs(service: string, priority: number): number | undefined;
  /** @returns The priorities that were requested lately, by service. */
  list(): PriorityDemand[];
}

/**
 * How long a request shows that there is demand of its priority. A VM that
 * receives one in 65 of 150 urgent requests per second receives none for 5 s
 * once in 100,000 times, one with a quarter of that share once in 18 times.
 */
const DEMAND_WINDOW_MS = 5_000;
/** Weight of one request in the mean spare time of its priority. */
const SPARE_WEIGHT = 0.2;

interface RecentRequests {
  /** Time of the last one. */
  atMs: number;
  /** Mean spare time. */
  spareMs: number;
}

/**
 * @param route Route of a request.
 * @param account Account that sends it; undefined where none is needed.
 * @returns The priority of the request; 0 is the most urgent.
 */
export function getPriority(
  route: Route,
  account: ClientAccount | undefined,
): number {
  return account?.priority ?? route.priority;
}

/**
 * Priorities of accounts are not among them: requests of one route need the same
 * run and have the same target, so slots that are left free for some of its
 * accounts only lower the number that is answered in time. Accounts' priorities
 * order the requests that wait.
 *
 * @param configuration The configuration.
 * @param service A service.
 * @returns Distinct priorities of the routes to the service, in ascending order.
 */
export function listCompetingPriorities(
  { routes }: Configuration,
  service: string,
): number[] {
  const priorities = routes
    .filter(({ shares }) => shares.some((share) => share.service === service))
    .map(({ priority }) => priority);
  return [...new Set(priorities)].sort((a, b) => a - b);
}

/**
 * @param clock The clock.
 * @returns A record without requests.
 */
export function createUrgentDemand(clock: Clock): UrgentDemand {
  const recentByService = new Map<string, Map<number, RecentRequests>>();

  function isRecent({ atMs }: RecentRequests): boolean {
    return clock.monotonicMs() - atMs < DEMAND_WINDOW_MS;
  }

  return {
    record(service, priority, spareMs) {
      const byPriority = recentByService.get(service) ??
        new Map<number, RecentRequests>();
      recentByService.set(service, byPriority);
      const previous = byPriority.get(priority);
      const isNewWindow = previous === undefined || !isRecent(previous);
      byPriority.set(priority, {
        atMs: clock.monotonicMs(),
        spareMs: isNewWindow
          ? spareMs
          : previous.spareMs + SPARE_WEIGHT * (spareMs - previous.spareMs),
      });
    },
    getLeastSpareMs(service, priority) {
      let least: number | undefined;
      for (const [other, recent] of recentByService.get(service) ?? []) {
        if (other >= priority || !isRecent(recent)) continue;
        // It would be late in a free slot too, so leaving one free is no use.
        if (recent.spareMs <= 0) continue;
        least = Math.min(least ?? Infinity, recent.spareMs);
      }
      return least;
    },
    list: () =>
      [...recentByService].flatMap(([service, byPriority]) =>
        [...byPriority]
          .filter(([, recent]) => isRecent(recent))
          .map(([priority, { atMs, spareMs }]) => ({
            service,
            priority,
            ageMs: Math.round(clock.monotonicMs() - atMs),
            spareMs: Math.round(spareMs),
          }))
      ),
  };
}
