import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createDemandSmoother, type RegionDemand } from "./demand_smoothing.ts";
import { createRegionPlan, type RegionPlan } from "./regions.ts";
import type { RegionStats } from "./shares.ts";

const SLOTS = new Map([["oslo", 48], ["bergen", 16], ["trondheim", 32]]);
/** Phases of the regions' waves, in periods. */
const PHASES = new Map([["oslo", 0.3], ["bergen", 0.63], ["trondheim", 0.97]]);
const PERIOD_MS = 36_000;
const SWING = 0.55;
const REGIONS = [...SLOTS.keys()];

function measureWave(nowMs: number): RegionDemand {
  return new Map([...PHASES].map(([region, phase]) => {
    const angle = 2 * Math.PI * (nowMs / PERIOD_MS + phase);
    return [region, 230 * (1 + SWING * Math.sin(angle))];
  }));
}

type Planner = (service: string, measured: RegionDemand) => RegionDemand;

/** Largest load of a region's slots against the mean of all, over a day. */
function playDay(makePlanner: (now: () => number) => Planner): number {
  const clock = createFakeClock();
  const startMs = clock.monotonicMs();
  const getElapsedMs = () => clock.monotonicMs() - startMs;
  const plans = new Map<string, RegionPlan>();
  for (const ownRegion of REGIONS) {
    const planner = makePlanner(getElapsedMs);
    const getFigures = (service: string): RegionStats[] => {
      const demand = planner(service, measureWave(getElapsedMs()));
      return REGIONS.map((region) => ({
        region,
        slots: SLOTS.get(region)!,
        demand: demand.get(region)!,
      }));
    };
    const log = createSilentLog();
    plans.set(
      ownRegion,
      createRegionPlan({
        clock,
        log,
        ownRegion,
        getStats: getFigures,
        getRequestsPerS: () => 230,
        maxShift: 0.15,
      }),
    );
  }
  let worst = 0;
  for (let stepMs = 0; stepMs < PERIOD_MS; stepMs += 100) {
    worst = Math.max(worst, findHighestLoad(plans, measureWave(stepMs)));
    clock.advance(100);
  }
  return worst;
}

function findHighestLoad(
  plans: ReadonlyMap<string, RegionPlan>,
  demand: RegionDemand,
): number {
  const load = new Map<string, number>();
  let total = 0;
  for (const [from, plan] of plans) {
    total += demand.get(from)!;
    for (const { region, share } of plan.getShares("s", [])) {
      const before = load.get(region) ?? 0;
      load.set(region, before + share * demand.get(from)!);
    }
  }
  const mean = total / [...SLOTS.values()].reduce((sum, one) => sum + one, 0);
  const uses = [...load].map(([region, one]) => one / SLOTS.get(region)!);
  return Math.max(...uses) / mean;
}

test("a small region is not overwhelmed by waves of demand", () => {
  const chasing = playDay(() => (_service, measured) => measured);
  const planned = playDay((now) => {
    const clock = { ...createFakeClock(), monotonicMs: now };
    return createDemandSmoother(clock).smooth;
  });
  console.log(
    `highest load: chasing ${chasing.toFixed(2)}, ` +
      `planned ${planned.toFixed(2)} times the mean`,
  );
  assert.ok(planned < 1.5);
  assert.ok(planned < chasing - 0.25);
});

test("a lasting change of demand is followed", () => {
  const clock = createFakeClock();
  const trend = createDemandSmoother(clock);
  const measured = new Map([["a", 300], ["b", 100]]);
  assert.ok(Math.abs(trend.smooth("s", measured).get("a")! - 0.625) < 1e-9);
  for (let second = 0; second < 120; second++) {
    clock.advance(1_000);
    trend.smooth("s", measured);
  }
  assert.ok(trend.smooth("s", measured).get("a")! > 0.74);
});

test("no demand anywhere counts as equal demand", () => {
  const trend = createDemandSmoother(createFakeClock());
  const planned = trend.smooth("s", new Map([["a", 0], ["b", 0]]));
  assert.equal([...planned.values()], [0.5, 0.5]);
});

test.run();
