/**
 * Decides which requests that find their region full go to another region.
 *
 * Load pattern: a region has a tenth of the servers and a third of the demand.
 * The shares of regions move slowly, so that bursts of 1.7 times are refused
 * there while other regions have free slots. Where memory is short, diverted
 * requests make servers evict objects of their own: 8% of the requests were
 * enough for more late answers than before.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import { SHIFT_WINDOW_MS } from "./shares.ts";

/** A region that may take a request. */
export interface OverflowRegion {
  region: string;
  /** Free slots of its servers for the service. */
  freeSlots: number;
  /** Free servers that are expected to have the object cached. */
  cachedServers: number;
  /** Whether its caches have room for a further object. */
  hasRoom: boolean;
  /** Expected time of a cache hit there; undefined where unknown. */
  hitMs: number | undefined;
  /** Expected time of a cache miss there; undefined where unknown. */
  missMs: number | undefined;
}

/** The region for a request, and which of its servers may be selected. */
export interface OverflowTarget {
  region: string;
  /** Whether only servers that have the object cached may be selected. */
  needsCached: boolean;
}

/**
 * Round trip to another region, as assumed for other timeouts: a gateway does
 * not measure it.
 */
export const REGION_ROUND_TRIP_MS = 70;

/**
 * Selects the region with the most free slots among those that have the object
 * cached; if there is none, among those whose caches have room.
 *
 * @param regions Regions that may serve the request, without its own.
 * @param remainingMs Time left until the target latency of the request.
 * @returns The target; undefined if no region is expected to answer in time.
 */
export function chooseOverflowTarget(
  regions: readonly OverflowRegion[],
  remainingMs: number,
): OverflowTarget | undefined {
  const isInTime = (durationMs: number | undefined) =>
    durationMs !== undefined &&
    durationMs + REGION_ROUND_TRIP_MS <= remainingMs;
  const byFreeSlots = regions
    .filter(({ freeSlots }) => freeSlots >= 1)
    .sort((a, b) => b.freeSlots - a.freeSlots);
  const cached = byFreeSlots.find(({ cachedServers, hitMs }) =>
    cachedServers > 0 && isInTime(hitMs)
  );
  if (cached !== undefined) {
    return { region: cached.region, needsCached: true };
  }
  const other = byFreeSlots.find(({ hasRoom, missMs }) =>
    hasRoom && isInTime(missMs)
  );
  return other && { region: other.region, needsCached: false };
}

/**
 * Part of the shift budget that may overflow. The region plan may begin to move
 * shares while requests overflow, and uses half of the budget in that window.
 */
const OVERFLOW_PART = 0.4;
/**
 * Where requests fall by 1.7 times at the end of a burst, the requests that all
 * VMs divert just before are half more than their share of the next window.
 */
const BURST_END_FACTOR = 1.5;

/**
 * Share of the requests that may overflow. The share may rise from 0 or drop to
 * 0 within a window, since what finds its region full may change at once. Its
 * whole level therefore has to fit in what the plan leaves of the budget.
 *
 * @param budget Share of the requests that may change region in a window.
 * @param movedShare Share that the region plan moved in a window lately.
 * @returns Maximum share of the requests that may overflow.
 */
export function computeOverflowShare(
  budget: number,
  movedShare: number,
): number {
  const remainder = Math.max(0, budget - movedShare);
  return Math.min(OVERFLOW_PART * budget, remainder / BURST_END_FACTOR);
}

/** Limits how many requests of this VM overflow. */
export interface OverflowBudget {
  /** Records a request of a client. */
  recordRequest(service: string): void;
  /** @returns Whether a request may overflow; if so, it is counted. */
  take(service: string): boolean;
  /** Returns a request that was taken and then not sent elsewhere. */
  giveBack(service: string): void;
  /** @returns Requests that overflowed since the start. */
  countDiverted(): number;
  /** @returns What may overflow and does, by service. */
  list(): OverflowStats[];
}

/** Overflow of one service at this VM. */
export interface OverflowStats {
  service: string;
  /** Share of the requests that may overflow. */
  maxShare: number;
  /** Requests of the current window of 2 s. */
  requests: number;
  /** Those of them that overflowed. */
  diverted: number;
}

/** Dependencies of an overflow budget. */
export interface OverflowBudgetOptions {
  clock: Clock;
  random: Random;
  /** Share of the requests that may change region in a window. */
  getShiftBudget: () => number;
  /** Share that the region plan moved in a window lately, by service. */
  getMovedShare: (service: string) => number;
}

/** Requests are counted by intervals of this length. */
const INTERVAL_MS = 100;
const INTERVALS_PER_WINDOW = SHIFT_WINDOW_MS / INTERVAL_MS;
/**
 * A VM that starts has no allowance for two windows: it does not know what it
 * diverted before.
 */
const START_UP_MS = 2 * SHIFT_WINDOW_MS;
/**
 * A VM of a large fleet may divert less than one request in a window. Its
 * allowance is rounded up or down at random, so that the sum over all VMs is
 * right. Drawing for each window would let a VM use the larger of two numbers.
 */
const ROUNDING_INTERVAL_MS = 10_000;

interface Interval {
  index: number;
  requests: number;
  diverted: number;
}

/** Requests of one service in the last window. */
interface ServiceCounts {
  intervals: Interval[];
  rounding: number;
  roundedAtMs: number;
}

/**
 * Limits the diverted requests of any window to a share of this VM's own
 * requests in it. The shares of all VMs add up without messages, also when VMs
 * are cut off.
 *
 * @param options Dependencies.
 * @returns A budget without an allowance.
 */
export function createOverflowBudget(
  options: OverflowBudgetOptions,
): OverflowBudget {
  const { clock, random } = options;
  const startedAtMs = clock.monotonicMs();
  const countsByService = new Map<string, ServiceCounts>();
  let divertedCount = 0;
  let shiftBudget = 0;
  let shiftBudgetIndex = -1;

  function getIndex(): number {
    return Math.floor(clock.monotonicMs() / INTERVAL_MS);
  }

  function getCounts(service: string): ServiceCounts {
    const nowMs = clock.monotonicMs();
    const counts = countsByService.get(service) ??
      { intervals: [], rounding: 0, roundedAtMs: -Infinity };
    countsByService.set(service, counts);
    if (nowMs - counts.roundedAtMs >= ROUNDING_INTERVAL_MS) {
      counts.rounding = random();
      counts.roundedAtMs = nowMs;
    }
    const oldest = getIndex() - INTERVALS_PER_WINDOW;
    while (counts.intervals.length > 0 && counts.intervals[0].index < oldest) {
      counts.intervals.shift();
    }
    return counts;
  }

  function getInterval({ intervals }: ServiceCounts): Interval {
    const index = getIndex();
    const last = intervals.at(-1);
    if (last?.index === index) return last;
    const interval = { index, requests: 0, diverted: 0 };
    intervals.push(interval);
    return interval;
  }

  /** Reads the budget once in an interval: it sums the demand of all VMs. */
  function getShiftBudget(): number {
    const index = getIndex();
    if (index !== shiftBudgetIndex) {
      shiftBudgetIndex = index;
      shiftBudget = options.getShiftBudget();
    }
    return shiftBudget;
  }

  function getMaxShare(service: string): number {
    return computeOverflowShare(
      getShiftBudget(),
      options.getMovedShare(service),
    );
  }

  /** Counts requests over a window, diverted ones over an interval more. */
  function sumWindow({ intervals }: ServiceCounts) {
    const oldest = getIndex() - INTERVALS_PER_WINDOW;
    let requests = 0;
    let diverted = 0;
    for (const interval of intervals) {
      if (interval.index >= oldest) diverted += interval.diverted;
      if (interval.index > oldest) requests += interval.requests;
    }
    return { requests, diverted };
  }

  return {
    recordRequest: (service) => void getInterval(getCounts(service)).requests++,
    take(service) {
      if (clock.monotonicMs() - startedAtMs < START_UP_MS) return false;
      const counts = getCounts(service);
      const { requests, diverted } = sumWindow(counts);
      const share = getMaxShare(service);
      if (share <= 0) return false;
      if (diverted + 1 > Math.floor(share * requests + counts.rounding)) {
        return false;
      }
      getInterval(counts).diverted++;
      divertedCount++;
      return true;
    },
    giveBack(service) {
      getInterval(getCounts(service)).diverted--;
      divertedCount--;
    },
    countDiverted: () => divertedCount,
    list: () =>
      [...countsByService.keys()].map((service) => ({
        service,
        maxShare: getMaxShare(service),
        ...sumWindow(getCounts(service)),
      })),
  };
}
