import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createObjectCacheModel } from "../placement/object_cache_model.ts";
import { createRanking } from "../placement/ranking.ts";
import { createRegionPlan } from "../placement/regions.ts";
import { createCacheSizeEstimator } from "../placement/cache_size.ts";
import { createFakeClock } from "../runtime/clock.ts";
import type { ListedServer } from "../servers/types.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { makeProgress, makeRequest, makeUnlimitedPermits } from "./fixture.ts";
import { createLatencyModel } from "./latency_model.ts";
import { createPlacer } from "./placer.ts";

/** A placer of a VM in oslo, with one server in oslo and one in bergen. */
function startPlacer(bergenColdMs: number, permits = makeUnlimitedPermits()) {
  const clock = createFakeClock();
  const log = createSilentLog();
  const registry = makeRegistry(clock);
  registry.apply(makeServerUpdate(makeServer("oslo-1"), 1));
  const bergen = makeServer("bergen-1", {
    failureDomain: "bergen-a",
    coldLeftMs: bergenColdMs,
  });
  registry.apply(makeServerUpdate(bergen, 2));
  const plan = createRegionPlan({
    clock,
    log,
    ownRegion: "oslo",
    getStats: () => [
      { region: "oslo", slots: 4, demand: 1 },
      { region: "bergen", slots: 4, demand: 1 },
    ],
    getRequestsPerS: () => 100,
    maxShift: 0.15,
  });
  return createPlacer({
    clock,
    log,
    registry,
    ranking: createRanking(registry),
    plan,
    coldLimit: { take: () => false },
    permits,
    latencyModel: createLatencyModel(),
    cacheModel: createObjectCacheModel(),
    cacheSizeEstimator: createCacheSizeEstimator(),
    copyPlan: { getCopies: () => 2 },
    overflow: {
      find: () => ({ kind: "denied", denial: "no_region" }),
      giveBack() {},
    },
    getServiceSettings: () => undefined,
  });
}

function placeIn(bergenColdMs: number, homeRegions: string[]): string {
  const placed = startPlacer(bergenColdMs).place(
    makeProgress({
      request: makeRequest({ homeRegions }),
    }),
  );
  return placed.kind === "not_placed" ? placed.reason : placed.server.listed.id;
}

test("a request stays in its home region", () => {
  assert.is(placeIn(0, ["bergen"]), "bergen-1");
});

test("a request is refused while all servers of its home region are cold", () => {
  assert.is(placeIn(2_000, ["bergen"]), "all_full");
});

test("another home region takes over from one with cold servers", () => {
  assert.is(placeIn(2_000, ["bergen", "oslo"]), "oslo-1");
});

test("a region whose servers all back off is skipped", () => {
  const permits = {
    ...makeUnlimitedPermits(),
    isValid: ({ id }: ListedServer) => id !== "bergen-1",
  };
  const placed = startPlacer(0, permits).place(
    makeProgress({ request: makeRequest({ homeRegions: ["bergen", "oslo"] }) }),
  );
  assert.ok(placed.kind === "placed");
  assert.is(placed.server.listed.id, "oslo-1");
});

test("a request that gets no permit is refused with the time to retry", () => {
  const permits = {
    ...makeUnlimitedPermits(),
    take: () => false,
    getWaitMs: (servers: readonly ListedServer[]) => 700 * servers.length,
  };
  const placed = startPlacer(0, permits).place(
    makeProgress({ request: makeRequest({ homeRegions: ["oslo"] }) }),
  );
  const reason = "throttled";
  assert.equal(placed, { kind: "not_placed", reason, retryAfterMs: 700 });
});

test.run();
