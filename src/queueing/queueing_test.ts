import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeConfiguration, makeRoute } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import {
  type CompetingDemand,
  computeMaxUtilization,
  computeSlotsLeftFree,
  lowerMaxUtilization,
} from "./thresholds.ts";
import {
  createUrgentDemand,
  getPriority,
  listCompetingPriorities,
} from "./urgency.ts";

const ACCOUNT = { name: "a", keyDigests: [], homeRegions: [], burst: 1 };

// Guards against a change for services where nothing competes.
test("without more urgent demand the limit is that of the latency model", () => {
  for (const slots of [1, 3, 9]) {
    assert.is(computeMaxUtilization(2.5, slots, undefined), 2.5);
  }
});

// Guards against refusals that are explained by slots left free where none is.
test("slots are left free only for requests that can't wait for a run", () => {
  assert.is(computeSlotsLeftFree(makeDemand(1)), 1);
  assert.is(computeSlotsLeftFree(makeDemand(2)), 1.5);
  assert.is(computeSlotsLeftFree(makeDemand(2, 644)), 0);
});

/** Demand of a number of more urgent priorities that can't wait for a run. */
function makeDemand(moreUrgent: number, spareMs = 24): CompetingDemand {
  const priorities = Array.from({ length: moreUrgent }, (_, index) => index);
  return { moreUrgent: priorities, spareMs, runMs: 644 };
}

// Load: accounts of three priorities on one route with hits of 156 ms and a
// target of 431 ms. Guards against refusals while reserved slots are empty.
test("no slot is reserved for requests that can wait for one", () => {
  const demand = { moreUrgent: [0, 1], spareMs: 275, runMs: 156 };
  assert.is(computeMaxUtilization(2.7, 3, demand), 2.7);
  assert.is(computeMaxUtilization(3.2, 3, { ...demand, spareMs: 156 }), 2);
});

// Guards against a rule that starves a priority or serves it before a more
// urgent one.
test("limits fall with each more urgent priority, and idle servers accept all", () => {
  for (const slots of [1, 2, 3, 5, 9]) {
    let previous = 3.2;
    for (let moreUrgent = 1; moreUrgent < 8; moreUrgent++) {
      const limit = computeMaxUtilization(
        3.2,
        slots,
        makeDemand(moreUrgent),
      );
      assert.ok(limit <= previous && limit >= 1 / slots, `${slots}: ${limit}`);
      previous = limit;
    }
  }
  assert.is(computeMaxUtilization(3.2, 3, makeDemand(1)), 2 / 3);
  assert.is(computeMaxUtilization(3.2, 3, makeDemand(2)), 0.5);
  assert.is(computeMaxUtilization(0.5, 3, makeDemand(1)), 0.5);
});

// Guards against accounts over their share that get as many slots as others,
// and against slots that nobody uses.
test("an account over its share has a slot less at each server, and at least one", () => {
  assert.is(lowerMaxUtilization(1, 4), 0.75);
  assert.is(lowerMaxUtilization(2.5, 2), 2);
  assert.is(lowerMaxUtilization(0.5, 4), 0.25);
  assert.is(lowerMaxUtilization(0.25, 4), 0.25);
  assert.is(lowerMaxUtilization(1, 1), 1);
});

test("an account's priority overrides that of the route", () => {
  const route = makeRoute({ priority: 2 });
  assert.is(getPriority(route, undefined), 2);
  assert.is(getPriority(route, ACCOUNT), 2);
  assert.is(getPriority(route, { ...ACCOUNT, priority: 0 }), 0);
});

// Guards against slots that are left free among accounts of one route: where
// accounts had priorities, 8 in 100 requests were refused in place of 4.
test("the priorities of routes compete within a service, those of accounts don't", () => {
  const configuration = makeConfiguration([
    makeRoute({ priority: 3 }),
    makeRoute({ priority: 1, shares: [{ service: "t", weight: 1 }] }),
    makeRoute({ priority: 0, shares: [{ service: "t", weight: 1 }] }),
  ]);
  const accounts = [{ ...ACCOUNT, priority: 3 }, { ...ACCOUNT, priority: 0 }];
  for (const changed of [configuration, { ...configuration, accounts }]) {
    assert.equal(listCompetingPriorities(changed, "s"), [3]);
    assert.equal(listCompetingPriorities(changed, "t"), [0, 1]);
  }
});

// Guards against slots that stay reserved after urgent demand has ended.
test("urgent demand counts for five seconds, for its own service", () => {
  const clock = createFakeClock();
  const demand = createUrgentDemand(clock);
  demand.record("s", 1, 40);
  clock.advance(4_999);
  assert.is(demand.getLeastSpareMs("s", 2), 40);
  assert.is(demand.getLeastSpareMs("s", 1), undefined);
  assert.is(demand.getLeastSpareMs("t", 2), undefined);
  assert.is(demand.list().length, 1);
  clock.advance(1);
  assert.is(demand.getLeastSpareMs("s", 2), undefined);
  assert.equal(demand.list(), []);
});

// Load: caches are short, so that runs take longer than the target. Guards
// against refusals for requests that are late anyway.
test("requests that would be late in a free slot keep none free", () => {
  const demand = createUrgentDemand(createFakeClock());
  demand.record("s", 0, -20);
  assert.is(demand.getLeastSpareMs("s", 2), undefined);
  demand.record("s", 1, 24);
  assert.is(demand.getLeastSpareMs("s", 2), 24);
});

test.run();
