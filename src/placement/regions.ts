/**
 * Keeps the shares by which this VM's callers are spread over regions, and
 * moves them slowly when demand or servers change.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import {
  computeDistance,
  computeShares,
  type RegionFigures,
  type RegionShare,
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
export interface RegionPlanParts {
  clock: Clock;
  log: Log;
  ownRegion: string;
  /** Slots and demand of every region, for one service. */
  getFigures: (service: string) => RegionFigures[];
  /** Largest share that may change region from one 2 s window to the next. */
  maxShift: number;
}

/** Window in which a shift is counted. */
const SHIFT_WINDOW_MS = 2_000;
/** How often a plan is brought up to date. */
const STEP_MS = 250;
/**
 * Part of the allowed shift that is planned. Requests arrive by chance: with
 * 300 in a window, a share of a half swings by 4 in 100 unplanned, and two
 * such swings have to fit as well.
 */
const PLANNED_PART = 0.3;
/** Target moves below this are not followed; figures swing by chance. */
const MIN_MOVE = 0.03;
/**
 * A region that has less than this part of the slots that its shares were made
 * for has lost servers: its requests go elsewhere at once. At the usual pace
 * the servers that are left would be overwhelmed for ten seconds.
 */
const LOST_SLOTS_PART = 0.75;

interface Entry {
  shares: RegionShare[];
  steppedAtMs: number;
  /** Slots of each region when shares were last brought up to date. */
  slots: Map<string, number>;
}

/**
 * @param parts What the plan needs.
 * @returns A plan that starts at the shares that today's figures ask for.
 */
export function createRegionPlan(parts: RegionPlanParts): RegionPlan {
  const { clock, log, ownRegion, maxShift } = parts;
  const entries = new Map<string, Entry>();
  const maxStep = maxShift * PLANNED_PART * STEP_MS / SHIFT_WINDOW_MS;

  function listFigures(service: string, allowed: readonly string[]) {
    return parts.getFigures(service).filter((region) =>
      allowed.length === 0 || allowed.includes(region.region)
    );
  }

  function hasLostSlots(entry: Entry, figures: readonly RegionFigures[]) {
    return figures.some(({ region, slots }) =>
      slots < LOST_SLOTS_PART * (entry.slots.get(region) ?? 0)
    );
  }

  function step(
    entry: Entry,
    figures: readonly RegionFigures[],
    elapsedMs: number,
  ): void {
    const target = computeShares(ownRegion, figures);
    const isLoss = hasLostSlots(entry, figures);
    const steps = Math.min(2, Math.floor(elapsedMs / STEP_MS));
    const distance = computeDistance(entry.shares, target);
    entry.steppedAtMs = clock.monotonicMs();
    entry.slots = mapSlots(figures);
    if (target.length === 0 || distance < MIN_MOVE) return;
    const limit = isLoss ? 1 : maxStep * steps;
    entry.shares = stepShares(entry.shares, target, limit);
    if (isLoss) log.info({ target, distance }, "servers lost, shares moved");
  }

  return {
    getShares(service, allowed) {
      const key = `${service} ${allowed.join(",")}`;
      const entry = entries.get(key);
      const nowMs = clock.monotonicMs();
      if (entry === undefined || entry.shares.length === 0) {
        const figures = listFigures(service, allowed);
        const shares = computeShares(ownRegion, figures);
        const slots = mapSlots(figures);
        entries.set(key, { shares, steppedAtMs: nowMs, slots });
        log.info({ service, allowed, shares }, "region shares");
        return shares;
      }
      const elapsedMs = nowMs - entry.steppedAtMs;
      if (elapsedMs >= STEP_MS) {
        step(entry, listFigures(service, allowed), elapsedMs);
      }
      return entry.shares;
    },
  };
}

function mapSlots(figures: readonly RegionFigures[]): Map<string, number> {
  return new Map(figures.map(({ region, slots }) => [region, slots]));
}
