import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeRoute,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { hashToUint32 } from "../runtime/hash.ts";
import { createRandom } from "../runtime/random.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { createLatencyModel } from "../serving/latency_model.ts";
import { createCacheSizeEstimator } from "./cache_size.ts";
import { chooseServer } from "./choose.ts";
import { computeCopies, computeRoomCopies } from "./copies.ts";
import { createCopyPlan } from "./copy_plan.ts";
import { createModelServers } from "./fixture.ts";
import { createObjectCacheModel } from "./object_cache_model.ts";
import { createObjectDemand } from "./object_demand.ts";
import { createRanking } from "./ranking.ts";

const SERVERS = 12;
const SLOTS = 4;
const CACHE_SIZE = 20;
const ROUTE = makeRoute({ timeoutMs: 4_309, targetLatencyMs: 651 });
const STEP_MS = 5;
const MEASURED_FROM_MS = 20_000;
const END_MS = 60_000;

interface Result {
  inTimeShare: number;
  maxCopies: number;
  /** The selected servers, in order. */
  choices: string[];
}

/**
 * Simulates a region whose objects are requested with very different rates: a
 * cache hit takes 225 ms, a miss 751 ms, and bursts of 1.7 times last 6 of 20 s.
 *
 * @param objects Number of objects.
 * @param ratePerS Requests per second outside of bursts.
 * @param hasFixedCopies Whether each object has two copies, as before there
 *   were copies by demand.
 */
function simulate(
  objects: number,
  ratePerS: number,
  hasFixedCopies: boolean,
): Result {
  const clock = createFakeClock();
  const random = createRandom(20261203);
  const registry = makeRegistry(clock);
  for (let index = 0; index < SERVERS; index++) {
    const server = makeServer(`${index}`, { slots: SLOTS });
    registry.apply(makeServerUpdate(server, index + 1));
  }
  const servers = createModelServers(clock, random, {
    slots: SLOTS,
    cacheSize: CACHE_SIZE,
    hitMs: 225,
    missMs: 751,
  });
  const ranking = createRanking(registry);
  const cacheModel = createObjectCacheModel();
  const cacheSizeEstimator = createCacheSizeEstimator();
  const latencyModel = createLatencyModel();
  const runTimes = createRunTimes();
  const demand = createObjectDemand({ clock, registry });
  cacheModel.subscribe(demand.record);
  const plan = createCopyPlan({
    clock,
    ownRegion: "oslo",
    registry,
    cacheSizeEstimator,
    demand,
    runTimes,
  });
  const result: Result = { inTimeShare: 0, maxCopies: 2, choices: [] };
  let requestCount = 0;
  let inTime = 0;

  function send(objectKey: string): void {
    const sentAtMs = clock.monotonicMs();
    const isMeasured = sentAtMs >= MEASURED_FROM_MS;
    if (isMeasured) requestCount++;
    const copies = plan.getCopies("s", "oslo", objectKey);
    result.maxCopies = Math.max(result.maxCopies, copies);
    const choice = chooseServer(
      {
        candidates: [ranking.rank("s", "oslo", objectKey)],
        excluded: new Set(),
        copies: hasFixedCopies ? 2 : copies,
        maxUtilization: latencyModel.getMaxUtilization(ROUTE),
        maxCacheMissQueue: latencyModel.getMaxCacheMissQueue(
          ROUTE,
          ROUTE.timeoutMs,
        ),
        coldRatePerS: 0,
        hasCachedObject(id) {
          const depth = cacheModel.getDepth(id, objectKey);
          return depth !== undefined &&
            depth < cacheSizeEstimator.getCacheSize("s");
        },
        isRateLimited: () => false,
        takePermit: () => true,
      },
      { take: () => false },
      clock,
    );
    if (choice.kind !== "server") return;
    const { server: { listed, load }, utilization } = choice;
    result.choices.push(listed.id);
    const depth = cacheModel.recordRequest(listed.id, objectKey);
    load.begin();
    servers.run(listed.id, objectKey, () => {
      load.end();
      const tookMs = clock.monotonicMs() - sentAtMs;
      latencyModel.recordAnswer(ROUTE, tookMs, utilization);
      runTimes.record("s", tookMs);
      if (isMeasured && tookMs <= ROUTE.targetLatencyMs) inTime++;
      if (utilization >= 0.8) return;
      const wasCached = latencyModel.wasCached(ROUTE, tookMs);
      latencyModel.recordUnloadedAnswer(ROUTE, depth, tookMs);
      if (wasCached === undefined || depth === undefined) return;
      cacheSizeEstimator.record("s", depth, wasCached);
    });
  }

  for (let ms = 0; ms < END_MS; ms += STEP_MS) {
    const burst = ms % 20_000 < 6_000 ? 1.7 : 1;
    if (random() < burst * ratePerS * STEP_MS / 1_000) {
      send(`${Math.floor(objects * random() ** 3)}`);
    }
    clock.advance(STEP_MS);
  }
  return { ...result, inTimeShare: inTime / requestCount };
}

/** Guards against hot objects refused while the caches have room for copies. */
test("hot objects get further copies where the caches have room for eight", () => {
  const today = simulate(30, 90, true);
  const current = simulate(30, 90, false);
  console.log(
    `answered in time: two copies ${today.inTimeShare.toFixed(3)}, up to ` +
      `${current.maxCopies} copies ${current.inTimeShare.toFixed(3)}`,
  );
  assert.ok(current.maxCopies > 2);
  assert.ok(current.inTimeShare > today.inTimeShare + 0.04);
});

/** Guards against third copies that evict other objects. */
test("where memory is short each choice is the same as with two copies", () => {
  for (const objects of [110, 200, 700]) {
    const today = simulate(objects, 90, true);
    const current = simulate(objects, 90, false);
    assert.is(current.maxCopies, 2, `${objects} objects`);
    assert.equal(current.choices, today.choices);
  }
});

const CAPACITY = { cacheSize: 20, servers: 12, objects: 30 };
const HOT = { concurrency: 40, slotsPerServer: 4 };

/** Guards against copies by memory alone, or before the size is learned. */
test("copies need a learned cache size, room and demand", () => {
  assert.is(computeRoomCopies(CAPACITY), 6);
  assert.is(computeCopies(CAPACITY, HOT), 6);
  assert.is(computeCopies({ ...CAPACITY, cacheSize: undefined }, HOT), 2);
  assert.is(computeCopies({ ...CAPACITY, objects: 120 }, HOT), 2);
  assert.is(computeCopies({ ...CAPACITY, objects: Infinity }, HOT), 2);
  assert.is(computeCopies({ ...CAPACITY, servers: 5 }, HOT), 2);
  assert.is(computeCopies(CAPACITY, { ...HOT, concurrency: 8 }), 3);
  assert.is(computeCopies(CAPACITY, { ...HOT, concurrency: 1 }), 2);
});

/** A plan of a VM in oslo that hears 60 objects requested from 12 servers. */
function startPlan(cacheSize: number | undefined) {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (let index = 0; index < SERVERS; index++) {
    registry.apply(makeServerUpdate(makeServer(`${index}`), index + 1));
  }
  const cacheModel = createObjectCacheModel();
  const demand = createObjectDemand({ clock, registry });
  cacheModel.subscribe(demand.record);
  const runTimes = createRunTimes();
  runTimes.record("s", 300);
  const plan = createCopyPlan({
    clock,
    ownRegion: "oslo",
    registry,
    cacheSizeEstimator: { getLearnedCacheSize: () => cacheSize },
    demand,
    runTimes,
  });
  /** Receives from other VMs a second of 50 requests for the object 0. */
  function hearOthers() {
    const asked = Array.from({ length: 110 }, (_, index) => [
      hashToUint32(`${index % SERVERS}`),
      hashToUint32(`${Math.max(0, index - 50)}`),
    ]).flat();
    cacheModel.apply({ asked, forgotten: [] });
    clock.advance(1_000);
  }
  const getCopies = () => plan.getCopies("s", "oslo", "0");
  return { clock, registry, cacheModel, plan, hearOthers, getCopies };
}

/** Guards against copies that stay after the servers that had room are lost. */
test("a region that loses half of its servers returns to two copies", () => {
  const { clock, registry, hearOthers, getCopies } = startPlan(20);
  for (let second = 0; second < 4; second++) hearOthers();
  assert.is(getCopies(), 3);
  for (const { listed, health } of registry.listUsable("s").slice(6)) {
    assert.ok(listed.id !== "0");
    health.recordOutcome("unreachable");
    health.recordOutcome("unreachable");
  }
  clock.advance(500);
  assert.is(getCopies(), 2);
});

/** Guards against a VM that takes caches for empty as it hears no requests. */
test("a VM that was cut off or restarted uses two copies", () => {
  const { clock, cacheModel, hearOthers, getCopies } = startPlan(20);
  for (let second = 0; second < 4; second++) hearOthers();
  for (let second = 0; second < 60; second++) {
    for (let count = 0; count < 2; count++) cacheModel.recordRequest("0", "0");
    clock.advance(1_000);
    if (second >= 4) assert.is(getCopies(), 2, `${second} s`);
  }
  const restarted = startPlan(undefined);
  restarted.hearOthers();
  assert.is(restarted.getCopies(), 2);
});

test.run();
