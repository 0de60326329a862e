/**
 * Keeps the shares by which this VM's callers are spread over regions, and
 * moves them slowly when demand or servers change.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import {
  computeMovedShare,
  computeShares,
  getShare,
  type RegionShare,
  type RegionStats,
  stepShares,
} from "./shares.ts";

/** The shares in force, by service and allowed regions. */
export interface RegionPlan {
  /**
   * @param service The service.
   * @param allowed Regions that may serve the request; empty for all.
   * @returns Shares of the own region's callers.
   */
  getShares(service: string, allowed: readonly string[]): RegionShare[];
}

/** What a plan needs. */
export interface RegionPlanOptions {
  clock: Clock;
  log: Log;
  ownRegion: string;
  /** Slots and demand of every region, for one service. */
  getStats: (service: string) => RegionStats[];
  /** Requests a second from the own region's callers, for all services. */
  getRequestsPerS: () => number;
  /** Largest share that may change region from one 2 s window to the next. */
  maxShift: number;
}

/** Window in which a shift is counted. */
const SHIFT_WINDOW_MS = 2_000;
/** How often a plan is brought up to date. */
const STEP_MS = 250;
/**
 * Requests arrive by chance, so a share of a half swings from window to window
 * without being moved: by 0.05 for 200 requests, by 0.03 for 700. What is
 * planned leaves room for this many such swings.
 */
const CHANCE_SWINGS = 2.5;
/** Least and largest part of the allowed shift that is planned. */
const MIN_PLANNED_PART = 0.3;
const MAX_PLANNED_PART = 0.6;
/** Target moves below this are not followed; figures swing by chance. */
const MIN_MOVE = 0.03;
/**
 * A region that has less than this part of the slots that it had not long ago
 * has lost servers: what they served goes elsewhere at once. At the usual pace
 * the servers that are left would be overwhelmed for ten seconds. No more than
 * that moves at once, since the way back is paced.
 */
const LOST_SLOTS_PART = 0.75;
/** Shares that moved by this much are told of in a log line. */
const LOGGED_MOVE = 0.05;
/** Time in which losses add up: servers of a lost domain lapse one by one. */
const LOSS_WINDOW_MS = 2_000;

interface Entry {
  shares: RegionShare[];
  steppedAtMs: number;
  /** Most slots that each region had not long ago. */
  slots: Map<string, SeenSlots>;
  /** The shares that were last told of in a log line. */
  logged: RegionShare[];
}

interface SeenSlots {
  slots: number;
  atMs: number;
}

/**
 * @param parts What the plan needs.
 * @returns A plan that starts at the shares that today's figures ask for.
 */
export function createRegionPlan(parts: RegionPlanOptions): RegionPlan {
  const { clock, log, ownRegion, maxShift } = parts;
  const entries = new Map<string, Entry>();

  function listFigures(service: string, allowed: readonly string[]) {
    return parts.getStats(service).filter((region) =>
      allowed.length === 0 || allowed.includes(region.region)
    );
  }

  /** @returns Part of the requests whose servers were lost. */
  function takeLoss(entry: Entry, figures: readonly RegionStats[]): number {
    const nowMs = clock.monotonicMs();
    let loss = 0;
    for (const { region, slots } of figures) {
      const seen = entry.slots.get(region) ?? { slots, atMs: nowMs };
      const isLost = slots < LOST_SLOTS_PART * seen.slots;
      if (isLost) {
        loss += getShare(entry.shares, region) * (1 - slots / seen.slots);
      }
      const isOutdated = nowMs - seen.atMs > LOSS_WINDOW_MS;
      if (isLost || isOutdated || slots >= seen.slots) {
        entry.slots.set(region, { slots, atMs: nowMs });
      }
    }
    return loss;
  }

  /** @returns Largest part that may be moved by plan after a time. */
  function getMaxStep(elapsedMs: number): number {
    const requestsPerS = Math.max(1, parts.getRequestsPerS());
    const requestsInWindow = requestsPerS * SHIFT_WINDOW_MS / 1_000;
    // Standard deviation of the change of a share of a half.
    const swing = Math.sqrt(0.5 / requestsInWindow);
    const planned = Math.min(
      MAX_PLANNED_PART * maxShift,
      Math.max(MIN_PLANNED_PART * maxShift, maxShift - CHANCE_SWINGS * swing),
    );
    return planned * Math.min(2 * STEP_MS, elapsedMs) / SHIFT_WINDOW_MS;
  }

  function step(
    service: string,
    entry: Entry,
    figures: readonly RegionStats[],
    elapsedMs: number,
  ): void {
    const target = computeShares(ownRegion, figures);
    const loss = takeLoss(entry, figures);
    const distance = computeMovedShare(entry.shares, target);
    entry.steppedAtMs = clock.monotonicMs();
    if (target.length === 0 || distance < MIN_MOVE) return;
    const limit = Math.max(loss, getMaxStep(elapsedMs));
    entry.shares = stepShares(entry.shares, target, limit);
    const moved = computeMovedShare(entry.logged, entry.shares);
    if (loss === 0 && moved < LOGGED_MOVE) return;
    entry.logged = entry.shares;
    const { shares } = entry;
    log.info(
      { service, figures, target, loss, moved, shares },
      "region shares moved",
    );
  }

  return {
    getShares(service, allowed) {
      const key = `${service} ${allowed.join(",")}`;
      const entry = entries.get(key);
      const nowMs = clock.monotonicMs();
      if (entry === undefined || entry.shares.length === 0) {
        const figures = listFigures(service, allowed);
        const shares = computeShares(ownRegion, figures);
        const slots = new Map(
          figures.map(({ region, slots }) => [region, { slots, atMs: nowMs }]),
        );
        entries.set(key, {
          shares,
          steppedAtMs: nowMs,
          slots,
          logged: shares,
        });
        log.info({ service, allowed, shares }, "region shares");
        return shares;
      }
      const elapsedMs = nowMs - entry.steppedAtMs;
      if (elapsedMs >= STEP_MS) {
        step(service, entry, listFigures(service, allowed), elapsedMs);
      }
      return entry.shares;
    },
  };
}
