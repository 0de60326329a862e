/**
 * Simulates a deployment under a scenario: demand, capacity and served requests.
 *
 * @module
 */
import type {
  FleetDocument,
  ServiceDocument,
} from "../../src/config/schema.ts";
import { getDelayMs } from "../../src/steering/estimate.ts";
import { createFollower } from "../../src/steering/follower.ts";
import { pickRegion } from "../../src/steering/place.ts";
import type { Plan, Weights } from "../../src/steering/types.ts";
import type { Scenario } from "./scenarios.ts";

/** Time between two decisions, in ms. */
export const STEP_MS = 500;
/** Client blocks of each region. */
export const BLOCKS_PER_REGION = 400;
/** Steps between two latency samples. */
export const LATENCY_SAMPLE_STEPS = 20;
/** Factor on the service time of a cold server. */
export const COLD_FACTOR = 3;
/** Time that a region stays cold, in ms. */
export const COLD_MS = 15_000;
/** Wall-clock time at the start, in ms since the epoch. */
export const WALL_START_MS = 1_700_000_000_000;

/** One service of a deployment. */
export interface Site {
  document: ServiceDocument;
  fleet: FleetDocument;
  regionOf: Map<string, string>;
  /** Requests per second by region, at demand factor 1. */
  demand: Record<string, number>;
  /** Share of the deployment's requests. */
  weight: number;
}

/** A steering strategy. */
export type Strategy = "steering" | "naive" | "omniscient";

/** State of the simulation of a service under a scenario and a strategy. */
export interface World {
  site: Site;
  scenario: Scenario;
  strategy: Strategy;
  weights: Weights;
  plan: Plan | undefined;
  follower: ReturnType<typeof createFollower>;
  coldUntilMs: Map<string, number>;
  /** Requests per second by region, as measured at each step. */
  measured: Record<string, number>[];
}

/** Result of a run. */
export interface RunResult {
  inTimeShare: number;
  lowestHeadroom: number;
  lowestLinkHeadroom: number;
  largestShiftOverCap: number;
  /** Time from the event until 99% of what capacity allows is served, in s. */
  recoveryS: number;
  latency: number[];
}

/** @returns Requests per second that a region can serve now. */
export function getCapacityPerS(
  world: World,
  region: string,
  nowMs: number,
): number {
  const { site: { document, regionOf }, scenario, coldUntilMs } = world;
  if (scenario.isLost(region, nowMs)) return 0;
  const slots = document.backendServers
    .filter(({ failureDomain }) => regionOf.get(failureDomain) === region)
    .reduce((sum, server) => sum + server.slots, 0);
  const isCold = (coldUntilMs.get(region) ?? 0) > nowMs;
  const serviceMs = document.expectedServiceMs * (isCold ? COLD_FACTOR : 1);
  return slots * 1_000 / serviceMs;
}

/** @returns Requests per second of a region's callers. */
export function getDemandPerS(
  world: World,
  region: string,
  nowMs: number,
): number {
  return world.site.demand[region] * world.scenario.demandFactor(nowMs);
}

/** Result of one step, in requests per second. */
export interface StepResult {
  offered: number;
  inTime: number;
  allowed: number;
  headroom: number;
  linkHeadroom: number;
  latency: number[];
}

/**
 * Serves the requests of one step.
 *
 * @param world State of the simulation.
 * @param nowMs Time of the step.
 * @param places Region of each block, by the caller's region.
 * @returns What was offered and served.
 */
export function serve(
  world: World,
  nowMs: number,
  places: string[][],
): StepResult {
  const { site: { document, fleet }, strategy } = world;
  const arriving = new Map<string, number>();
  const crossing = new Map<string, number>();
  let offered = 0;
  document.regions.forEach((caller, index) => {
    const perBlock = getDemandPerS(world, caller, nowMs) / BLOCKS_PER_REGION;
    for (const place of places[index]) {
      offered += perBlock;
      arriving.set(place, (arriving.get(place) ?? 0) + perBlock);
      if (place === caller) continue;
      const link = `${caller} ${place}`;
      crossing.set(link, (crossing.get(link) ?? 0) + perBlock * 1_500);
    }
  });
  const latency: number[] = [];
  let inTime = 0;
  let headroom = 1;
  let capacityAll = 0;
  for (const region of document.regions) {
    const capacity = getCapacityPerS(world, region, nowMs);
    const wanted = arriving.get(region) ?? 0;
    capacityAll += capacity;
    // Admission control refuses the excess; the naive strategy has none.
    const carried = strategy === "naive" ? wanted : Math.min(wanted, capacity);
    headroom = Math.min(headroom, capacity > 0 ? 1 - carried / capacity : 1);
    // Without admission control, an overloaded region answers nearly all late.
    const isCollapsed = strategy === "naive" && wanted > capacity * 1.05;
    inTime += isCollapsed ? capacity * 0.05 : Math.min(wanted, capacity);
  }
  const recordsLatency = nowMs / STEP_MS % LATENCY_SAMPLE_STEPS === 0;
  document.regions.forEach((caller, index) => {
    if (!recordsLatency) return;
    for (const place of places[index]) {
      const capacity = getCapacityPerS(world, place, nowMs);
      const utilization = Math.min(0.97, (arriving.get(place) ?? 0) / capacity);
      if (capacity === 0) continue;
      const roundTripMs = 2 * getDelayMs(fleet, caller, place);
      latency.push(
        roundTripMs +
          document.expectedServiceMs / (1 - utilization * utilization),
      );
    }
  });
  const limit = fleet.links[0]?.limitBytesPerS ?? Infinity;
  const maxLinkBytesPerS = Math.max(0, ...crossing.values());
  return {
    offered,
    inTime,
    allowed: Math.min(offered, capacityAll),
    headroom,
    linkHeadroom: 1 - maxLinkBytesPerS / limit,
    latency,
  };
}

/** @returns The region of each block, by the caller's region. */
export function placeBlocks({ site, weights }: World): string[][] {
  return site.document.regions.map((caller) =>
    Array.from({ length: BLOCKS_PER_REGION }, (_, block) =>
      pickRegion({
        service: site.document.service,
        block: `${caller} ${block}`,
        row: weights[caller],
        regionOf: site.regionOf,
      })!)
  );
}

/** Marks regions as cold whose traffic grew by more than 10% within a second. */
export function recordColdRegions(
  world: World,
  nowMs: number,
  history: string[][][],
): void {
  if (!world.scenario.hasColdStarts || history.length < 3) return;
  const count = (places: string[][], region: string) =>
    places.flat().filter((place) => place === region).length;
  for (const region of world.site.document.regions) {
    const before = count(history[history.length - 3], region);
    const now = count(history[history.length - 1], region);
    if (now <= before * 1.1) continue;
    world.coldUntilMs.set(region, nowMs + COLD_MS);
  }
}

/** @returns Share of the traffic that changed region between two steps. */
export function measureMoved(
  world: World,
  before: string[][],
  after: string[][],
  nowMs: number,
): number {
  let moved = 0;
  let all = 0;
  world.site.document.regions.forEach((caller, index) => {
    const perBlock = getDemandPerS(world, caller, nowMs);
    after[index].forEach((place, block) => {
      all += perBlock;
      if (before[index][block] !== place) moved += perBlock;
    });
  });
  return moved / all;
}
