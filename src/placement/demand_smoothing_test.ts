import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createDemandSmoother, type RegionDemand } from "./demand_smoothing.ts";
import { createRegionPlan, type RegionPlan } from "./regions.ts";
import type { RegionStats } from "./shares.ts";

const SLOTS = new Map([["oslo", 48], ["bergen", 16], ["trondheim", 32]]);
/** Phase of each region's demand wave, in periods. */
const PHASES = new Map([["oslo", 0.3], ["bergen", 0.63], ["trondheim", 0.97]]);
const PERIOD_MS = 36_000;
const AMPLITUDE = 0.55;
const REGIONS = [...SLOTS.keys()];

function getDemand(nowMs: number): RegionDemand {
  return new Map([...PHASES].map(([region, phase]) => {
    const angle = 2 * Math.PI * (nowMs / PERIOD_MS + phase);
    return [region, 230 * (1 + AMPLITUDE * Math.sin(angle))];
  }));
}

type Smooth = (service: string, measured: RegionDemand) => RegionDemand;

/** Highest load per slot of a region within a period, relative to the mean. */
function simulatePeriod(createSmooth: (now: () => number) => Smooth): number {
  const clock = createFakeClock();
  const startMs = clock.monotonicMs();
  const getElapsedMs = () => clock.monotonicMs() - startMs;
  const plans = new Map<string, RegionPlan>();
  for (const ownRegion of REGIONS) {
    const smooth = createSmooth(getElapsedMs);
    const getStats = (service: string): RegionStats[] => {
      const demand = smooth(service, getDemand(getElapsedMs()));
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
        getStats,
        getRequestsPerS: () => 230,
        maxShift: 0.15,
      }),
    );
  }
  let worst = 0;
  for (let stepMs = 0; stepMs < PERIOD_MS; stepMs += 100) {
    worst = Math.max(worst, findHighestLoad(plans, getDemand(stepMs)));
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
  const utilizations = [...load].map(([region, one]) =>
    one / SLOTS.get(region)!
  );
  return Math.max(...utilizations) / mean;
}

test("waves of demand don't overload a small region", () => {
  const unsmoothed = simulatePeriod(() => (_service, measured) => measured);
  const smoothed = simulatePeriod((now) => {
    const clock = { ...createFakeClock(), monotonicMs: now };
    return createDemandSmoother(clock).smooth;
  });
  console.log(
    `highest load: unsmoothed ${unsmoothed.toFixed(2)}, ` +
      `smoothed ${smoothed.toFixed(2)} times the mean`,
  );
  assert.ok(smoothed < 1.5);
  assert.ok(smoothed < unsmoothed - 0.25);
});

test("the smoothed demand follows a lasting change", () => {
  const clock = createFakeClock();
  const smoother = createDemandSmoother(clock);
  const measured = new Map([["a", 300], ["b", 100]]);
  assert.ok(Math.abs(smoother.smooth("s", measured).get("a")! - 0.625) < 1e-9);
  for (let second = 0; second < 120; second++) {
    clock.advance(1_000);
    smoother.smooth("s", measured);
  }
  assert.ok(smoother.smooth("s", measured).get("a")! > 0.74);
});

test("without any demand all regions get equal shares", () => {
  const smoother = createDemandSmoother(createFakeClock());
  const smoothed = smoother.smooth("s", new Map([["a", 0], ["b", 0]]));
  assert.equal([...smoothed.values()], [0.5, 0.5]);
});

test.run();
