import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import { createSilentLog } from "../telemetry/log.ts";
import {
  chooseOverflowTarget,
  computeOverflowShare,
  createOverflowBudget,
  type OverflowRegion,
} from "./overflow.ts";
import { createRegionPlan } from "./regions.ts";
import { computeShiftBudget, getShare, type RegionStats } from "./shares.ts";

const MAX_SHIFT = 0.15;
const SERVICE = "s";

function makeRegion(
  region: string,
  changes: Partial<OverflowRegion> = {},
): OverflowRegion {
  return {
    region,
    freeSlots: 10,
    cachedServers: 0,
    hasRoom: true,
    hitMs: 200,
    missMs: 600,
    ...changes,
  };
}

/** Guards against objects that scatter over servers without them. */
test("a server with the object cached goes before free slots, and both need time", () => {
  const regions = [
    makeRegion("bergen", { freeSlots: 4, cachedServers: 1 }),
    makeRegion("tromso", { freeSlots: 8, cachedServers: 1 }),
    makeRegion("trondheim", { freeSlots: 40 }),
  ];
  const choose = (remainingMs: number, candidates = regions) =>
    chooseOverflowTarget(candidates, remainingMs);
  assert.equal(choose(300), { region: "tromso", needsCached: true });
  const uncached = regions.map((region) => ({ ...region, cachedServers: 0 }));
  assert.equal(choose(700, uncached), {
    region: "trondheim",
    needsCached: false,
  });
  assert.is(choose(660, uncached), undefined);
  assert.is(choose(260), undefined);
  const short = uncached.map((region) => ({ ...region, hasRoom: false }));
  assert.is(choose(700, short), undefined);
  const full = regions.map((region) => ({ ...region, freeSlots: 0.5 }));
  assert.is(choose(700, full), undefined);
});

/** Guards against a share that leaves no room for the end of a burst. */
test("half more than the allowed share fits next to what the plan moved", () => {
  for (const movedShare of [0, 0.02, 0.04, 0.06, 0.08, 0.3]) {
    const share = computeOverflowShare(0.08, movedShare);
    assert.ok(share >= 0 && share <= 0.032 + 1e-9);
    assert.ok(1.5 * share <= Math.max(0, 0.08 - movedShare) + 1e-9);
  }
});

/** A VM with a plan and a budget that the plan restricts, as in a gateway. */
function startVm(
  clock: FakeClock,
  seed: number,
  requestsPerS: number,
  getStats: () => RegionStats[],
) {
  const plan = createRegionPlan({
    clock,
    log: createSilentLog(),
    ownRegion: "oslo",
    getStats,
    getRequestsPerS: () => requestsPerS,
    maxShift: MAX_SHIFT,
  });
  const budget = createOverflowBudget({
    clock,
    random: createRandom(seed),
    getShiftBudget: () => computeShiftBudget(MAX_SHIFT, requestsPerS),
    getMovedShare: plan.getMovedShare,
  });
  return { plan, budget };
}

const EVEN: RegionStats[] = [
  { region: "oslo", slots: 16, demand: 40 },
  { region: "bergen", slots: 96, demand: 40 },
];
const VMS = 65;
const STEP_MS = 100;

/**
 * Lets all VMs divert each request that they may.
 *
 * @param ratePerS Requests per second of all VMs at a time.
 * @param requestsPerS Requests per second of the region that each VM knows of.
 * @returns Requests and overflowed ones of all VMs by 100 ms.
 */
function divertAll(
  ratePerS: (ms: number) => number,
  requestsPerS: number,
  restartsPerS: number,
) {
  const clock = createFakeClock();
  const random = createRandom(7);
  const start = () =>
    startVm(clock, Math.floor(1e6 * random()), requestsPerS, () => EVEN);
  const vms = Array.from({ length: VMS }, start);
  const steps: { requests: number; diverted: number }[] = [];
  for (let ms = 0; ms < 40_000; ms += STEP_MS) {
    const step = { requests: 0, diverted: 0 };
    vms.forEach((vm, index) => {
      if (random() < restartsPerS * STEP_MS / 1_000) vms[index] = start();
      const mean = ratePerS(ms) * STEP_MS / 1_000 / VMS;
      const count = Math.floor(mean + random());
      for (let request = 0; request < count; request++) {
        step.requests++;
        vm.budget.recordRequest(SERVICE);
        if (vm.budget.take(SERVICE)) step.diverted++;
      }
    });
    steps.push(step);
    clock.advance(STEP_MS);
  }
  return steps;
}

/** @returns Largest share that overflows in any window of 2 s. */
function findLargestShare(
  steps: readonly { requests: number; diverted: number }[],
): number {
  const shares = steps.slice(0, -19).map((_, first) => {
    const window = steps.slice(first, first + 20);
    const sum = (key: "requests" | "diverted") =>
      window.reduce((total, step) => total + step[key], 0);
    return sum("diverted") / Math.max(1, sum("requests"));
  });
  return Math.max(...shares);
}

/** Guards against a cap that needs messages, or the memory of earlier diversions. */
test("the sum over VMs that hear nothing stays within the cap, also when they restart", () => {
  for (const restartsPerS of [0, 0.05]) {
    for (const requestsPerS of [300 / VMS, 300]) {
      const allowed = computeOverflowShare(
        computeShiftBudget(MAX_SHIFT, requestsPerS),
        0,
      );
      const burst = (ms: number) => ms % 10_000 < 4_000 ? 510 : 300;
      const share = findLargestShare(
        divertAll(burst, requestsPerS, restartsPerS),
      );
      // Requests that fall by 1.7 times at the end of bursts add half.
      assert.ok(share <= 1.5 * allowed + 0.01, `${share} of ${allowed}`);
      assert.ok(share <= MAX_SHIFT / 2, `${share}`);
      assert.ok(share > 0.3 * allowed, `${share} of ${allowed}`);
    }
  }
});

/** Guards against a restart that doubles the diverted share of a window. */
test("a VM that starts has no allowance for two windows", () => {
  const clock = createFakeClock();
  const { budget } = startVm(clock, 1, 300, () => EVEN);
  let firstMs: number | undefined;
  for (let ms = 0; ms < 6_000 && firstMs === undefined; ms += 10) {
    budget.recordRequest(SERVICE);
    if (budget.take(SERVICE)) firstMs = ms;
    clock.advance(10);
  }
  assert.is(firstMs, 4_000);
});

/** Guards against overflow on top of the shift that a loss causes. */
test("when a region is lost, overflow waits until the shift has passed", () => {
  const clock = createFakeClock();
  let stats = EVEN;
  const { plan, budget } = startVm(clock, 1, 300, () => stats);
  let diverted = 0;
  function runFor(durationMs: number) {
    diverted = 0;
    for (let ms = 0; ms < durationMs; ms += 10) {
      plan.getShares(SERVICE, []);
      budget.recordRequest(SERVICE);
      if (budget.take(SERVICE)) diverted++;
      clock.advance(10);
    }
  }
  runFor(10_000);
  assert.ok(diverted > 0);
  const before = getShare(plan.getShares(SERVICE, []), "oslo");
  stats = EVEN.map((region) =>
    region.region === "oslo" ? { ...region, slots: 0 } : region
  );
  clock.advance(250);
  const after = getShare(plan.getShares(SERVICE, []), "oslo");
  assert.ok(before - after > MAX_SHIFT && after < 1e-9);
  runFor(3_900);
  assert.is(diverted, 0);
  runFor(2_000);
  assert.ok(diverted > 0);
});

/** Guards against overflow on top of shares that move at full speed. */
test("overflow and shifts of the plan together stay within the budget", () => {
  const clock = createFakeClock();
  let stats = EVEN;
  const { plan, budget } = startVm(clock, 1, 300, () => stats);
  const allowed = computeShiftBudget(MAX_SHIFT, 300);
  /**
   * Share that runs elsewhere, by 10 ms: by plan and by overflow, which begins
   * and ends in every other window.
   */
  const away: number[] = [];
  for (let ms = 0; ms < 40_000; ms += 10) {
    if (ms === 15_000) {
      stats = EVEN.map((region) =>
        region.region === "oslo" ? { ...region, demand: 400 } : region
      );
    }
    const planned = 1 - getShare(plan.getShares(SERVICE, []), "oslo");
    budget.recordRequest(SERVICE);
    const isFull = ms % 4_000 < 2_000;
    away.push(isFull && budget.take(SERVICE) ? 1 : planned);
    clock.advance(10);
  }
  const mean = (first: number) =>
    away.slice(first, first + 200).reduce((sum, value) => sum + value, 0) / 200;
  let largest = 0;
  for (let first = 0; first + 400 <= away.length; first += 10) {
    largest = Math.max(largest, Math.abs(mean(first + 200) - mean(first)));
  }
  // Rounding adds up to one request of the 200 in a window.
  assert.ok(largest <= allowed + 1 / 200, `${largest} of ${allowed}`);
  assert.ok(mean(away.length - 200) > mean(0) + 0.1);
});

/**
 * Load: 112 VMs, of which each reports the demand of its clients; under
 * shortage waiting requests ask for an overflow some 1,000 times a second.
 * Guards against a walk over all reports for each of them.
 */
test("the shift budget is read at most once in an interval", () => {
  const clock = createFakeClock();
  let reads = 0;
  let shiftBudget = 0;
  const budget = createOverflowBudget({
    clock,
    random: () => 0,
    getShiftBudget() {
      reads++;
      return shiftBudget;
    },
    getMovedShare: () => 0,
  });
  clock.advance(5_000);
  for (let count = 0; count < 100; count++) {
    budget.recordRequest(SERVICE);
    budget.take(SERVICE);
  }
  assert.is(reads, 1);
  shiftBudget = 0.08;
  clock.advance(100);
  assert.ok(budget.take(SERVICE));
  assert.is(reads, 2);
});

test.run();
