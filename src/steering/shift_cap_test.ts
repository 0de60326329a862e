import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { ServiceDocument } from "../config/schema.ts";
import { decidePlan } from "./decide.ts";
import {
  createFollower,
  type FollowerState,
  followPlan,
  moveWithinLocalCap,
} from "./follower.ts";
import { makeLocalTarget } from "./local_target.ts";
import { type ShiftCap, sumByRegion } from "./shift.ts";
import type { AssignInput, Plan, Weights } from "./types.ts";

const SEED = 20261202;
const STEP_MS = 500;
const PLANNER_TIMEOUT_MS = 6_000;
const REGIONS = ["a", "b", "c"];
const DOMAINS = ["a1", "a2", "b1", "b2", "c1", "c2"];
const regionOf = new Map(DOMAINS.map((domain) => [domain, domain[0]]));
const DEMAND_SHARE = { a: 0.5, b: 0.3, c: 0.2 };
const cap: ShiftCap = { maxShare: 0.1, windowMs: 10_000 };
const START_WALL_MS = 1_700_000_000_000;

const document = {
  service: "s",
  shiftCap: { maxShare: cap.maxShare, windowS: cap.windowMs / 1_000 },
} as ServiceDocument;

/** A process that steers a fixed part of each region's callers. */
interface SimulatedProcess {
  domain: string;
  follower: FollowerState;
  /** Newest plan that it has received. */
  knownPlan: Plan | undefined;
  /** Time of its last contact with the table. */
  lastContactMs: number;
  pausedUntilMs: number;
}

/** State of a simulated fleet, for one service. */
interface Simulation {
  nowMs: number;
  /** Newest plan in the table. */
  storedPlan: Plan | undefined;
  processes: SimulatedProcess[];
  lostRegions: Set<string>;
  drainedRegions: Set<string>;
  disconnectedDomains: Set<string>;
  tableDown: boolean;
  /** Clock error of the lease's holder, in ms. */
  holderSkewMs: number;
  /** Traffic shares after each step; see `listTrafficShares`. */
  history: number[][];
}

type Event =
  | { kind: "lose" | "drain" | "heal"; region: string }
  | { kind: "cut" | "join"; domains: string[] }
  | { kind: "pause"; domains: string[]; durationMs: number }
  | { kind: "table"; down: boolean }
  /** Another steer takes the lease; its clock is off by `skewMs`. */
  | { kind: "holder"; skewMs: number };

const region = fc.constantFrom(...REGIONS);
const domains = fc.subarray(DOMAINS, { minLength: 1 });
const events = fc.array(
  fc.record({
    waitSteps: fc.integer({ min: 0, max: 80 }),
    event: fc.oneof<fc.Arbitrary<Event>[]>(
      fc.record({
        kind: fc.constantFrom("lose", "drain", "heal"),
        region,
      }),
      fc.record({ kind: fc.constantFrom("cut", "join"), domains }),
      fc.record({
        kind: fc.constant("pause"),
        domains,
        durationMs: fc.integer({ min: 500, max: 120_000 }),
      }),
      fc.record({ kind: fc.constant("table"), down: fc.boolean() }),
      fc.record({
        kind: fc.constant("holder"),
        skewMs: fc.integer({ min: -250, max: 250 }),
      }),
    ),
  }),
  { minLength: 3, maxLength: 25 },
);

/** Default weights: every region serves its own callers. */
const HOME_WEIGHTS: Weights = Object.fromEntries(
  REGIONS.map((name) => [name, { [`${name}1`]: 0.5, [`${name}2`]: 0.5 }]),
);

function createSimulation(): Simulation {
  return {
    nowMs: 0,
    storedPlan: undefined,
    processes: DOMAINS.map((name) => ({
      domain: name,
      follower: createFollower(HOME_WEIGHTS),
      knownPlan: undefined,
      lastContactMs: 0,
      pausedUntilMs: 0,
    })),
    lostRegions: new Set(),
    drainedRegions: new Set(),
    disconnectedDomains: new Set(),
    tableDown: false,
    holderSkewMs: 0,
    history: [],
  };
}

function applyEvent(simulation: Simulation, event: Event): void {
  switch (event.kind) {
    case "lose":
      return void simulation.lostRegions.add(event.region);
    case "drain":
      return void simulation.drainedRegions.add(event.region);
    case "heal":
      simulation.lostRegions.delete(event.region);
      simulation.drainedRegions.delete(event.region);
      return;
    case "cut":
      for (const name of event.domains) {
        simulation.disconnectedDomains.add(name);
      }
      return;
    case "join":
      for (const name of event.domains) {
        simulation.disconnectedDomains.delete(name);
      }
      return;
    case "pause":
      for (const process of simulation.processes) {
        if (!event.domains.includes(process.domain)) continue;
        process.pausedUntilMs = simulation.nowMs + event.durationMs;
      }
      return;
    case "table":
      simulation.tableDown = event.down;
      return;
    case "holder":
      simulation.holderSkewMs = event.skewMs;
  }
}

function makeInput(simulation: Simulation): AssignInput {
  const isUnavailable = (name: string) =>
    simulation.lostRegions.has(name) || simulation.drainedRegions.has(name);
  return {
    demand: REGIONS.map((name) => ({
      region: name,
      slots: 100 * DEMAND_SHARE[name as keyof typeof DEMAND_SHARE],
    })),
    domainCapacities: DOMAINS.map((failureDomain) => ({
      failureDomain,
      region: failureDomain[0],
      slots: isUnavailable(failureDomain[0]) ? 0 : 60,
    })),
    delayMs: (from, to) => from === to ? 1 : 30,
    linkSlots: () => Infinity,
  };
}

function step(simulation: Simulation): void {
  simulation.nowMs += STEP_MS;
  const wallMs = START_WALL_MS + simulation.nowMs;
  if (!simulation.tableDown) {
    const plan = decidePlan({
      document,
      current: simulation.storedPlan,
      defaultWeights: HOME_WEIGHTS,
      estimate: { input: makeInput(simulation), demandShare: DEMAND_SHARE },
      regionOf,
      blockCount: 330_000,
      epoch: 1,
      wallMs: wallMs + simulation.holderSkewMs,
    });
    if (plan) simulation.storedPlan = plan;
  }
  for (const process of simulation.processes) {
    updateProcess(simulation, process);
  }
  simulation.history.push(listTrafficShares(simulation));
}

function updateProcess(
  simulation: Simulation,
  process: SimulatedProcess,
): void {
  if (simulation.nowMs < process.pausedUntilMs) return;
  const isConnected = !simulation.tableDown &&
    !simulation.disconnectedDomains.has(process.domain);
  if (isConnected) {
    process.knownPlan = simulation.storedPlan;
    process.lastContactMs = simulation.nowMs;
  }
  const context = {
    cap,
    regionOf,
    nowMs: simulation.nowMs,
    wallMs: START_WALL_MS + simulation.nowMs,
  };
  if (simulation.nowMs - process.lastContactMs < PLANNER_TIMEOUT_MS) {
    if (process.knownPlan) {
      followPlan(process.follower, process.knownPlan, context);
    }
    return;
  }
  const target = makeLocalTarget({
    weights: process.knownPlan?.weights ?? process.follower.weights,
    aliveRegions: new Set(
      REGIONS.filter((name) => !simulation.lostRegions.has(name)),
    ),
    regionOf,
    delayMs: (from, to) => from === to ? 1 : 30,
  });
  moveWithinLocalCap(process.follower, target, context);
}

/**
 * Lists the shares of traffic by process, caller's region and serving region.
 */
function listTrafficShares({ processes }: Simulation): number[] {
  return processes.flatMap(({ follower }) =>
    REGIONS.flatMap((caller) => {
      const sums = sumByRegion(follower.weights[caller], regionOf);
      const part = DEMAND_SHARE[caller as keyof typeof DEMAND_SHARE] /
        processes.length;
      return REGIONS.map((name) => part * (sums[name] ?? 0));
    })
  );
}

/**
 * Finds the largest share of the traffic that changed region within a window.
 */
function findLargestShift({ history }: Simulation): number {
  const steps = cap.windowMs / STEP_MS;
  let largest = 0;
  for (let to = 1; to < history.length; to++) {
    for (let from = Math.max(0, to - steps); from < to; from++) {
      let difference = 0;
      for (let index = 0; index < history[to].length; index++) {
        difference += Math.abs(history[from][index] - history[to][index]);
      }
      largest = Math.max(largest, difference / 2);
    }
  }
  return largest;
}

test("every window stays within the shift cap under random faults", () => {
  let steps = 0;
  let largest = 0;
  fc.assert(
    fc.property(events, (planned) => {
      const simulation = createSimulation();
      for (const { waitSteps, event } of planned) {
        for (let count = 0; count < waitSteps; count++) step(simulation);
        applyEvent(simulation, event);
      }
      for (let count = 0; count < 20; count++) step(simulation);
      steps += simulation.history.length;
      const shift = findLargestShift(simulation);
      largest = Math.max(largest, shift);
      assert.ok(shift <= cap.maxShare + 1e-9, `shift ${shift}`);
    }),
    { seed: SEED, numRuns: 150 },
  );
  console.log(`${steps} steps; largest shift ${largest.toFixed(4)} of 0.1`);
  assert.ok(
    largest > 0.05,
    "the runs moved too little traffic to test the cap",
  );
});

test("traffic moves away from a lost region, plan by plan", () => {
  const simulation = createSimulation();
  for (let count = 0; count < 4; count++) step(simulation);
  applyEvent(simulation, { kind: "lose", region: "a" });
  for (let count = 0; count < 400; count++) step(simulation);
  for (const { follower } of simulation.processes) {
    const row = follower.weights.a;
    assert.ok((row.a1 ?? 0) + (row.a2 ?? 0) < 1e-6);
  }
});

test.run();
