/**
 * Maintains the shares by which this VM's callers are spread over regions, and
 * moves them slowly when demand or servers change.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import {
  computeMovedShare,
  computeShares,
  computeShiftBudget,
  getShare,
  type RegionShare,
  type RegionStats,
  SHIFT_WINDOW_MS,
  stepShares,
} from "./shares.ts";

/** The shares in force, by service and allowed regions. */
export interface RegionPlan {
  /**
   * Returns the current shares, moved towards their target if an update is due.
   *
   * @param service The name of the service.
   * @param allowed Regions that may serve the request; empty for all.
   * @returns Shares of the requests from callers of this VM's region.
   */
  getShares(service: string, allowed: readonly string[]): RegionShare[];
  /**
   * @param service The name of the service.
   * @returns Largest share of its requests that was moved in any window that
   *   lies within the last two.
   */
  getMovedShare(service: string): number;
}

/** Dependencies and settings of a region plan. */
export interface RegionPlanOptions {
  clock: Clock;
  log: Log;
  ownRegion: string;
  /** Slots and demand of each region, for one service. */
  getStats: (service: string) => RegionStats[];
  /** Requests per second from callers of the own region, for all services. */
  getRequestsPerS: () => number;
  /**
   * Maximum share of the requests that may change region from one window of 2 s
   * to the next.
   */
  maxShift: number;
}

/** Minimum time between two updates of the shares. */
const UPDATE_INTERVAL_MS = 250;
/** Upper bound on the planned shift, as a share of the maximum shift. */
const MAX_PLANNED_SHARE = 0.6;
/** Smaller differences from the target are ignored: stats vary at random. */
const MIN_MOVED_SHARE = 0.03;
/**
 * A region that has less than this share of its recent slots has lost servers,
 * and the requests that they served move at once. Moved at the usual pace, they
 * would overload the remaining servers for ten seconds. No more than these
 * requests move at once, because they can only move back at the usual pace.
 */
const REMAINING_SLOTS_SHARE = 0.75;
/** Minimum moved share that is logged. */
const MIN_LOGGED_SHARE = 0.05;
/**
 * Time over which losses of slots accumulate: the servers of a failed domain
 * expire one by one.
 */
const LOSS_WINDOW_MS = 2_000;

/** Shares of one service and set of allowed regions. */
interface PlanState {
  service: string;
  /** Moves within the last two windows. */
  moves: Move[];
  shares: RegionShare[];
  updatedAtMs: number;
  /** Peak number of slots within the loss window, by region. */
  peakSlots: Map<string, PeakSlots>;
  /** The shares that were last logged. */
  loggedShares: RegionShare[];
}

interface Move {
  atMs: number;
  share: number;
}

interface PeakSlots {
  slots: number;
  atMs: number;
}

/**
 * @param options The plan's dependencies and settings.
 * @returns A plan whose first shares are those computed from the current stats.
 */
export function createRegionPlan(options: RegionPlanOptions): RegionPlan {
  const { clock, log, ownRegion, maxShift } = options;
  const states = new Map<string, PlanState>();

  function listStats(service: string, allowed: readonly string[]) {
    return options.getStats(service).filter((region) =>
      allowed.length === 0 || allowed.includes(region.region)
    );
  }

  /**
   * Updates the peak slots and detects losses.
   *
   * @returns Share of the requests whose servers were lost since the last call.
   */
  function detectLoss(state: PlanState, stats: readonly RegionStats[]): number {
    const nowMs = clock.monotonicMs();
    let loss = 0;
    for (const { region, slots } of stats) {
      const peak = state.peakSlots.get(region) ?? { slots, atMs: nowMs };
      const isLost = slots < REMAINING_SLOTS_SHARE * peak.slots;
      if (isLost) {
        loss += getShare(state.shares, region) * (1 - slots / peak.slots);
      }
      const isOutdated = nowMs - peak.atMs > LOSS_WINDOW_MS;
      if (isLost || isOutdated || slots >= peak.slots) {
        state.peakSlots.set(region, { slots, atMs: nowMs });
      }
    }
    return loss;
  }

  /** @returns Maximum share of the requests to move after a time. */
  function getMaxStep(elapsedMs: number): number {
    const planned = Math.min(
      MAX_PLANNED_SHARE * maxShift,
      computeShiftBudget(maxShift, options.getRequestsPerS()),
    );
    return planned * Math.min(2 * UPDATE_INTERVAL_MS, elapsedMs) /
      SHIFT_WINDOW_MS;
  }

  function listRecentMoves({ moves }: PlanState): Move[] {
    const oldestMs = clock.monotonicMs() - 2 * SHIFT_WINDOW_MS;
    return moves.filter(({ atMs }) => atMs > oldestMs);
  }

  function updateShares(
    service: string,
    state: PlanState,
    stats: readonly RegionStats[],
    elapsedMs: number,
  ): void {
    const target = computeShares(ownRegion, stats);
    const loss = detectLoss(state, stats);
    const distance = computeMovedShare(state.shares, target);
    state.updatedAtMs = clock.monotonicMs();
    if (target.length === 0 || distance < MIN_MOVED_SHARE) return;
    const maxStep = Math.max(loss, getMaxStep(elapsedMs));
    const next = stepShares(state.shares, target, maxStep);
    state.moves = [...listRecentMoves(state), {
      atMs: state.updatedAtMs,
      share: computeMovedShare(state.shares, next),
    }];
    state.shares = next;
    const moved = computeMovedShare(state.loggedShares, state.shares);
    if (loss === 0 && moved < MIN_LOGGED_SHARE) return;
    state.loggedShares = state.shares;
    const { shares } = state;
    log.info(
      { service, figures: stats, target, loss, moved, shares },
      "region shares moved",
    );
  }

  return {
    getShares(service, allowed) {
      const key = `${service} ${allowed.join(",")}`;
      const state = states.get(key);
      const nowMs = clock.monotonicMs();
      if (state === undefined || state.shares.length === 0) {
        const stats = listStats(service, allowed);
        const shares = computeShares(ownRegion, stats);
        const peakSlots = new Map(
          stats.map(({ region, slots }) => [region, { slots, atMs: nowMs }]),
        );
        states.set(key, {
          service,
          moves: [],
          shares,
          updatedAtMs: nowMs,
          peakSlots,
          loggedShares: shares,
        });
        log.info({ service, allowed, shares }, "region shares");
        return shares;
      }
      const elapsedMs = nowMs - state.updatedAtMs;
      if (elapsedMs >= UPDATE_INTERVAL_MS) {
        updateShares(service, state, listStats(service, allowed), elapsedMs);
      }
      return state.shares;
    },
    getMovedShare(service) {
      let largest = 0;
      for (const state of states.values()) {
        if (state.service !== service) continue;
        largest = Math.max(largest, sumLargestWindow(listRecentMoves(state)));
      }
      return largest;
    },
  };
}

/** @returns Largest sum of the moves in any window. */
function sumLargestWindow(moves: readonly Move[]): number {
  const sums = moves.map((first) =>
    moves.filter(({ atMs }) =>
      atMs >= first.atMs && atMs < first.atMs + SHIFT_WINDOW_MS
    ).reduce((sum, { share }) => sum + share, 0)
  );
  return Math.max(0, ...sums);
}
