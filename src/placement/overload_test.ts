import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeRoute,
  makeServer,
  makeServerNews,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom, drawExponential } from "../runtime/random.ts";
import type { KnownServer } from "../servers/registry.ts";
import { createLatencyModel } from "../serving/latency_model.ts";
import { chooseServer } from "./choose.ts";
import { createObjectMemory } from "./memory.ts";
import { createRanking } from "./ranking.ts";
import { createRetention } from "./retention.ts";

/** Servers, and what is asked of them. */
const SERVERS = 12;
const SLOTS = 9;
const KEPT = 17;
const OBJECTS = 700;
const KNOWN_MS = 650;
const FIRST_MS = 2_450;
const ROUTE = makeRoute({ timeoutMs: 3_000, targetLatencyMs: 1_500 });
const STEP_MS = 10;
const DURATION_MS = 40_000;

interface Run {
  objectKey: string;
  arrivedAtMs: number;
  sentAtMs: number;
  useAtStart: number;
  depth: number | undefined;
  endsAtMs: number;
}

interface TestServer {
  known: KnownServer;
  keys: string[];
  running: Run[];
  queue: Run[];
}

/**
 * Replays a service that is asked for far more objects than its servers keep,
 * a third of them in two thirds of the requests. Servers run nine requests and
 * queue the rest; a request that is not answered after 3 s is cut off.
 *
 * @param ratePerS Requests a second.
 * @param limitsFirstRuns Whether first runs wait for slots that are free.
 * @returns Answers within the target of 1.5 s, a second.
 */
function replay(ratePerS: number, limitsFirstRuns: boolean): number {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (let index = 0; index < SERVERS; index++) {
    const server = makeServer(`${index}`, { slots: SLOTS });
    registry.apply(makeServerNews(server, index + 1));
  }
  const ranking = createRanking(registry);
  const memory = createObjectMemory();
  const retention = createRetention();
  const pace = createLatencyModel();
  const random = createRandom(20261203);
  const servers = new Map<string, TestServer>();
  for (const known of registry.listUsable("s")) {
    servers.set(known.listed.id, { known, keys: [], running: [], queue: [] });
  }
  let inTime = 0;

  function start(server: TestServer, run: Run): void {
    const isKnown = server.keys.includes(run.objectKey);
    server.keys = [
      ...server.keys.filter((key) => key !== run.objectKey),
      run.objectKey,
    ].slice(-KEPT);
    const meanMs = isKnown ? KNOWN_MS : FIRST_MS;
    run.endsAtMs = clock.monotonicMs() + meanMs * (0.85 + 0.3 * random());
    server.running.push(run);
  }

  function finish(server: TestServer, run: Run): void {
    server.known.load.end();
    const nowMs = clock.monotonicMs();
    if (nowMs - run.arrivedAtMs >= ROUTE.timeoutMs) return;
    const tookMs = nowMs - run.sentAtMs;
    if (nowMs - run.arrivedAtMs <= ROUTE.targetLatencyMs) inTime++;
    pace.recordAnswer(ROUTE, tookMs, run.useAtStart);
    if (run.useAtStart >= 0.8) return;
    const wasKnown = pace.wasCached(ROUTE, tookMs);
    pace.recordUnloadedAnswer(ROUTE, run.depth, tookMs);
    if (run.depth === undefined || wasKnown === undefined) return;
    retention.note("s", run.depth, wasKnown);
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

  function knowsObject(serverId: string, objectKey: string): boolean {
    const depth = memory.getDepth(serverId, objectKey);
    return depth !== undefined && depth < retention.getKept("s");
  }

  function ask(objectKey: string): void {
    const choice = chooseServer(
      {
        candidates: [ranking.rank("s", "oslo", objectKey)],
        tried: new Set(),
        maxUse: pace.getMaxUtilization(ROUTE),
        firstRunQueue: limitsFirstRuns
          ? pace.getMaxCacheMissQueue(ROUTE, ROUTE.timeoutMs)
          : Infinity,
        coldRatePerS: 0,
        knowsObject: (id) => knowsObject(id, objectKey),
        isRateLimited: () => false,
        takePermit: () => true,
      },
      { take: () => false },
      clock,
    );
    if (choice.kind !== "server") return;
    const { id } = choice.server.listed;
    const nowMs = clock.monotonicMs();
    const depth = memory.note(id, objectKey);
    choice.server.load.begin();
    servers.get(id)!.queue.push({
      objectKey,
      arrivedAtMs: nowMs,
      sentAtMs: nowMs,
      useAtStart: choice.use,
      depth,
      endsAtMs: Infinity,
    });
  }

  let nextAtMs = 0;
  while (clock.monotonicMs() < DURATION_MS) {
    for (const server of servers.values()) advance(server);
    while (nextAtMs <= clock.monotonicMs()) {
      nextAtMs += drawExponential(random, 1_000 / ratePerS);
      ask(`${Math.floor(OBJECTS * random() ** 2)}`);
    }
    clock.advance(STEP_MS);
  }
  return inTime / (DURATION_MS / 1_000);
}

/** A service with 108 slots bears some 50 requests a second. */
const RATES_PER_S = [25, 50, 75, 100, 150];

test("a service at twice the load that it bears serves on", () => {
  const limited = RATES_PER_S.map((ratePerS) => replay(ratePerS, true));
  const unlimited = RATES_PER_S.map((ratePerS) => replay(ratePerS, false));
  const format = (values: number[]) =>
    values.map((value) => value.toFixed(1)).join(" ");
  console.log(
    `answered in time at ${RATES_PER_S.join(" ")} requests/s: ` +
      `first runs limited ${format(limited)}, not ${format(unlimited)}`,
  );
  const best = Math.max(...limited);
  const bornIndex = limited.findIndex((value) => value >= 0.9 * best);
  for (const value of limited.slice(bornIndex)) assert.ok(value >= 0.8 * best);
  const last = RATES_PER_S.length - 1;
  assert.ok(limited[last] > 2 * unlimited[last]);
});

test.run();
