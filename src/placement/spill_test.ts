import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeRoute,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createServerLimits } from "../gateway/server_limits.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { createLatencyModel } from "../serving/latency_model.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { chooseServer } from "./choose.ts";
import { createObjectCacheModel } from "./object_cache_model.ts";
import { createRanking } from "./ranking.ts";
import { createCacheSizeEstimator } from "./cache_size.ts";

const SERVERS = 4;
const SLOTS = 3;
const OBJECTS = 120;
/** Objects that a server caches. */
const CACHE_SIZE = 28;
const RATE_PER_S = 49;
const LIMIT_PER_S = 3.5;
const HIT_MS = 62;
const MISS_MS = 230;
const ROUTE = makeRoute({ timeoutMs: 1_200, targetLatencyMs: 200 });
const STEP_MS = 5;
const LIMITED_AT_MS = 15_000;
const END_MS = 35_000;

interface ModelServer {
  cachedKeys: string[];
  running: number;
  queue: (() => void)[];
}

/**
 * Simulates a region whose servers cache fewer objects than are requested, and
 * some of which start to advertise a rate limit.
 *
 * @param limited Number of servers with a limit.
 * @returns Share of the requests that are answered within the target latency.
 */
function simulate(limited: number): number {
  const clock = createFakeClock();
  const random = createRandom(5);
  const registry = makeRegistry(clock);
  const servers = Array.from({ length: SERVERS }, (): ModelServer => ({
    cachedKeys: [],
    running: 0,
    queue: [],
  }));
  servers.forEach((_, index) => {
    const server = makeServer(`${index}`, { slots: SLOTS });
    registry.apply(makeServerUpdate(server, index + 1));
  });
  const ranking = createRanking(registry);
  const cacheModel = createObjectCacheModel();
  const cacheSizes = createCacheSizeEstimator();
  const pace = createLatencyModel();
  const runTimes = createRunTimes();
  const { permits, rateLimits } = createServerLimits({
    clock,
    log: createSilentLog(),
    random,
    ownId: "vm-1",
    countKnownVms: () => 1,
    runTimes,
  });
  let requestCount = 0;
  let inTime = 0;

  function run(server: ModelServer, objectKey: string, end: () => void): void {
    if (server.running >= SLOTS) {
      return void server.queue.push(() => run(server, objectKey, end));
    }
    server.running++;
    const isHit = server.cachedKeys.includes(objectKey);
    const others = server.cachedKeys.filter((key) => key !== objectKey);
    server.cachedKeys = [...others, objectKey].slice(-CACHE_SIZE);
    const runMs = (isHit ? HIT_MS : MISS_MS) * (0.85 + 0.3 * random());
    clock.after(runMs, () => {
      server.running--;
      end();
      server.queue.shift()?.();
    });
  }

  function send(objectKey: string): void {
    const sentAtMs = clock.monotonicMs();
    const objectName = `s ${objectKey}`;
    const choice = chooseServer(
      {
        candidates: [ranking.rank("s", "oslo", objectKey)],
        excluded: new Set(),
        copies: 2,
        maxUtilization: pace.getMaxUtilization(ROUTE),
        maxCacheMissQueue: pace.getMaxCacheMissQueue(ROUTE, ROUTE.timeoutMs),
        coldRatePerS: 0,
        hasCachedObject(id) {
          const depth = cacheModel.getDepth(id, objectName);
          return depth !== undefined && depth < cacheSizes.getCacheSize("s");
        },
        isRateLimited: ({ listed }) => permits.isRateLimited(listed),
        takePermit: ({ listed }) => permits.take(listed),
      },
      { take: () => false },
      clock,
    );
    if (choice.kind !== "server") return;
    const { server: { listed, load }, utilization } = choice;
    const index = Number(listed.id);
    const depth = cacheModel.recordRequest(listed.id, objectName);
    load.begin();
    run(servers[index], objectKey, () => {
      load.end();
      const nowMs = clock.monotonicMs();
      const tookMs = nowMs - sentAtMs;
      pace.recordAnswer(ROUTE, tookMs, utilization);
      runTimes.record("s", tookMs);
      if (utilization < 0.8) {
        const wasCached = pace.wasCached(ROUTE, tookMs);
        pace.recordUnloadedAnswer(ROUTE, depth, tookMs);
        if (wasCached !== undefined && depth !== undefined) {
          cacheSizes.record("s", depth, wasCached);
        }
      }
      if (index < limited && nowMs >= LIMITED_AT_MS) {
        rateLimits.record(listed.id, LIMIT_PER_S);
      }
      if (sentAtMs < LIMITED_AT_MS) return;
      if (tookMs <= ROUTE.targetLatencyMs) inTime++;
    });
  }

  for (let ms = 0; ms < END_MS; ms += STEP_MS) {
    if (random() < RATE_PER_S * STEP_MS / 1_000) {
      if (ms >= LIMITED_AT_MS) requestCount++;
      send(`${Math.floor(random() ** 1.6 * OBJECTS)}`);
    }
    clock.advance(STEP_MS);
  }
  return inTime / requestCount;
}

test("requests that rate-limited servers can't take don't evict other servers' objects", () => {
  assert.ok(simulate(0) > 0.85, "no limit");
  assert.ok(simulate(1) > 0.65, "one of four limited");
  assert.ok(simulate(2) > 0.4, "two of four limited");
});

test.run();
