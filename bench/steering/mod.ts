/**
 * Compares steering with a naive strategy and with an omniscient planner, on the
 * same demand, capacity and faults, in steps of half a second.
 *
 * Callers are client blocks, which the project's rendezvous hashing places by the
 * weights in force. A region serves what its slots allow; excess requests are
 * refused (steering) or late (naive, which has no admission control). Cold servers
 * are slow for a while. Measurements reach a planner after a lag.
 *
 * @module
 */
import { mapRegions } from "../../src/config/regions.ts";
import type {
  FleetDocument,
  ServiceDocument,
} from "../../src/config/schema.ts";
import { generateDeployment } from "../../src/deployment/generate.ts";
import { readDeployment } from "../../src/deployment/prepare.ts";
import { getShiftCap } from "../../src/steering/decide.ts";
import { makeDefaultWeights } from "../../src/steering/defaults.ts";
import { createFollower } from "../../src/steering/follower.ts";
import type { Weights } from "../../src/steering/types.ts";
import { publish, type Row } from "../report.ts";
import { EVENT_MS, listScenarios, type Scenario } from "./scenarios.ts";
import { decideNaive, decideOmniscient, decideSteering } from "./strategies.ts";
import {
  getDemandPerS,
  measureMoved,
  placeBlocks,
  recordColdRegions,
  type RunResult,
  serve,
  type Site,
  STEP_MS,
  type Strategy,
  type World,
} from "./world.ts";

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
    recordColdRegions(world, nowMs, history);
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
          getDemandPerS(world, region, nowMs),
        ]),
      ),
    );
  }
  result.inTimeShare = inTime / offered;
  return result;
}

/** Share of all slots that are busy before the event. */
const BASE_UTILIZATION = 0.5;

function listSites(name: string): Site[] {
  const deployment = readDeployment(name);
  const files = generateDeployment(deployment, {
    base: 20,
    durationS: 1,
    seed: 1,
  });
  const fleet = files.documents[0].document as FleetDocument;
  const regionOf = mapRegions(fleet);
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
          capacity * BASE_UTILIZATION * region.demandShare,
        ]),
      ),
      weight: service.share,
    };
  });
}

function getQuantile(values: number[], part: number): number {
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
          "p50 ms": getQuantile(latency, 0.5),
          "p99 ms": getQuantile(latency, 0.99),
          "p99.9 ms": getQuantile(latency, 0.999),
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
