/**
 * Measures the time to decide on a plan.
 *
 * @module
 */
import type { ServiceDocument } from "../../src/config/schema.ts";
import { createRandom } from "../../src/runtime/random.ts";
import { decidePlan } from "../../src/steering/decide.ts";
import type { AssignInput, Plan } from "../../src/steering/types.ts";
import type { Row } from "../report.ts";
import { makeRow, measureTimeUs } from "./points.ts";

function makePlanInput(domains: number): AssignInput {
  const random = createRandom(5);
  const regions = Math.ceil(domains / 3);
  const places = Array.from({ length: domains }, (_, index) => ({
    failureDomain: `domain-${index}`,
    region: `region-${index % regions}`,
    slots: 10 + Math.floor(20 * random()),
  }));
  const total = places.reduce((sum, { slots }) => sum + slots, 0);
  const at = Array.from({ length: regions }, () => [random(), random()]);
  return {
    domainCapacities: places,
    demand: Array.from({ length: regions }, (_, index) => ({
      region: `region-${index}`,
      slots: total * 0.8 / regions * (0.3 + 1.4 * random()),
    })),
    delayMs(from, to) {
      const [a, b] = [from, to].map((name) => at[Number(name.split("-")[1])]);
      return from === to ? 1 : 5 + 60 * Math.hypot(a[0] - b[0], a[1] - b[1]);
    },
    linkSlots: () => Infinity,
  };
}

/** @returns Results for the planner. */
export function measurePlanner(): Row[] {
  const document = {
    service: "s",
    shiftCap: { maxShare: 0.1, windowS: 10 },
  } as ServiceDocument;
  const measureDecideUs = (domains: number, current: "kept" | "changed") => {
    const input = makePlanInput(domains);
    const regionOf = new Map(
      input.domainCapacities.map((
        { failureDomain, region },
      ) => [failureDomain, region]),
    );
    const demandShare = Object.fromEntries(
      input.demand.map(({ region }) => [region, 1 / input.demand.length]),
    );
    const decide = (plan: Plan | undefined, wallMs: number) =>
      decidePlan({
        document,
        current: plan,
        defaultWeights: {},
        estimate: { input, demandShare },
        regionOf,
        blockCount: 330_000,
        epoch: 1,
        wallMs,
      });
    let plan = decide(undefined, 0)!;
    for (let step = 1; current === "kept" && step < 100; step++) {
      plan = decide(plan, step * 60_000) ?? plan;
    }
    return measureTimeUs(20, () => {
      decide(plan, 1e9);
    });
  };
  const sizes = [12, 30, 60, 87];
  return [
    makeRow(
      "deciding on a plan that is kept",
      "us a service, against failure domains",
      sizes.map((size) => ({ size, value: measureDecideUs(size, "kept") })),
    ),
    makeRow(
      "deciding on a plan that changes",
      "us a service, against failure domains",
      sizes.map((size) => ({ size, value: measureDecideUs(size, "changed") })),
    ),
  ];
}
