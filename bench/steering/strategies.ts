/**
 * The steering strategies that are compared: this project's, a naive one, and an
 * omniscient one.
 *
 * @module
 */
import type { ServiceDocument } from "../../src/config/schema.ts";
import type { LoadState } from "../../src/measurement/state.ts";
import { assign } from "../../src/steering/assign.ts";
import { decidePlan, getShiftCap } from "../../src/steering/decide.ts";
import { makeDefaultWeights } from "../../src/steering/defaults.ts";
import { estimate, getDelayMs } from "../../src/steering/estimate.ts";
import { followPlan } from "../../src/steering/follower.ts";
import {
  measureShift,
  stepTowards,
  sumByRegion,
} from "../../src/steering/shift.ts";
import type { Plan, Weights } from "../../src/steering/types.ts";
import { EVENT_MS } from "./scenarios.ts";
import {
  BLOCKS_PER_REGION,
  getCapacityPerS,
  getDemandPerS,
  STEP_MS,
  WALL_START_MS,
  type World,
} from "./world.ts";

/** @returns Load stats that a planner sees, which are as old as the lag. */
export function makeLoads(world: World, nowMs: number): LoadState {
  const lagMs = world.scenario.lagMs(nowMs);
  const { site: { document, regionOf }, measured } = world;
  const atMs = Number.isFinite(lagMs) ? nowMs - lagMs : EVENT_MS;
  const seen = measured[Math.max(0, Math.floor(atMs / STEP_MS) - 1)];
  if (seen === undefined) return new Map();
  const domains = new Set(
    document.backendServers.map((s) => s.failureDomain)
      .filter((domain) => !world.scenario.isLost(regionOf.get(domain)!, nowMs)),
  );
  return new Map(
    [...domains].map((domain) => [`${domain}/entry`, {
      receivedMs: atMs,
      load: {
        entryId: `${domain}/entry`,
        failureDomain: domain,
        utilization: 0,
        services: [{
          service: document.service,
          usableSlots: document.backendServers
            .filter((server) => server.failureDomain === domain)
            .reduce((sum, { slots }) => sum + slots, 0),
          inFlight: 1,
          serviceMs: document.expectedServiceMs,
          arrivals: Object.entries(seen).map(([region, requestsPerS]) => ({
            region,
            requestsPerS: requestsPerS / domains.size,
          })),
          bytesPerRequest: 1_500,
        }],
      },
    }]),
  );
}

/** @returns The document with the scenario's drains added. */
export function withDrains(world: World, nowMs: number): ServiceDocument {
  const { document } = world.site;
  const drained = document.regions.filter((region) =>
    world.scenario.isDrained(region, nowMs)
  );
  return {
    ...document,
    drains: drained.map((name) => ({ scope: "region" as const, name })),
  };
}

/** @returns The planner's estimate: lagging stats, or actual demand if omniscient. */
export function estimateNow(world: World, nowMs: number) {
  const { site: { fleet, regionOf }, scenario, strategy } = world;
  const document = withDrains(world, nowMs);
  const alive = [...regionOf].filter(([, region]) =>
    !scenario.isLost(region, nowMs)
  ).map(([domain]) => domain);
  const known = estimate({
    document,
    fleet,
    regionOf,
    loads: strategy === "omniscient" ? new Map() : makeLoads(world, nowMs),
    aliveDomains: new Set(alive),
    leavingServers: new Set(),
    serviceCount: 3,
    nowMs,
    wallMs: WALL_START_MS + nowMs,
  });
  if (strategy !== "omniscient") return known;
  const { serviceMs } = { serviceMs: document.expectedServiceMs };
  const demand = Object.keys(world.site.demand).map((region) => ({
    region,
    slots: getDemandPerS(world, region, nowMs) * serviceMs / 1_000,
  }));
  const domainCapacities = known.input.domainCapacities.map((domain) => ({
    ...domain,
    slots: domain.slots / (1 - document.headroomShare),
  }));
  return { ...known, input: { ...known.input, demand, domainCapacities } };
}

/** Omniscient: uses actual demand and capacity, and spends the whole cap at once. */
export function decideOmniscient(world: World, nowMs: number): void {
  const { input, demandShare } = estimateNow(world, nowMs);
  const target = assign(input);
  const cap = getShiftCap(world.site.document);
  const spent = (world.plan?.trail ?? [])
    .filter((step) => nowMs - step.atMs < cap.windowMs)
    .reduce((sum, step) => sum + step.share, 0);
  const change = {
    from: world.weights,
    to: target,
    regionOf: world.site.regionOf,
  };
  const next = stepTowards(change, {
    budget: Math.max(0, cap.maxShare - spent),
    demandShare,
    isUrgent: (region) => world.scenario.isLost(region, nowMs),
  });
  const share = measureShift({ ...change, to: next }, demandShare);
  world.weights = next;
  const trail = [...world.plan?.trail ?? [], { number: 0, atMs: nowMs, share }];
  world.plan = { trail } as Plan;
}

/** Steering: this project's planner and follower. */
export function decideSteering(world: World, nowMs: number): void {
  const { site } = world;
  const plan = decidePlan({
    document: withDrains(world, nowMs),
    defaultWeights: makeDefaultWeights(site.document, { ...site, wallMs: 0 }),
    current: world.plan,
    estimate: estimateNow(world, nowMs),
    regionOf: world.site.regionOf,
    blockCount: BLOCKS_PER_REGION * world.site.document.regions.length,
    epoch: 1,
    wallMs: WALL_START_MS + nowMs,
  });
  if (plan) world.plan = plan;
  if (!world.plan) return;
  followPlan(world.follower, world.plan, {
    cap: getShiftCap(world.site.document),
    regionOf: world.site.regionOf,
    nowMs,
    wallMs: WALL_START_MS + nowMs,
  });
  world.weights = world.follower.weights;
}

/** Naive: nearest healthy region with capacity by the last report, without a cap. */
export function decideNaive(world: World, nowMs: number): void {
  const { site: { document, fleet, regionOf }, scenario } = world;
  const lagMs = scenario.lagMs(nowMs);
  const atMs = Number.isFinite(lagMs) ? Math.max(0, nowMs - lagMs) : EVENT_MS;
  const domainsOf = (region: string) =>
    [...new Set(document.backendServers.map((s) => s.failureDomain))]
      .filter((domain) => regionOf.get(domain) === region);
  const load = new Map<string, number>();
  for (const region of document.regions) {
    for (
      const [target, weight] of Object.entries(
        sumByRegion(world.weights[region] ?? {}, regionOf),
      )
    ) {
      const added = getDemandPerS(world, region, atMs) * weight;
      load.set(target, (load.get(target) ?? 0) + added);
    }
  }
  const next: Weights = {};
  for (const region of document.regions) {
    const ranked = document.regions
      .filter((target) =>
        !scenario.isLost(target, atMs) && !scenario.isDrained(target, atMs)
      )
      .sort((a, b) =>
        getDelayMs(fleet, region, a) - getDelayMs(fleet, region, b)
      );
    const regionWithCapacity = ranked.find((target) =>
      (load.get(target) ?? 0) < getCapacityPerS(world, target, atMs)
    );
    const chosen = domainsOf(regionWithCapacity ?? ranked[0]);
    next[region] = Object.fromEntries(
      chosen.map((domain) => [domain, 1 / chosen.length]),
    );
  }
  if (JSON.stringify(next) !== JSON.stringify(world.weights)) {
    world.weights = next;
  }
}
