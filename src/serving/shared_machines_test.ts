import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRunningRequests } from "../activity/running.ts";
import { startSharing } from "../activity/sharing.ts";
import {
  makeReachability,
  makeRoute,
  makeServer,
  makeServerUpdate,
  makeVmIdentity,
  TEST_REGIONS,
} from "../gateway/fixture.ts";
import { buildTopology } from "../members/hubs.ts";
import { createCacheSizeEstimator } from "../placement/cache_size.ts";
import { createObjectCacheModel } from "../placement/object_cache_model.ts";
import { createRanking } from "../placement/ranking.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { mixToUnit } from "../runtime/hash.ts";
import { createAccountShares } from "../queueing/account_shares.ts";
import { createUrgentDemand } from "../queueing/urgency.ts";
import { createRandom, drawExponential } from "../runtime/random.ts";
import { createServerRegistry } from "../servers/registry.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { NO_SIGNALS } from "../servers/signals.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createAttemptObserver } from "./attempt_observer.ts";
import { makeProgress, makeRequest, makeUnlimitedPermits } from "./fixture.ts";
import { createInflightBodies } from "./inflight_bodies.ts";
import { createLatencyModel } from "./latency_model.ts";
import { createPlacer } from "./placer.ts";
import { makeObjectName } from "./request_progress.ts";

const VMS = 112;
const SERVERS = 143;
const SLOTS = 4;
const CACHE_SIZE = 20;
const OBJECTS = 1_700;
const WORK_MS = 751;
const HIT_SHARE = 0.3;
const LONG_SHARE = 0.03;
const LONG_FACTOR = 7;
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 2.5;
const SPEED_PERIOD_MS = 600;
const ROUTE = makeRoute({ timeoutMs: 4_309, targetLatencyMs: 651 });
const RATE_PER_S = 500;
const WARM_UP_MS = 6_000;
const END_MS = 16_000;
/** As in a gateway. */
const MIN_REPORTED_RUN_MS = 400;
const LINK_MS = 2;

interface Run {
  progress: ReturnType<typeof makeProgress>;
  end: (isAnswered: boolean) => void;
}

interface MachineServer {
  running: number;
  queue: Run[];
  cachedKeys: string[];
}

function getSlowdown(server: number, atMs: number): number {
  const period = Math.floor(atMs / SPEED_PERIOD_MS);
  return mixToUnit(server + 1, period + 1) < SLOW_SHARE ? SLOW_FACTOR : 1;
}

/** Returns when work ends whose speed changes while it runs. */
function computeEndMs(server: number, startMs: number, workMs: number): number {
  let atMs = startMs;
  let leftMs = workMs;
  for (;;) {
    const nextMs = (Math.floor(atMs / SPEED_PERIOD_MS) + 1) * SPEED_PERIOD_MS;
    const neededMs = leftMs * getSlowdown(server, atMs);
    if (atMs + neededMs <= nextMs) return atMs + neededMs;
    leftMs -= (nextMs - atMs) / getSlowdown(server, atMs);
    atMs = nextMs;
  }
}

/** A VM with the decisions of a gateway, and the messages to the others. */
function startVm(
  clock: FakeClock,
  index: number,
  send: Parameters<typeof startSharing>[0]["send"],
) {
  const log = createSilentLog();
  const running = createRunningRequests(clock);
  const runTimes = createRunTimes();
  const cacheModel = createObjectCacheModel();
  const cacheSizeEstimator = createCacheSizeEstimator();
  const latencyModel = createLatencyModel();
  const registry = createServerRegistry({
    clock,
    log,
    regions: TEST_REGIONS,
    getColdDurationMs: () => 0,
    running,
    runTimes,
  });
  for (let id = 0; id < SERVERS; id++) {
    const server = makeServer(`${id}`, { slots: SLOTS });
    registry.apply(makeServerUpdate(server, id + 1));
  }
  const reachability = makeReachability(clock, registry);
  const placer = createPlacer({
    clock,
    log,
    registry,
    ranking: createRanking(registry),
    plan: {
      getShares: () => [{ region: "oslo", share: 1 }],
      getMovedShare: () => 0,
    },
    ownDomain: "oslo-a",
    urgentDemand: createUrgentDemand(clock),
    accountShares: createAccountShares(clock),
    getCompetingPriorities: () => [1],
    copyPlan: { getCopies: () => 2 },
    overflow: {
      find: () => ({ kind: "denied", denial: "no_region" }),
      giveBack() {},
    },
    coldLimit: { take: () => false },
    permits: makeUnlimitedPermits(),
    inflightBodies: createInflightBodies({ clock, log }),
    reachability,
    latencyModel,
    cacheModel,
    cacheSizeEstimator,
    getServiceSettings: () => undefined,
  });
  const observer = createAttemptObserver({
    clock,
    log,
    latencyModel,
    cacheModel,
    cacheSizeEstimator,
    runTimes,
    rateLimits: { record() {} },
    backoffs: { begin() {} },
    registry,
    reachability,
  });
  const sharing = startSharing({
    self: IDENTITIES[index],
    clock,
    log,
    cacheModel,
    running,
    listServing: () => IDENTITIES.filter((_, other) => other !== index),
    getTopology: () => TOPOLOGY,
    getOwnRunning: () => registry.listOwnRequests(() => MIN_REPORTED_RUN_MS),
    getRegion: registry.getRegion,
    send,
  });
  return { cacheModel, observer, placer, runTimes, sharing };
}

const IDENTITIES = Array.from(
  { length: VMS },
  (_, index) => makeVmIdentity(`vm-${index}`),
);
const TOPOLOGY = buildTopology(IDENTITIES);

interface Replay {
  /** Share of the requests that are answered within their target. */
  inTime: number;
  meanRunMs: number;
}

/**
 * Replays views of the uneven deployment: 143 servers of 4 slots and 20 cached
 * objects, of which 15% are 2.5 times slower at a time, others every 0.6 s; 3
 * in 100 requests take seven times as long; 112 VMs get one request in 112.
 */
function replay(
  ratePerS: number,
  { isEven = false, stopsReportingAtMs = Infinity } = {},
): Replay {
  const clock = createFakeClock();
  const random = createRandom(1);
  const servers = Array.from(
    { length: SERVERS },
    (): MachineServer => ({ running: 0, queue: [], cachedKeys: [] }),
  );
  const vms = IDENTITIES.map((identity, index) =>
    startVm(clock, index, (vmIds, scope, activity) => {
      clock.after(LINK_MS, () => {
        for (const id of vmIds) {
          const receiver = vms[Number(id.slice("vm-".length))];
          receiver.sharing.receive(identity, scope, activity);
        }
      });
    })
  );
  let requests = 0;
  let inTime = 0;

  function start(id: number, run: Run): void {
    const server = servers[id];
    const nowMs = clock.monotonicMs();
    const { deadlineAtMs, objectKey } = run.progress;
    if (nowMs >= deadlineAtMs) return run.end(false);
    server.running++;
    const isHit = server.cachedKeys.includes(objectKey);
    server.cachedKeys = [
      ...server.cachedKeys.filter((key) => key !== objectKey),
      objectKey,
    ].slice(-CACHE_SIZE);
    const isLong = random() < LONG_SHARE && !isEven;
    const workMs = WORK_MS * (isHit ? HIT_SHARE : 1) *
      (isLong ? LONG_FACTOR : 1) * (0.85 + 0.3 * random());
    const endMs = isEven ? nowMs + workMs : computeEndMs(id, nowMs, workMs);
    clock.after(Math.min(endMs, deadlineAtMs) - nowMs, () => {
      server.running--;
      run.end(endMs < deadlineAtMs);
      while (server.running < SLOTS && server.queue.length > 0) {
        start(id, server.queue.shift()!);
      }
    });
  }

  function arrive(): void {
    const arrivedAtMs = clock.monotonicMs();
    const isCounted = arrivedAtMs >= WARM_UP_MS;
    if (isCounted) requests++;
    const vm = vms[Math.floor(random() * VMS)];
    const progress = makeProgress({
      request: makeRequest({ route: ROUTE, arrivedAtMs }),
      objectKey: `${Math.floor(random() ** 2 * OBJECTS)}`,
      deadlineAtMs: arrivedAtMs + ROUTE.timeoutMs,
    });
    const placed = vm.placer.place(progress);
    if (placed.kind === "not_placed") return;
    const { server, isCached, isTrial } = placed;
    const id = Number(server.listed.id);
    const utilizationAtStart = server.load.getUtilization();
    const depth = vm.cacheModel.recordRequest(
      server.listed.id,
      makeObjectName(progress),
    );
    server.load.begin();
    const run: Run = {
      progress,
      end(isAnswered) {
        const tookMs = clock.monotonicMs() - arrivedAtMs;
        const { running, queue } = servers[id];
        const slowdown = isEven ? 1 : getSlowdown(id, clock.monotonicMs());
        const load = {
          running,
          waiting: queue.length,
          slots: SLOTS,
          ...(clock.monotonicMs() < stopsReportingAtMs ? { slowdown } : {}),
        };
        const answer = { status: 200, headers: {}, body: Buffer.alloc(0) };
        vm.observer.recordAttempt(progress, server, {
          result: isAnswered
            ? { kind: "answer", answer, signals: { ...NO_SIGNALS, load } }
            : { kind: "lost", reason: "timeout", detail: "" },
          tookMs,
          utilizationAtStart,
          depth,
          isCached,
          isTrial,
        });
        server.load.end();
        if (isAnswered && isCounted && tookMs <= ROUTE.targetLatencyMs) {
          inTime++;
        }
      },
    };
    if (servers[id].running >= SLOTS) servers[id].queue.push(run);
    else start(id, run);
  }

  let nextAtMs = 0;
  while (nextAtMs < END_MS) {
    nextAtMs += drawExponential(random, 1_000 / ratePerS);
    clock.advance(nextAtMs - clock.monotonicMs());
    arrive();
  }
  const means = vms.map(({ runTimes }) => runTimes.getMeanMs("s") ?? 0);
  const meanRunMs = means.reduce((sum, ms) => sum + ms, 0) / VMS;
  return { inTime: inTime / requests, meanRunMs };
}

test("run times are learned at usual speed, and hardly change by long runs", () => {
  const even = replay(RATE_PER_S, { isEven: true });
  const uneven = replay(RATE_PER_S);
  const lateReports = replay(RATE_PER_S, { stopsReportingAtMs: WARM_UP_MS });
  const format = ({ inTime, meanRunMs }: Replay) =>
    `${inTime.toFixed(3)} in time, mean run ${meanRunMs.toFixed(0)} ms`;
  console.log(
    `even: ${format(even)}; uneven: ${format(uneven)}; ` +
      `reports that stop: ${format(lateReports)}`,
  );
  // 1.30 before slowdowns and outliers were taken into account.
  assert.ok(uneven.meanRunMs < 1.25 * even.meanRunMs);
  assert.ok(lateReports.meanRunMs < 1.28 * even.meanRunMs);
  // Guards against a choice that gives up cached objects for faster servers.
  assert.ok(uneven.inTime > 0.83);
  assert.ok(lateReports.inTime > 0.83);
});

test.run();
