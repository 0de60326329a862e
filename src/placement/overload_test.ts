import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeRoute,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom, drawExponential } from "../runtime/random.ts";
import type { KnownServer } from "../servers/registry.ts";
import { createLatencyModel } from "../serving/latency_model.ts";
import { chooseServer } from "./choose.ts";
import { createObjectCacheModel } from "./object_cache_model.ts";
import { createRanking } from "./ranking.ts";
import { createCacheSizeEstimator } from "./cache_size.ts";

const SERVERS = 12;
const SLOTS = 9;
const CACHE_SIZE = 17;
const OBJECTS = 700;
const HIT_MS = 650;
const MISS_MS = 2_450;
const ROUTE = makeRoute({ timeoutMs: 3_000, targetLatencyMs: 1_500 });
const STEP_MS = 10;
const DURATION_MS = 40_000;

interface Run {
  objectKey: string;
  arrivedAtMs: number;
  sentAtMs: number;
  utilizationAtStart: number;
  depth: number | undefined;
  endsAtMs: number;
}

interface TestServer {
  registered: KnownServer;
  cachedKeys: string[];
  running: Run[];
  queue: Run[];
}

/**
 * Simulates a service with far more objects than its servers cache, of which a
 * third receive about two thirds of the requests. Servers run nine requests and
 * queue the rest; a request that is not answered after 3 s times out.
 *
 * @param ratePerS Requests per second.
 * @param limitsCacheMisses Whether the queue for cache misses is limited.
 * @returns Answers per second within the target of 1.5 s.
 */
function simulate(ratePerS: number, limitsCacheMisses: boolean): number {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (let index = 0; index < SERVERS; index++) {
    const server = makeServer(`${index}`, { slots: SLOTS });
    registry.apply(makeServerUpdate(server, index + 1));
  }
  const ranking = createRanking(registry);
  const cacheModel = createObjectCacheModel();
  const cacheSizes = createCacheSizeEstimator();
  const pace = createLatencyModel();
  const random = createRandom(20261203);
  const servers = new Map<string, TestServer>();
  for (const registered of registry.listUsable("s")) {
    servers.set(registered.listed.id, {
      registered,
      cachedKeys: [],
      running: [],
      queue: [],
    });
  }
  let inTime = 0;

  function start(server: TestServer, run: Run): void {
    const isHit = server.cachedKeys.includes(run.objectKey);
    server.cachedKeys = [
      ...server.cachedKeys.filter((key) => key !== run.objectKey),
      run.objectKey,
    ].slice(-CACHE_SIZE);
    const meanMs = isHit ? HIT_MS : MISS_MS;
    run.endsAtMs = clock.monotonicMs() + meanMs * (0.85 + 0.3 * random());
    server.running.push(run);
  }

  function finish(server: TestServer, run: Run): void {
    server.registered.load.end();
    const nowMs = clock.monotonicMs();
    if (nowMs - run.arrivedAtMs >= ROUTE.timeoutMs) return;
    const tookMs = nowMs - run.sentAtMs;
    if (nowMs - run.arrivedAtMs <= ROUTE.targetLatencyMs) inTime++;
    pace.recordAnswer(ROUTE, tookMs, run.utilizationAtStart);
    if (run.utilizationAtStart >= 0.8) return;
    const wasCached = pace.wasCached(ROUTE, tookMs);
    pace.recordUnloadedAnswer(ROUTE, run.depth, tookMs);
    if (run.depth === undefined || wasCached === undefined) return;
    cacheSizes.record("s", run.depth, wasCached);
  }

  function advance(server: TestServer): void {
    const nowMs = clock.monotonicMs();
    const isOver = (run: Run) =>
      run.endsAtMs <= nowMs || nowMs - run.arrivedAtMs >= ROUTE.timeoutMs;
    for (const run of [...server.running, ...server.queue]) {
      if (isOver(run)) finish(server, run);
    }
    server.running = server.running.filter((run) => !isOver(run));
    server.queue = server.queue.filter((run) => !isOver(run));
    while (server.running.length < SLOTS && server.queue.length > 0) {
      start(server, server.queue.shift()!);
    }
  }

  function hasCachedObject(serverId: string, objectKey: string): boolean {
    const depth = cacheModel.getDepth(serverId, objectKey);
    return depth !== undefined && depth < cacheSizes.getCacheSize("s");
  }

  function send(objectKey: string): void {
    const choice = chooseServer(
      {
        candidates: [ranking.rank("s", "oslo", objectKey)],
        excluded: new Set(),
        copies: 2,
        maxUtilization: pace.getMaxUtilization(ROUTE),
        maxCacheMissQueue: limitsCacheMisses
          ? pace.getMaxCacheMissQueue(ROUTE, ROUTE.timeoutMs)
          : Infinity,
        coldRatePerS: 0,
        hasCachedObject: (id) => hasCachedObject(id, objectKey),
        isRateLimited: () => false,
        takePermit: () => true,
      },
      { take: () => false },
      clock,
    );
    if (choice.kind !== "server") return;
    const { id } = choice.server.listed;
    const nowMs = clock.monotonicMs();
    const depth = cacheModel.recordRequest(id, objectKey);
    choice.server.load.begin();
    servers.get(id)!.queue.push({
      objectKey,
      arrivedAtMs: nowMs,
      sentAtMs: nowMs,
      utilizationAtStart: choice.utilization,
      depth,
      endsAtMs: Infinity,
    });
  }

  let nextAtMs = 0;
  while (clock.monotonicMs() < DURATION_MS) {
    for (const server of servers.values()) advance(server);
    while (nextAtMs <= clock.monotonicMs()) {
      nextAtMs += drawExponential(random, 1_000 / ratePerS);
      send(`${Math.floor(OBJECTS * random() ** 2)}`);
    }
    clock.advance(STEP_MS);
  }
  return inTime / (DURATION_MS / 1_000);
}

/** The service has 108 slots and a capacity of about 50 requests per second. */
const RATES_PER_S = [25, 50, 75, 100, 150];

test("throughput stays high when the load is above the capacity", () => {
  const limited = RATES_PER_S.map((ratePerS) => simulate(ratePerS, true));
  const unlimited = RATES_PER_S.map((ratePerS) => simulate(ratePerS, false));
  const format = (values: number[]) =>
    values.map((value) => value.toFixed(1)).join(" ");
  console.log(
    `answered in time at ${RATES_PER_S.join(" ")} requests/s: ` +
      `cache misses limited ${format(limited)}, not ${format(unlimited)}`,
  );
  const best = Math.max(...limited);
  const peakIndex = limited.findIndex((value) => value >= 0.9 * best);
  for (const value of limited.slice(peakIndex)) assert.ok(value >= 0.8 * best);
  const last = RATES_PER_S.length - 1;
  assert.ok(limited[last] > 2 * unlimited[last]);
});

test.run();
