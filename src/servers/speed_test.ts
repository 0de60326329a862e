import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createServerSpeed } from "./speed.ts";

test("a server that reports no slowdown has exactly its usual speed", () => {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  const [{ load }] = registry.listUsable("s");
  assert.is(load.speed.getSlowdown(), 1);
  load.report({ running: 4, waiting: 3, slots: 4 });
  assert.is(load.speed.getSlowdown(), 1);
});

test("a reported slowdown is halved every 0.6 s, so that old reports don't count", () => {
  const clock = createFakeClock();
  const speed = createServerSpeed(clock);
  speed.report(2.5);
  assert.is(speed.getSlowdown(), 2.5);
  clock.advance(600);
  assert.is(speed.getSlowdown(), 1.75);
  speed.report(0.5);
  clock.advance(600);
  assert.is(speed.getSlowdown(), 0.75);
  clock.advance(15_000);
  assert.ok(Math.abs(speed.getSlowdown() - 1) < 1e-6);
  speed.report(1);
  assert.is(speed.getSlowdown(), 1);
});

test("an extreme report makes a server neither free nor unusable", () => {
  const speed = createServerSpeed(createFakeClock());
  speed.report(1e12);
  assert.is(speed.getSlowdown(), 8);
  speed.report(1e-12);
  assert.is(speed.getSlowdown(), 0.25);
});

test("a report without a slowdown keeps the last one, which decays", () => {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  const [{ load }] = registry.listUsable("s");
  load.report({ running: 1, waiting: 0, slots: 4, slowdown: 2.5 });
  clock.advance(600);
  load.report({ running: 1, waiting: 0, slots: 4 });
  assert.is(load.speed.getSlowdown(), 1.75);
});

test("a restarted server starts at usual speed", () => {
  const registry = makeRegistry(createFakeClock());
  const former = makeServer("i-1@1", { registeredName: "i-1" });
  registry.apply(makeServerUpdate(former, 1));
  const [before] = registry.listUsable("s");
  before.load.report({ running: 1, waiting: 0, slots: 4, slowdown: 2.5 });
  registry.apply(makeServerUpdate({ ...former, id: "i-1@2" }, 2));
  const [after] = registry.listUsable("s");
  assert.is(after.load.speed.getSlowdown(), 1);
});

test("a slow server is not ejected, and its health is unchanged", () => {
  const registry = makeRegistry(createFakeClock());
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  const [{ load, health }] = registry.listUsable("s");
  for (let count = 0; count < 50; count++) {
    load.report({ running: 1, waiting: 0, slots: 4, slowdown: 8 });
    health.recordOutcome("answered");
  }
  assert.not(health.isEjected());
  assert.is(health.getFailureShare(), 0);
});

test.run();
