import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createRandom, drawExponential } from "../runtime/random.ts";
import type { ColdLimit } from "../servers/cold_limit.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import { type Choice, chooseServer, type PlacementRequest } from "./choose.ts";
import { createObjectCacheModel } from "./object_cache_model.ts";
import { createCacheSizeEstimator } from "./cache_size.ts";
import { createRanking } from "./ranking.ts";

const NO_COLD_REQUESTS: ColdLimit = { take: () => false };

function createServers(clock: FakeClock, count: number): ServerRegistry {
  const registry = makeRegistry(clock);
  for (let index = 0; index < count; index++) {
    registry.apply(makeServerUpdate(makeServer(`${index}`), index + 1));
  }
  return registry;
}

function load(server: KnownServer, requests: number): void {
  for (let count = 0; count < requests; count++) server.load.begin();
}

function choose(
  servers: readonly KnownServer[],
  clock: FakeClock,
  changes: Partial<PlacementRequest> = {},
  coldLimit = NO_COLD_REQUESTS,
): Choice {
  const placement: PlacementRequest = {
    candidates: [servers],
    excluded: new Set(),
    copies: 2,
    maxUtilization: 2,
    maxCacheMissQueue: 2,
    coldRatePerS: 9,
    hasCachedObject: () => true,
    isRateLimited: () => false,
    takePermit: () => true,
    ...changes,
  };
  return chooseServer(placement, coldLimit, clock);
}

function getOutcome(choice: Choice): string {
  return choice.kind === "server" ? choice.server.listed.id : choice.kind;
}

function createFourServers() {
  const clock = createFakeClock();
  const servers = [...createServers(clock, 4).listUsable("s")];
  return { clock, servers };
}

test("the first server is selected while its load is close to the second's", () => {
  const { clock, servers } = createFourServers();
  load(servers[0], 1);
  assert.is(getOutcome(choose(servers, clock)), "0");
});

test("the second server is selected when the first has more load", () => {
  const { clock, servers } = createFourServers();
  load(servers[0], 3);
  assert.is(getOutcome(choose(servers, clock)), "1");
  const hasCachedObject = (id: string) => id === "0";
  assert.is(
    getOutcome(choose(servers, clock, { hasCachedObject })),
    "0",
  );
});

// Guards against limits of priorities that hold on warm servers only.
test("a limit by slots applies instead of the general one, cold servers included", () => {
  const { clock, servers: [first, second] } = createFourServers();
  const servers = [first, second];
  const getMaxUtilization = (slots: number) => (slots - 1) / slots;
  load(servers[0], 3);
  assert.is(getOutcome(choose(servers, clock, { getMaxUtilization })), "1");
  load(servers[1], 3);
  assert.is(getOutcome(choose(servers, clock, { getMaxUtilization })), "full");
  const cold = { ...servers[0], coldUntilMs: 1 };
  const coldLimit = { take: () => true };
  assert.is(getOutcome(choose([cold], clock, {}, coldLimit)), "0");
  assert.is(
    getOutcome(choose([cold], clock, { getMaxUtilization }, coldLimit)),
    "full",
  );
});

function reportSlowdown(server: KnownServer, slowdown?: number): void {
  server.load.report({ running: 0, waiting: 0, slots: 4, slowdown });
}

test("the second server is selected while the first one is slow", () => {
  const { clock, servers } = createFourServers();
  reportSlowdown(servers[0], 2.5);
  assert.is(getOutcome(choose(servers, clock)), "1");
  clock.advance(1_200);
  assert.is(getOutcome(choose(servers, clock)), "0");
});

test("a slow server is not left for one that has to load the object", () => {
  const { clock, servers } = createFourServers();
  reportSlowdown(servers[0], 2.5);
  const hasCachedObject = (id: string) => id === "0";
  assert.is(getOutcome(choose(servers, clock, { hasCachedObject })), "0");
});

test("a slow server is not saturated earlier", () => {
  const { clock, servers } = createFourServers();
  reportSlowdown(servers[0], 8);
  load(servers[0], 7);
  load(servers[1], 8);
  assert.is(
    getOutcome(choose(servers.slice(0, 2), clock)),
    "0",
  );
});

test("reports without a slowdown leave the choice as it is", () => {
  const { clock, servers } = createFourServers();
  load(servers[0], 1);
  for (const slowdown of [undefined, 1]) {
    reportSlowdown(servers[0], slowdown);
    assert.is(getOutcome(choose(servers, clock)), "0");
  }
});

test("a request is refused when both of its servers are saturated, even if others are idle", () => {
  const { clock, servers } = createFourServers();
  load(servers[0], 8);
  load(servers[1], 8);
  const hasCachedObject = () => false;
  assert.is(
    getOutcome(choose(servers, clock, { hasCachedObject })),
    "full",
  );
});

/** Guards against further copies while the previous ones have capacity. */
test("a further copy is used when the previous ones are saturated", () => {
  const { clock, servers } = createFourServers();
  const cached = new Set(["0", "1"]);
  const hasCachedObject = (id: string) => cached.has(id);
  const changes = { hasCachedObject, maxCacheMissQueue: 0 };
  const chooseCopy = (copies: number) =>
    getOutcome(choose(servers, clock, { ...changes, copies }));
  load(servers[0], 8);
  load(servers[1], 7);
  assert.is(chooseCopy(4), "1");
  load(servers[1], 1);
  assert.is(chooseCopy(2), "full");
  assert.is(chooseCopy(3), "2");
  load(servers[2], 3);
  assert.is(chooseCopy(3), "full");
  assert.is(chooseCopy(4), "3");
  cached.add("2");
  assert.is(chooseCopy(4), "2");
});

test("the next server replaces one that was tried or is ejected", () => {
  const { clock, servers } = createFourServers();
  const tried = new Set(["0"]);
  assert.is(getOutcome(choose(servers, clock, { excluded: tried })), "1");
  servers[1].health.recordOutcome("unreachable");
  servers[1].health.recordOutcome("unreachable");
  assert.is(getOutcome(choose(servers, clock, { excluded: tried })), "2");
});

test("the next server replaces one without a permit", () => {
  const { clock, servers } = createFourServers();
  const takePermit = (server: KnownServer) => server !== servers[0];
  const hasCachedObject = () => false;
  assert.is(
    getOutcome(choose(servers, clock, { takePermit, hasCachedObject })),
    "1",
  );
  load(servers[1], 8);
  assert.is(
    getOutcome(choose(servers, clock, { takePermit, hasCachedObject })),
    "2",
  );
});

test("permits of a rate-limited server are used for its own objects only", () => {
  const { clock, servers } = createFourServers();
  const triedIds: string[] = [];
  const takePermit = ({ listed }: KnownServer) => {
    triedIds.push(listed.id);
    return false;
  };
  const isRateLimited = () => true;
  const hasCachedObject = (id: string) => id === "3";
  const choice = choose(servers, clock, {
    isRateLimited,
    takePermit,
    hasCachedObject,
  });
  assert.is(getOutcome(choice), "full");
  assert.equal(triedIds.sort(), ["0", "1", "3"]);
});

test("at most eight servers are tried for a permit", () => {
  const { clock } = createFourServers();
  const servers = [...createServers(clock, 40).listUsable("s")];
  let tries = 0;
  const takePermit = () => {
    tries++;
    return false;
  };
  assert.is(getOutcome(choose(servers, clock, { takePermit })), "full");
  assert.is(tries, 8);
});

test("a server that fails many of its requests is skipped", () => {
  const { clock, servers } = createFourServers();
  for (let count = 0; count < 6; count++) {
    servers[0].health.recordOutcome("failed");
  }
  assert.is(getOutcome(choose(servers, clock)), "1");
});

test("when every server is ejected, one is tried nevertheless", () => {
  const { clock, servers } = createFourServers();
  for (const server of servers) {
    server.health.recordOutcome("unreachable");
    server.health.recordOutcome("unreachable");
  }
  assert.is(getOutcome(choose(servers, clock)), "0");
});

test("having no servers and having only cold ones give different results", () => {
  const { clock, servers } = createFourServers();
  assert.is(getOutcome(choose([], clock)), "none");
  servers.forEach((server) => server.coldUntilMs = 5_000);
  assert.is(getOutcome(choose(servers, clock)), "full");
});

test("a cold server gets its own objects when the others are saturated", () => {
  const { clock, servers } = createFourServers();
  servers[0].coldUntilMs = 5_000;
  const unlimited: ColdLimit = { take: () => true };
  assert.is(getOutcome(choose(servers, clock, {}, unlimited)), "1");
  load(servers[1], 8);
  load(servers[2], 8);
  load(servers[3], 8);
  assert.is(getOutcome(choose(servers, clock, {}, unlimited)), "0");
  assert.is(getOutcome(choose(servers, clock)), "full");
  servers[0].coldUntilMs = 0;
  servers[1].coldUntilMs = 5_000;
  assert.is(getOutcome(choose(servers, clock, {}, unlimited)), "0");
});

test("a lower-ranked server is selected for an object it has cached", () => {
  const { clock, servers } = createFourServers();
  load(servers[0], 8);
  load(servers[1], 8);
  const hasCachedObject = (id: string) => id === "3";
  assert.is(
    getOutcome(choose(servers, clock, { hasCachedObject })),
    "3",
  );
});

test("the second server keeps a cached object until its load is higher than the first's", () => {
  const { clock, servers } = createFourServers();
  const hasCachedObject = (id: string) => id === "1";
  assert.is(
    getOutcome(choose(servers, clock, { hasCachedObject })),
    "1",
  );
  load(servers[1], 1);
  assert.is(
    getOutcome(choose(servers, clock, { hasCachedObject })),
    "0",
  );
});

test("a cache miss needs a free slot, or a queue short enough to finish in time", () => {
  const { clock, servers } = createFourServers();
  const hasCachedObject = () => false;
  const cacheMiss = { hasCachedObject, maxCacheMissQueue: 0 };
  load(servers[0], 3);
  load(servers[1], 3);
  assert.is(getOutcome(choose(servers, clock, cacheMiss)), "full");
  assert.is(
    getOutcome(
      choose(servers, clock, {
        hasCachedObject,
        maxCacheMissQueue: 1,
      }),
    ),
    "0",
  );
  const cacheHit = { hasCachedObject: (id: string) => id === "0" };
  assert.is(
    getOutcome(choose(servers, clock, { ...cacheHit, maxCacheMissQueue: 0 })),
    "0",
  );
});

test("a server of one or two slots accepts a cache miss while it is idle", () => {
  for (const slots of [1, 2]) {
    const clock = createFakeClock();
    const registry = makeRegistry(clock);
    registry.apply(makeServerUpdate(makeServer("0", { slots }), 1));
    const servers = registry.listUsable("s");
    const cacheMiss = { hasCachedObject: () => false, maxCacheMissQueue: 0 };
    assert.is(getOutcome(choose(servers, clock, cacheMiss)), "0");
    load(servers[0], 1);
    assert.is(getOutcome(choose(servers, clock, cacheMiss)), "full");
  }
});

/** Selects the best-ranked unsaturated server, cached object or not. */
function chooseAnyServer(servers: readonly KnownServer[]): Choice {
  const server = servers.find(({ load }) => load.getUtilization() < 2);
  if (server === undefined) return { kind: "full" };
  const utilization = server.load.getUtilization();
  return { kind: "server", server, rank: 0, utilization, isCached: false };
}

interface Run {
  /** Number of other objects requested from the server since. */
  depth: number | undefined;
  server: KnownServer;
  arrivedAtMs: number;
  key: string;
}

/**
 * Simulates a region that lost half of its servers: 144 objects, six servers of
 * five slots that cache 43 objects each, 90 requests per second; a cache miss
 * takes 600 ms, a hit 180 ms.
 *
 * @returns Share of the requests that are answered within 400 ms.
 */
function simulateLoss(policy: "twoServers" | "anyServer"): number {
  const clock = createFakeClock();
  const registry = createServers(clock, 6);
  const ranking = createRanking(registry);
  const cacheModel = createObjectCacheModel();
  const cacheSizes = createCacheSizeEstimator();
  const random = createRandom(20261202);
  const cachedKeys = new Map<string, string[]>();
  const queues = new Map<string, Run[]>();
  const running = new Map<string, { run: Run; endsAtMs: number }[]>();
  const slots = 5;
  let requestCount = 0;
  let inTime = 0;

  function startRun(serverId: string, { key, depth }: Run): number {
    const cached = cachedKeys.get(serverId) ?? [];
    const isHit = cached.includes(key);
    const next = [...cached.filter((other) => other !== key), key].slice(-43);
    cachedKeys.set(serverId, next);
    if (depth !== undefined) cacheSizes.record("s", depth, isHit);
    return isHit ? 180 : 600;
  }

  function isExpectedHit(serverId: string, key: string): boolean {
    const depth = cacheModel.getDepth(serverId, key);
    return depth !== undefined && depth < cacheSizes.getCacheSize("s");
  }

  function advanceServer(serverId: string): void {
    const nowMs = clock.monotonicMs();
    const busy = (running.get(serverId) ?? []).filter(({ run, endsAtMs }) => {
      if (endsAtMs > nowMs) return true;
      run.server.load.end();
      if (nowMs - run.arrivedAtMs <= 400) inTime++;
      return false;
    });
    const queue = queues.get(serverId) ?? [];
    while (busy.length < slots && queue.length > 0) {
      const run = queue.shift()!;
      busy.push({ run, endsAtMs: nowMs + startRun(serverId, run) });
    }
    running.set(serverId, busy);
  }

  let nextAtMs = 0;
  for (let stepMs = 0; stepMs < 30_000; stepMs += 5) {
    for (const { listed } of registry.listUsable("s")) advanceServer(listed.id);
    while (nextAtMs <= stepMs) {
      nextAtMs += drawExponential(random, 1_000 / 90);
      const key = `${Math.floor(random() * 144)}`;
      const ranked = ranking.rank("s", "oslo", key);
      const choice = policy === "anyServer"
        ? chooseAnyServer(ranked)
        : choose(ranked, clock, {
          maxUtilization: 2,
          hasCachedObject: (id) => isExpectedHit(id, key),
        });
      requestCount++;
      if (choice.kind !== "server") continue;
      choice.server.load.begin();
      const { server } = choice;
      const { id } = server.listed;
      const depth = cacheModel.recordRequest(id, key);
      const run = { depth, server, arrivedAtMs: stepMs, key };
      queues.set(id, [...(queues.get(id) ?? []), run]);
    }
    clock.advance(5);
  }
  return inTime / requestCount;
}

test("two servers per object answer more requests in time than any unsaturated server", () => {
  const anyServer = simulateLoss("anyServer");
  const twoServers = simulateLoss("twoServers");
  console.log(
    `answered in time: any server ${anyServer.toFixed(3)}, ` +
      `two servers ${twoServers.toFixed(3)}`,
  );
  assert.ok(twoServers > anyServer + 0.05);
});

/** Counts how many servers are examined. */
function countExamined(servers: readonly KnownServer[]): () => number {
  let count = 0;
  for (const { health } of servers) {
    const { isEjected } = health;
    health.isEjected = () => {
      count++;
      return isEjected();
    };
  }
  return () => count;
}

// Guards against work per request that grows with the servers of a region.
test("a choice among 150 servers examines those that it can use", () => {
  const clock = createFakeClock();
  const servers = createServers(clock, 150).listUsable("s");
  const getExamined = countExamined(servers);
  assert.is(getOutcome(choose(servers, clock)), "0");
  assert.ok(getExamined() <= 12, `${getExamined()}`);
});

// Guards against a search that ends before the servers that could be chosen.
test("the choice is the same as among the eligible servers alone", () => {
  const random = createRandom(7);
  for (let round = 0; round < 400; round++) {
    const clock = createFakeClock();
    const servers = createServers(clock, 40).listUsable("s");
    const pick = (share: number) =>
      new Set(
        servers.filter(() => random() < share).map(({ listed }) => listed.id),
      );
    const failing = pick(round % 4 === 0 ? 1 : random());
    const cold = pick(random());
    const tried = pick(0.1);
    const refusing = pick(random());
    const limited = pick(random());
    const cached = pick(0.3);
    for (const server of servers) {
      const { id } = server.listed;
      if (failing.has(id)) {
        for (let n = 0; n < 5; n++) server.health.recordOutcome("failed");
      }
      if (cold.has(id)) server.coldUntilMs = clock.monotonicMs() + 1_000;
      load(server, Math.floor(random() * 12));
    }
    const asked: string[] = [];
    const changes: Partial<PlacementRequest> = {
      excluded: tried,
      copies: 2 + Math.floor(random() * 6),
      hasCachedObject: (id) => cached.has(id),
      isRateLimited: ({ listed }) => limited.has(listed.id),
      takePermit({ listed }) {
        asked.push(listed.id);
        return !refusing.has(listed.id);
      },
    };
    const choice = choose(servers, clock, changes);
    const untried = servers.filter(({ listed }) => !tried.has(listed.id));
    const warm = untried.filter(({ listed }) => !cold.has(listed.id));
    const healthy = warm.filter(({ listed }) => !failing.has(listed.id));
    const askedFirst = asked.splice(0);
    const eligible = healthy.length > 0 ? healthy : warm;
    const same = choose(eligible, clock, changes);
    assert.equal(asked, askedFirst);
    const isKnown = choice.kind === "server" || untried.length === 0 ||
      eligible.length > 0;
    if (isKnown) assert.is(getOutcome(choice), getOutcome(same));
    if (choice.kind === "server" && same.kind === "server") {
      assert.is(choice.rank, same.rank);
    }
  }
});

test("a server that a report calls unresponsive is chosen last", () => {
  const { clock, servers } = createFourServers();
  const getAvoidance = (server: KnownServer) =>
    server === servers[0] ? "last" : "none";
  const changes = { getAvoidance } as const;
  assert.is(getOutcome(choose(servers, clock, changes)), "1");
  for (const server of servers.slice(1)) load(server, 8);
  assert.is(getOutcome(choose(servers, clock, changes)), "0");
  load(servers[0], 8);
  assert.is(getOutcome(choose(servers, clock, changes)), "full");
});

// Guards against the own failure domain's server of last resort going before others.
test("a server of last resort comes after those of all candidate lists", () => {
  const { clock, servers } = createFourServers();
  const choice = choose(servers, clock, {
    candidates: [[servers[0]], servers],
    getAvoidance: (server) => server === servers[0] ? "last" : "none",
  });
  assert.is(getOutcome(choice), "1");
});

// Guards against cold servers that get requests beyond their limited rate.
test("a server of last resort that is cold is not chosen", () => {
  const { clock, servers } = createFourServers();
  servers[0].coldUntilMs = 5_000;
  for (const server of servers.slice(1)) load(server, 8);
  const choice = choose(servers, clock, {
    getAvoidance: (server) => server === servers[0] ? "last" : "none",
  });
  assert.is(getOutcome(choice), "full");
});

test("an excluded server is chosen as little as an ejected one", () => {
  const { clock, servers } = createFourServers();
  for (const server of servers.slice(1)) load(server, 8);
  const choice = choose(servers, clock, {
    getAvoidance: (server) => server === servers[0] ? "excluded" : "none",
  });
  assert.is(getOutcome(choice), "full");
});

test.run();
