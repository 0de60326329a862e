/**
 * Steering against a naive version and against a planner that knows everything,
 * on the same demand, capacity and faults, in steps of half a second.
 *
 * Callers are client blocks; each is placed by the project's own rendezvous
 * choice on the weights in force. A region serves what its slots allow; what is
 * beyond is refused (steering) or late (naive, which has no admission). Cold
 * servers are slow for a while. Measurements reach a planner after a lag.
 *
 * @module
 */
import type { FleetDocument, ServiceDocument } from "../src/config/schema.ts";
import { generateDeployment } from "../src/deployment/generate.ts";
import { readDeployment } from "../src/deployment/prepare.ts";
import type { LoadState } from "../src/measurement/state.ts";
import { assign } from "../src/steering/assign.ts";
import { decidePlan, getShiftCap } from "../src/steering/decide.ts";
import { makeDefaultWeights } from "../src/steering/defaults.ts";
import { estimate, getDelayMs } from "../src/steering/estimate.ts";
import { createFollower, followPlan } from "../src/steering/follower.ts";
import { pickRegion } from "../src/steering/place.ts";
import {
  measureShift,
  stepTowards,
  sumByRegion,
} from "../src/steering/shift.ts";
import type { Plan, Weights } from "../src/steering/types.ts";
import { publish, type Row } from "./report.ts";

const STEP_MS = 500;
const BLOCKS_PER_REGION = 400;
/** Latency is taken from each so many steps. */
const LATENCY_EVERY = 20;
/** Service time of a cold server, as a multiple. */
const COLD_FACTOR = 3;
const COLD_MS = 15_000;
const WALL_START_MS = 1_700_000_000_000;

/** What happens, as functions of time. */
interface Scenario {
  name: string;
  durationMs: number;
  /** Factor on the demand of all regions. */
  demandFactor(nowMs: number): number;
  isLost(region: string, nowMs: number): boolean;
  isDrained(region: string, nowMs: number): boolean;
  /** Age of the figures that a planner sees, in ms; Infinity: none arrive. */
  lagMs(nowMs: number): number;
  /** Whether places that gain traffic are cold. */
  cold: boolean;
}

const calm: Omit<Scenario, "name"> = {
  durationMs: 620_000,
  demandFactor: () => 1,
  isLost: () => false,
  isDrained: () => false,
  lagMs: () => 1_000,
  cold: false,
};

const EVENT_MS = 20_000;

function listScenarios(regions: string[]): Scenario[] {
  const [first] = regions;
  const after = (nowMs: number) => nowMs >= EVENT_MS;
  return [
    {
      ...calm,
      name: "region loss",
      isLost: (region, nowMs) => region === first && after(nowMs),
    },
    {
      ...calm,
      name: "surge at 3x",
      demandFactor: (nowMs) => after(nowMs) ? 3 : 1,
    },
    {
      ...calm,
      name: "region loss, figures stop",
      isLost: (region, nowMs) => region === first && after(nowMs),
      lagMs: (nowMs) => after(nowMs) ? Infinity : 1_000,
    },
    {
      ...calm,
      name: "drain to cold places",
      isDrained: (region, nowMs) => region === first && after(nowMs),
      cold: true,
    },
  ];
}

/** One service under one deployment. */
interface Site {
  document: ServiceDocument;
  fleet: FleetDocument;
  regionOf: Map<string, string>;
  /** Requests a second by region, at factor 1. */
  demand: Record<string, number>;
  weight: number;
}

type Strategy = "steering" | "naive" | "omniscient";

interface RunResult {
  inTimeShare: number;
  lowestHeadroom: number;
  lowestLinkHeadroom: number;
  largestShiftOverCap: number;
  /** Time from the event until 99% of what capacity allows is served, in s. */
  recoveryS: number;
  latency: number[];
}

interface World {
  site: Site;
  scenario: Scenario;
  strategy: Strategy;
  weights: Weights;
  plan: Plan | undefined;
  follower: ReturnType<typeof createFollower>;
  coldUntilMs: Map<string, number>;
  /** Requests a second by region, as measured at each step. */
  measured: Record<string, number>[];
}

function capacityOf(world: World, region: string, nowMs: number): number {
  const { site: { document, regionOf }, scenario, coldUntilMs } = world;
  if (scenario.isLost(region, nowMs)) return 0;
  const slots = document.backendServers
    .filter(({ failureDomain }) => regionOf.get(failureDomain) === region)
    .reduce((sum, server) => sum + server.slots, 0);
  const isCold = (coldUntilMs.get(region) ?? 0) > nowMs;
  const serviceMs = document.expectedServiceMs * (isCold ? COLD_FACTOR : 1);
  return slots * 1_000 / serviceMs;
}

function demandAt(world: World, region: string, nowMs: number): number {
  return world.site.demand[region] * world.scenario.demandFactor(nowMs);
}

/** Figures as a planner sees them: those of `lag` ago. */
function makeLoads(world: World, nowMs: number): LoadState {
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

function withDrains(world: World, nowMs: number): ServiceDocument {
  const { document } = world.site;
  const drained = document.regions.filter((region) =>
    world.scenario.isDrained(region, nowMs)
  );
  return {
    ...document,
    drains: drained.map((name) => ({ scope: "region" as const, name })),
  };
}

function estimateNow(world: World, nowMs: number) {
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
    slots: demandAt(world, region, nowMs) * serviceMs / 1_000,
  }));
  const places = known.input.places.map((place) => ({
    ...place,
    slots: place.slots / (1 - document.headroomShare),
  }));
  return { ...known, input: { ...known.input, demand, places } };
}

/** Omniscient: true demand and capacity at once, all of the cap at once. */
function decideOmniscient(world: World, nowMs: number): void {
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

function decideSteering(world: World, nowMs: number): void {
  const { site } = world;
  const plan = decidePlan({
    document: withDrains(world, nowMs),
    defaults: makeDefaultWeights(site.document, { ...site, wallMs: 0 }),
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

/** Nearest healthy place with room by the last report, with no cap. */
function decideNaive(world: World, nowMs: number): void {
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
      const added = demandAt(world, region, atMs) * weight;
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
    const roomy = ranked.find((target) =>
      (load.get(target) ?? 0) < capacityOf(world, target, atMs)
    );
    const chosen = domainsOf(roomy ?? ranked[0]);
    next[region] = Object.fromEntries(
      chosen.map((domain) => [domain, 1 / chosen.length]),
    );
  }
  if (JSON.stringify(next) !== JSON.stringify(world.weights)) {
    world.weights = next;
  }
}

interface Served {
  offered: number;
  inTime: number;
  allowed: number;
  headroom: number;
  linkHeadroom: number;
  latency: number[];
}

function serve(world: World, nowMs: number, places: string[][]): Served {
  const { site: { document, fleet }, strategy } = world;
  const arriving = new Map<string, number>();
  const crossing = new Map<string, number>();
  let offered = 0;
  document.regions.forEach((caller, index) => {
    const perBlock = demandAt(world, caller, nowMs) / BLOCKS_PER_REGION;
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
    const capacity = capacityOf(world, region, nowMs);
    const wanted = arriving.get(region) ?? 0;
    capacityAll += capacity;
    // Admission holds back what a place can't serve; the naive has none.
    const carried = strategy === "naive" ? wanted : Math.min(wanted, capacity);
    headroom = Math.min(headroom, capacity > 0 ? 1 - carried / capacity : 1);
    // Without admission, an overloaded place answers nearly all of it late.
    const isCollapsed = strategy === "naive" && wanted > capacity * 1.05;
    inTime += isCollapsed ? capacity * 0.05 : Math.min(wanted, capacity);
  }
  const takesLatency = nowMs / STEP_MS % LATENCY_EVERY === 0;
  document.regions.forEach((caller, index) => {
    if (!takesLatency) return;
    for (const place of places[index]) {
      const capacity = capacityOf(world, place, nowMs);
      const use = Math.min(0.97, (arriving.get(place) ?? 0) / capacity);
      if (capacity === 0) continue;
      const wayMs = 2 * getDelayMs(fleet, caller, place);
      latency.push(wayMs + document.expectedServiceMs / (1 - use * use));
    }
  });
  const limit = fleet.links[0]?.limitBytesPerS ?? Infinity;
  const most = Math.max(0, ...crossing.values());
  return {
    offered,
    inTime,
    allowed: Math.min(offered, capacityAll),
    headroom,
    linkHeadroom: 1 - most / limit,
    latency,
  };
}

function run(site: Site, scenario: Scenario, strategy: Strategy): RunResult {
  const home: Weights = {};
  const world: World = {
    site,
    scenario,
    strategy,
    weights: home,
    plan: undefined,
    follower: createFollower(home),
    coldUntilMs: new Map(),
    measured: [],
  };
  world.weights = makeDefaultWeights(site.document, { ...site, wallMs: 0 });
  world.follower = createFollower(world.weights);
  const history: string[][][] = [];
  const cap = getShiftCap(site.document);
  const windowSteps = cap.windowMs / STEP_MS;
  const result: RunResult = {
    inTimeShare: 0,
    lowestHeadroom: 1,
    lowestLinkHeadroom: 1,
    largestShiftOverCap: 0,
    recoveryS: 0,
    latency: [],
  };
  let offered = 0;
  let inTime = 0;
  let placedFor: Weights | undefined;
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    if (strategy === "steering") decideSteering(world, nowMs);
    else if (strategy === "naive") decideNaive(world, nowMs);
    else decideOmniscient(world, nowMs);
    const places = placedFor === world.weights
      ? history[history.length - 1]
      : placeBlocks(world);
    placedFor = world.weights;
    history.push(places);
    noteCold(world, nowMs, history);
    const served = serve(world, nowMs, places);
    offered += served.offered;
    inTime += served.inTime;
    result.lowestHeadroom = Math.min(result.lowestHeadroom, served.headroom);
    result.lowestLinkHeadroom = Math.min(
      result.lowestLinkHeadroom,
      served.linkHeadroom,
    );
    result.latency.push(...served.latency);
    const before = history[Math.max(0, history.length - 1 - windowSteps)];
    const shift = before === places
      ? 0
      : measureMoved(world, before, places, nowMs);
    result.largestShiftOverCap = Math.max(
      result.largestShiftOverCap,
      shift / cap.maxShare,
    );
    if (nowMs >= EVENT_MS && served.inTime < served.allowed * 0.99) {
      result.recoveryS = (nowMs + STEP_MS - EVENT_MS) / 1_000;
    }
    world.measured.push(
      Object.fromEntries(
        site.document.regions.map((region) => [
          region,
          demandAt(world, region, nowMs),
        ]),
      ),
    );
  }
  result.inTimeShare = inTime / offered;
  return result;
}

/** @returns The region of each block, by the caller's region. */
function placeBlocks({ site, weights }: World): string[][] {
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

/** Places whose traffic grew by a tenth within a second are cold for a while. */
function noteCold(world: World, nowMs: number, history: string[][][]): void {
  if (!world.scenario.cold || history.length < 3) return;
  const count = (places: string[][], region: string) =>
    places.flat().filter((place) => place === region).length;
  for (const region of world.site.document.regions) {
    const before = count(history[history.length - 3], region);
    const now = count(history[history.length - 1], region);
    if (now <= before * 1.1) continue;
    world.coldUntilMs.set(region, nowMs + COLD_MS);
  }
}

function measureMoved(
  world: World,
  before: string[][],
  after: string[][],
  nowMs: number,
): number {
  let moved = 0;
  let all = 0;
  world.site.document.regions.forEach((caller, index) => {
    const perBlock = demandAt(world, caller, nowMs);
    after[index].forEach((place, block) => {
      all += perBlock;
      if (before[index][block] !== place) moved += perBlock;
    });
  });
  return moved / all;
}

function listSites(name: string): Site[] {
  const deployment = readDeployment(name);
  const files = generateDeployment(deployment, {
    base: 20,
    durationS: 1,
    seed: 1,
  });
  const fleet = files.documents[0].document as FleetDocument;
  const regionOf = new Map(
    fleet.regions.flatMap((region) =>
      region.failureDomains.map((domain) => [domain, region.name] as const)
    ),
  );
  return deployment.services.map((service, index) => {
    const document = files.documents[index + 1].document as ServiceDocument;
    const slots = service.backendServers * service.slots;
    const capacity = slots * 1_000 / service.serviceMs;
    return {
      document,
      fleet,
      regionOf,
      demand: Object.fromEntries(
        deployment.regions.map((region) => [
          region.name,
          capacity * BASE_USE * region.demandShare,
        ]),
      ),
      weight: service.share,
    };
  });
}

/** Share of all slots in use before the event. */
const BASE_USE = 0.5;

function quantile(values: number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * part)];
}

/** Runs all scenarios and prints the table. */
export function benchSteering(): void {
  const rows: Row[] = [];
  for (const name of ["nordvern", "asca"]) {
    const sites = listSites(name);
    const scenarios = listScenarios(sites[0].document.regions);
    for (const scenario of scenarios) {
      const strategies = ["omniscient", "steering", "naive"] as const;
      let best = 0;
      for (const strategy of strategies) {
        const results = sites.map((site) => ({
          site,
          result: run(site, scenario, strategy),
        }));
        const all = results.reduce((sum, { site }) => sum + site.weight, 0);
        const inTime = results.reduce(
          (sum, { site, result }) => sum + site.weight * result.inTimeShare,
          0,
        ) / all;
        if (strategy === "omniscient") best = inTime;
        const latency = results.flatMap(({ result }) => result.latency);
        const lowest = (value: (result: RunResult) => number) =>
          Math.min(...results.map(({ result }) => value(result)));
        const highest = (value: (result: RunResult) => number) =>
          Math.max(...results.map(({ result }) => value(result)));
        rows.push({
          deployment: name,
          scenario: scenario.name,
          strategy,
          "in time": inTime,
          "of omniscient": inTime / best,
          "p50 ms": quantile(latency, 0.5),
          "p99 ms": quantile(latency, 0.99),
          "p99.9 ms": quantile(latency, 0.999),
          "lowest region headroom": lowest((one) => one.lowestHeadroom),
          "lowest link headroom": lowest((one) => one.lowestLinkHeadroom),
          "largest shift / cap": highest((one) => one.largestShiftOverCap),
          "recovery s": highest((one) => one.recoveryS),
        });
      }
    }
  }
  publish(
    "steering",
    "Steering, naive and omniscient under the same faults (model, 50% use)",
    rows,
  );
}
