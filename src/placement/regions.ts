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
const STEP_MS = 500;
/**
 * Part of the allowed shift that is planned. Requests arrive by chance: with
 * 300 in a window, a share of a half swings by 4 in 100 unplanned, and two
 * such swings have to fit as well.
 */
const PLANNED_PART = 0.3;
/** Target moves below this are not followed; figures swing by chance. */
const MIN_MOVE = 0.03;

interface Entry {
  shares: RegionShare[];
  steppedAtMs: number;
}

/**
 * @param parts What the plan needs.
 * @returns A plan that starts at the shares that today's figures ask for.
 */
export function createRegionPlan(parts: RegionPlanParts): RegionPlan {
  const { clock, log, ownRegion, maxShift } = parts;
  const entries = new Map<string, Entry>();
  const maxStep = maxShift * PLANNED_PART * STEP_MS / SHIFT_WINDOW_MS;

  function computeTarget(service: string, allowed: readonly string[]) {
    const figures = parts.getFigures(service).filter((region) =>
      allowed.length === 0 || allowed.includes(region.region)
    );
    return computeShares(ownRegion, figures);
  }

  function step(entry: Entry, target: RegionShare[], elapsedMs: number): void {
    const steps = Math.min(2, Math.floor(elapsedMs / STEP_MS));
    entry.steppedAtMs = clock.monotonicMs();
    if (computeDistance(entry.shares, target) < MIN_MOVE) return;
    entry.shares = stepShares(entry.shares, target, maxStep * steps);
  }

  return {
    getShares(service, allowed) {
      const key = `${service} ${allowed.join(",")}`;
      const entry = entries.get(key);
      const nowMs = clock.monotonicMs();
      if (entry === undefined || entry.shares.length === 0) {
        const shares = computeTarget(service, allowed);
        entries.set(key, { shares, steppedAtMs: nowMs });
        log.info({ service, allowed, shares }, "region shares");
        return shares;
      }
      const elapsedMs = nowMs - entry.steppedAtMs;
      if (elapsedMs >= STEP_MS) {
        step(entry, computeTarget(service, allowed), elapsedMs);
      }
      return entry.shares;
    },
  };
}
