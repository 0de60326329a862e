import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerNews,
} from "../gateway/fixture.ts";
import { createObjectMemory } from "../placement/memory.ts";
import { createRetention } from "../placement/retention.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { NO_SIGNALS, type ServerSignals } from "../servers/signals.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createObserver } from "./observing.ts";
import { createPaceTable } from "./pace.ts";
import { makeProgress } from "./fixture.ts";
import { nameObject } from "./progress.ts";
import type { ExchangeResult, LossReason } from "./types.ts";

function startObserver() {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  registry.apply(makeServerNews(makeServer("1"), 1));
  const [server] = registry.listUsable("s");
  const memory = createObjectMemory();
  const retention = createRetention();
  const observer = createObserver({
    clock,
    log: createSilentLog(),
    pace: createPaceTable(),
    memory,
    retention,
    runTimes: createRunTimes(),
    rateLimits: { record() {} },
    backoffs: { begin() {} },
    registry,
  });
  return { memory, retention, observer, server };
}

const ANSWER: ExchangeResult = {
  kind: "answer",
  answer: {
    status: 200,
    headers: {},
    body: Buffer.alloc(0),
  },
  signals: NO_SIGNALS,
};

function makeLoss(reason: LossReason): ExchangeResult {
  return { kind: "lost", reason, detail: "" };
}

/** Whether a server is taken to know an object after one first run. */
function knowsAfter(result: ExchangeResult, useAtStart: number): boolean {
  const { memory, observer, server } = startObserver();
  const progress = makeProgress();
  const depth = memory.note("1", nameObject(progress));
  const end = { result, tookMs: 900, useAtStart, depth, isKnown: false };
  observer.note(progress, server, end);
  return memory.getDepth("1", nameObject(progress)) !== undefined;
}

test("a first run that was cut off at a free server is known there", () => {
  assert.ok(knowsAfter(ANSWER, 0.5));
  assert.ok(knowsAfter(makeLoss("timeout"), 0.5));
  assert.ok(knowsAfter(makeLoss("client_left"), 0.5));
});

test("one that may never have begun is not", () => {
  assert.not(knowsAfter(makeLoss("timeout"), 1.5));
  assert.not(knowsAfter(makeLoss("cut"), 0.5));
  assert.not(knowsAfter({ kind: "not_sent", reason: "" }, 0.5));
  const shed: ExchangeResult = {
    kind: "not_run",
    reason: "shed",
    signals: NO_SIGNALS,
  };
  assert.not(knowsAfter(shed, 0.5));
});

test("a server that asks for a backoff has not failed", () => {
  const { observer, server } = startObserver();
  const answer = { status: 503, headers: {}, body: Buffer.alloc(0) };
  const note = (signals: ServerSignals) =>
    observer.note(makeProgress(), server, {
      result: { kind: "answer", answer, signals },
      tookMs: 5,
      useAtStart: 0,
      depth: undefined,
      isKnown: false,
    });
  note({ ...NO_SIGNALS, backoffMs: 3_000 });
  assert.is(server.health.getFailureShare(), 0);
  note(NO_SIGNALS);
  assert.ok(server.health.getFailureShare() > 0);
});

test("how many objects are kept is learned from answers of free servers", () => {
  const { memory, retention, observer, server } = startObserver();
  const ask = (objectKey: string, tookMs: number, useAtStart = 0.3) => {
    const progress = makeProgress({ objectKey });
    const depth = memory.note("1", nameObject(progress));
    const end = { result: ANSWER, tookMs, useAtStart, depth, isKnown: false };
    observer.note(progress, server, end);
  };
  for (let count = 0; count < 5; count++) {
    ask(`first ${count}`, 800);
    ask(`first ${count}`, 200);
  }
  ask("first 0", 900, 2);
  assert.is(retention.getKept("s"), 128);
  ask("first 1", 900);
  assert.is(retention.getKept("s"), 4);
});

test.run();
