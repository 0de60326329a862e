import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createRegionPlan } from "./regions.ts";
import {
  computeMovedShare,
  computeShares,
  rankRegions,
  type RegionStats,
  stepShares,
} from "./shares.ts";

const NORDVERN: RegionStats[] = [
  { region: "oslo", slots: 48, demand: 86 },
  { region: "bergen", slots: 16, demand: 86 },
  { region: "trondheim", slots: 32, demand: 86 },
];

function findShare(
  shares: { region: string; share: number }[],
  region: string,
) {
  return shares.find((share) => share.region === region)?.share ?? 0;
}

test("a region with spare slots keeps its objects", () => {
  const shares = computeShares("oslo", NORDVERN);
  assert.is(findShare(shares, "oslo"), 1);
});

test("a region short of slots sends a share to regions with spare slots", () => {
  const shares = computeShares("bergen", NORDVERN);
  assert.ok(Math.abs(findShare(shares, "bergen") - 0.5) < 0.01);
  assert.ok(findShare(shares, "oslo") > 0.35);
  const total = shares.reduce((sum, { share }) => sum + share, 0);
  assert.ok(Math.abs(total - 1) < 1e-9);
});

test("a region without servers sends all requests away", () => {
  const stats = NORDVERN.map((region) =>
    region.region === "bergen" ? { ...region, slots: 0 } : region
  );
  const shares = computeShares("bergen", stats);
  assert.is(findShare(shares, "bergen"), 0);
});

test("a region that may not serve gets no entry, not even one of 0", () => {
  const allowed = NORDVERN.filter(({ region }) => region !== "oslo");
  for (const slots of [16, 0]) {
    const stats = allowed.map((region) =>
      region.region === "bergen" ? { ...region, slots } : region
    );
    const regions = computeShares("oslo", stats).map(({ region }) => region);
    assert.equal(regions.sort(), ["bergen", "trondheim"]);
  }
});

test("no slots anywhere gives no shares", () => {
  const stats = NORDVERN.map((region) => ({ ...region, slots: 0 }));
  assert.equal(computeShares("bergen", stats), []);
});

const OBJECTS = Array.from({ length: 10_000 }, (_, index) => `object ${index}`);

function rankObjects(oslo: number, bergen: number, trondheim: number) {
  const shares = [
    { region: "oslo", share: oslo },
    { region: "bergen", share: bergen },
    { region: "trondheim", share: trondheim },
  ];
  return OBJECTS.map((object) => rankRegions(shares, object));
}

test("objects are assigned to regions in proportion to the shares", () => {
  const first = rankObjects(0.5, 0.3, 0.2).map(([region]) => region);
  const countOf = (name: string) =>
    first.filter((region) => region === name).length / OBJECTS.length;
  assert.ok(Math.abs(countOf("oslo") - 0.5) < 0.02);
  assert.ok(Math.abs(countOf("bergen") - 0.3) < 0.02);
});

test("a region without a share ranks behind all that have one", () => {
  for (const regions of rankObjects(0, 0.5, 0.5)) {
    assert.is(regions[2], "oslo");
  }
});

test("raising one share moves objects only to that region", () => {
  const before = rankObjects(0.5, 0.3, 0.2);
  const after = rankObjects(0.6, 0.24, 0.16);
  const moved = OBJECTS.map((_, index) => index)
    .filter((index) => before[index][0] !== after[index][0]);
  assert.ok(moved.length > 0.08 * OBJECTS.length);
  assert.ok(moved.length < 0.12 * OBJECTS.length);
  assert.ok(moved.every((index) => after[index][0] === "oslo"));
});

test("a step moves no more than its maximum", () => {
  const current = [{ region: "a", share: 1 }];
  const target = [{ region: "b", share: 1 }];
  const next = stepShares(current, target, 0.1);
  assert.ok(Math.abs(computeMovedShare(current, next) - 0.1) < 1e-9);
});

function startPlan(clock: FakeClock, getFigures: () => RegionStats[]) {
  return createRegionPlan({
    clock,
    log: createSilentLog(),
    ownRegion: "oslo",
    getStats: getFigures,
    getRequestsPerS: () => 100,
    maxShift: 0.15,
  });
}

test("a region that lost its servers has no share half a second later", () => {
  const clock = createFakeClock();
  let stats = NORDVERN;
  const plan = startPlan(clock, () => stats);
  plan.getShares("s", []);
  stats = NORDVERN.map((region) =>
    region.region === "oslo" ? { ...region, slots: 0 } : region
  );
  clock.advance(500);
  const shares = plan.getShares("s", []);
  assert.is(findShare(shares, "oslo"), 0);
  assert.ok(findShare(shares, "trondheim") > findShare(shares, "bergen"));
});

test("after a loss in another region only the lost servers' requests move back", () => {
  const clock = createFakeClock();
  const bergen = { region: "bergen", slots: 16, demand: 60 };
  let oslo = { region: "oslo", slots: 48, demand: 60 };
  const plan = createRegionPlan({
    clock,
    log: createSilentLog(),
    ownRegion: "bergen",
    getStats: () => [bergen, oslo],
    getRequestsPerS: () => 100,
    maxShift: 0.15,
  });
  const before = findShare(plan.getShares("s", []), "oslo");
  oslo = { ...oslo, slots: 12 };
  clock.advance(250);
  const after = findShare(plan.getShares("s", []), "oslo");
  assert.ok(before - after > 0.01, `${before} -> ${after}`);
  assert.ok(before - after <= before * 0.75 + 1e-9, `${before} -> ${after}`);
});

test("servers that expire one by one are counted as one loss", () => {
  const clock = createFakeClock();
  let slots = 48;
  const plan = startPlan(
    clock,
    () =>
      NORDVERN.map((region) =>
        region.region === "oslo" ? { ...region, slots } : region
      ),
  );
  plan.getShares("s", []);
  for (slots = 40; slots > 0; slots -= 8) {
    clock.advance(250);
    plan.getShares("s", []);
  }
  clock.advance(250);
  assert.ok(findShare(plan.getShares("s", []), "oslo") < 1e-9);
});

test("shares move faster when many requests reduce the sampling noise", () => {
  const moved = [50, 400].map((requestsPerS) => {
    const clock = createFakeClock();
    let demand = 86;
    const plan = createRegionPlan({
      clock,
      log: createSilentLog(),
      ownRegion: "oslo",
      getStats: () =>
        NORDVERN.map((region) =>
          region.region === "oslo" ? { ...region, demand } : region
        ),
      getRequestsPerS: () => requestsPerS,
      maxShift: 0.15,
    });
    plan.getShares("s", []);
    demand = 800;
    clock.advance(250);
    return 1 - findShare(plan.getShares("s", []), "oslo");
  });
  assert.ok(Math.abs(moved[0] - 0.045 / 8) < 1e-9);
  assert.ok(Math.abs(moved[1] - 0.0875 / 8) < 1e-3, `${moved[1]}`);
});

test("shares follow a shift of demand within the maximum shift in any 2 s", () => {
  const clock = createFakeClock();
  let stats = NORDVERN;
  const maxShift = 0.15;
  const plan = startPlan(clock, () => stats);
  const history = [plan.getShares("s", [])];
  stats = NORDVERN.map((region) =>
    region.region === "oslo" ? { ...region, demand: 500 } : region
  );
  for (let stepMs = 0; stepMs < 20_000; stepMs += 50) {
    clock.advance(50);
    history.push(plan.getShares("s", []));
    const before = history[Math.max(0, history.length - 41)];
    assert.ok(computeMovedShare(before, history.at(-1)!) < maxShift / 2);
  }
  const target = findShare(computeShares("oslo", stats), "oslo");
  assert.ok(Math.abs(findShare(history.at(-1)!, "oslo") - target) < 0.04);
  assert.ok(target < 0.95);
});

test.run();
