import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createObjectCacheModel } from "../placement/object_cache_model.ts";
import { createCacheSizeEstimator } from "../placement/cache_size.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { NO_SIGNALS, type ServerSignals } from "../servers/signals.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createAttemptObserver } from "./attempt_observer.ts";
import { createLatencyModel } from "./latency_model.ts";
import { makeProgress } from "./fixture.ts";
import { makeObjectName } from "./request_progress.ts";
import type { ExchangeResult, LossReason } from "./types.ts";

function startObserver() {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  const [server] = registry.listUsable("s");
  const cacheModel = createObjectCacheModel();
  const cacheSizeEstimator = createCacheSizeEstimator();
  const runTimes = createRunTimes();
  const outcomes: string[] = [];
  const reachability = {
    recordOwn: (_id: string, outcome: string) => void outcomes.push(outcome),
    endTrial: (id: string) => void outcomes.push(`end of trial at ${id}`),
  };
  const observer = createAttemptObserver({
    clock,
    log: createSilentLog(),
    latencyModel: createLatencyModel(),
    cacheModel,
    cacheSizeEstimator,
    runTimes,
    rateLimits: { record() {} },
    backoffs: { begin() {} },
    registry,
    reachability,
  });
  return {
    cacheModel,
    cacheSizeEstimator,
    observer,
    outcomes,
    runTimes,
    server,
  };
}

const EMPTY_ANSWER = { status: 200, headers: {}, body: Buffer.alloc(0) };
const ANSWER: ExchangeResult = {
  kind: "answer",
  answer: EMPTY_ANSWER,
  signals: NO_SIGNALS,
};

function makeLoss(reason: LossReason): ExchangeResult {
  return { kind: "lost", reason, detail: "" };
}

/** Whether an object is expected to be cached after one request for it. */
function isCachedAfter(
  result: ExchangeResult,
  utilizationAtStart: number,
): boolean {
  const { cacheModel, observer, server } = startObserver();
  const progress = makeProgress();
  const depth = cacheModel.recordRequest("1", makeObjectName(progress));
  const outcome = {
    result,
    tookMs: 900,
    utilizationAtStart,
    depth,
    isCached: false,
    isTrial: false,
  };
  observer.recordAttempt(progress, server, outcome);
  return cacheModel.getDepth("1", makeObjectName(progress)) !== undefined;
}

test("an object is cached after a request aborted at a server with a free slot", () => {
  assert.ok(isCachedAfter(ANSWER, 0.5));
  assert.ok(isCachedAfter(makeLoss("timeout"), 0.5));
  assert.ok(isCachedAfter(makeLoss("client_left"), 0.5));
});

test("an object is not cached after a request that may not have started", () => {
  assert.not(isCachedAfter(makeLoss("timeout"), 1.5));
  assert.not(isCachedAfter(makeLoss("cut"), 0.5));
  assert.not(isCachedAfter({ kind: "not_sent", reason: "" }, 0.5));
  const shed: ExchangeResult = {
    kind: "not_run",
    reason: "shed",
    signals: NO_SIGNALS,
    answer: EMPTY_ANSWER,
  };
  assert.not(isCachedAfter(shed, 0.5));
});

test("a server that asks for a backoff has not failed", () => {
  const { observer, server } = startObserver();
  const answer = { status: 503, headers: {}, body: Buffer.alloc(0) };
  const recordAnswer = (signals: ServerSignals) =>
    observer.recordAttempt(makeProgress(), server, {
      result: { kind: "answer", answer, signals },
      tookMs: 5,
      utilizationAtStart: 0,
      depth: undefined,
      isCached: false,
      isTrial: false,
    });
  recordAnswer({ ...NO_SIGNALS, backoffMs: 3_000 });
  assert.is(server.health.getFailureShare(), 0);
  recordAnswer(NO_SIGNALS);
  assert.ok(server.health.getFailureShare() > 0);
});

test("answers of a slow server don't change the learned run times", () => {
  const { observer, runTimes, server } = startObserver();
  const recordAnswer = (tookMs: number, slowdown?: number) =>
    observer.recordAttempt(makeProgress(), server, {
      result: {
        ...ANSWER,
        signals: {
          ...NO_SIGNALS,
          load: { running: 1, waiting: 0, slots: 4, slowdown },
        },
      },
      tookMs,
      utilizationAtStart: 0.3,
      depth: undefined,
      isCached: false,
      isTrial: false,
    });
  recordAnswer(200);
  for (let count = 0; count < 50; count++) recordAnswer(500, 2.5);
  assert.is(runTimes.getMeanMs("s"), 200);
});

test("the cache size is estimated from answers of servers with free slots", () => {
  const { cacheModel, cacheSizeEstimator, observer, server } = startObserver();
  const answer = (
    objectKey: string,
    tookMs: number,
    utilizationAtStart = 0.3,
  ) => {
    const progress = makeProgress({ objectKey });
    const depth = cacheModel.recordRequest("1", makeObjectName(progress));
    const outcome = {
      result: ANSWER,
      tookMs,
      utilizationAtStart,
      depth,
      isCached: false,
      isTrial: false,
    };
    observer.recordAttempt(progress, server, outcome);
  };
  for (let count = 0; count < 5; count++) {
    answer(`first ${count}`, 800);
    answer(`first ${count}`, 200);
  }
  answer("first 0", 900, 2);
  assert.is(cacheSizeEstimator.getCacheSize("s"), 128);
  answer("first 1", 900);
  assert.is(cacheSizeEstimator.getCacheSize("s"), 4);
});

test("responses, connect timeouts and silence tell whether a server responds", () => {
  const { observer, outcomes, server } = startObserver();
  const observe = (result: ExchangeResult, tookMs = 50, isTrial = false) => {
    outcomes.length = 0;
    observer.recordAttempt(makeProgress(), server, {
      result,
      tookMs,
      utilizationAtStart: 0,
      depth: undefined,
      isCached: false,
      isTrial,
    });
    return [...outcomes];
  };
  const turnedAway = {
    kind: "not_run",
    answer: EMPTY_ANSWER,
    signals: NO_SIGNALS,
  } as const;
  const timeout = {
    kind: "not_sent",
    reason: "",
    isUnresponsive: true,
  } as const;
  assert.equal(observe(timeout), ["unreachable"]);
  assert.equal(observe(makeLoss("timeout")), ["unanswered"]);
  assert.equal(observe(ANSWER), ["responded"]);
  assert.equal(observe({ ...turnedAway, reason: "shed" }), ["responded"]);
  assert.equal(
    observe(makeLoss("timeout"), 0),
    [],
    "it has responded to another request since",
  );
  // Guards against reports where nothing is unresponsive, and against taking a
  // response of the server that follows at the same address for one of this.
  assert.equal(observe({ kind: "not_sent", reason: "refused" }), []);
  assert.equal(observe(makeLoss("cut")), []);
  assert.equal(observe(makeLoss("client_left")), []);
  assert.equal(observe({ ...turnedAway, reason: "other_server" }), []);
  assert.equal(observe({ kind: "withdrawn" }, 50, true), [
    "end of trial at 1",
  ]);
});

test.run();
