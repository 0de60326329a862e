import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { hashToUint32 } from "../runtime/hash.ts";
import { createColdLimit } from "./cold_limit.ts";
import { createServerHealth } from "./health.ts";
import { createDrainingInstances } from "./draining_instances.ts";
import { createServerLoad } from "./load.ts";
import { makeVersion } from "../news/version.ts";

function listIds(registry: ReturnType<typeof makeRegistry>): string[] {
  return registry.listUsable("s").map(({ listed }) => listed.id);
}

test("a draining or removed server is not usable", () => {
  const registry = makeRegistry(createFakeClock());
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  registry.apply(makeServerUpdate(makeServer("2"), 2));
  assert.equal(listIds(registry), ["1", "2"]);
  registry.apply(makeServerUpdate(makeServer("1", { state: "draining" }), 3));
  assert.equal(listIds(registry), ["2"]);
  registry.apply({
    topic: "servers",
    key: "server/2",
    version: makeVersion(4),
  });
  assert.equal(listIds(registry), []);
});

test("a server whose address belongs to another one is not usable", () => {
  const registry = makeRegistry(createFakeClock());
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  registry.markReplaced("1");
  assert.equal(listIds(registry), []);
  registry.apply(makeServerUpdate(makeServer("1"), 2));
  assert.equal(listIds(registry), []);
});

test("a server that announced its drain is not usable, whatever the register lists", () => {
  const registry = makeRegistry(createFakeClock());
  const server = makeServer("i-1@1", { registeredName: "i-1" });
  registry.apply(makeServerUpdate(server, 1));
  const [known] = registry.listUsable("s");
  registry.markDraining(known);
  assert.not(registry.isUsable(known));
  registry.apply(makeServerUpdate(server, 2));
  assert.equal(listIds(registry), []);
  registry.apply({
    topic: "servers",
    key: "server/i-1",
    version: makeVersion(3),
  });
  registry.apply(makeServerUpdate(server, 4));
  assert.equal(listIds(registry), []);
  registry.apply(makeServerUpdate({ ...server, id: "i-1@2" }, 5));
  assert.equal(listIds(registry), ["i-1@2"]);
});

test("draining instances are forgotten after ten minutes, or beyond 4,096", () => {
  const clock = createFakeClock();
  const draining = createDrainingInstances(clock);
  assert.ok(draining.add("1"));
  assert.not(draining.add("1"));
  clock.advance(599_000);
  for (let index = 0; index < 5_000; index++) draining.add(`other ${index}`);
  assert.is(draining.count(), 4_096);
  assert.not(draining.has("1"));
  assert.ok(draining.has("other 4999"));
  clock.advance(600_000);
  assert.is(draining.count(), 0);
});

test("a restarted server keeps no state of its former instance", () => {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  const former = makeServer("i-1@1", { registeredName: "i-1" });
  registry.apply(makeServerUpdate(former, 1));
  const [before] = registry.listUsable("s");
  before.load.begin();
  before.health.recordOutcome("unreachable");
  before.health.recordOutcome("unreachable");
  registry.markReplaced("i-1@1");
  const next = { ...former, id: "i-1@2", coldLeftMs: 3_000 };
  registry.apply(makeServerUpdate(next, 2));
  const [after] = registry.listUsable("s");
  assert.is(registry.listAll().length, 1);
  assert.is(after.listed.id, "i-1@2");
  assert.is(after.load.getOwn(), 0);
  assert.is(after.health.isEjected(), false);
  assert.is(after.coldUntilMs, clock.monotonicMs() + 3_000);
  registry.markReplaced("i-1@1");
  assert.is(registry.listUsable("s").length, 1);
});

test("an evacuated domain gets no requests, and is cold after the evacuation", () => {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  registry.apply(
    makeServerUpdate(makeServer("2", { failureDomain: "oslo-b" }), 2),
  );
  const item = { topic: "operations", key: "evacuation/oslo-a" } as const;
  const fact = { kind: "evacuation", failureDomain: "oslo-a" } as const;
  registry.apply({ ...item, version: makeVersion(3), fact });
  assert.equal(listIds(registry), ["2"]);
  registry.apply({ ...item, version: makeVersion(4) });
  const [first, second] = registry.listUsable("s");
  assert.ok(first.coldUntilMs > clock.monotonicMs() + 3_000);
  assert.is(second.coldUntilMs, 0);
});

test("a server in an unknown failure domain is ignored", () => {
  const registry = makeRegistry(createFakeClock());
  registry.apply(makeServerUpdate(makeServer("1", { failureDomain: "x" }), 1));
  assert.equal(listIds(registry), []);
});

test("all VMs together stay within the rate of a cold server", () => {
  const clock = createFakeClock();
  const vms = Array.from({ length: 12 }, (_, index) => `vm-${index}`);
  const limits = vms.map((ownId) =>
    createColdLimit({ clock, ownId, listVms: () => vms })
  );
  const ratePerS = 9.1;
  let maxPerS = 0;
  const sentAtMs: number[] = [];
  for (let stepMs = 0; stepMs < 5_000; stepMs += 5) {
    for (const limit of limits) {
      if (limit.take("cold", ratePerS, "oslo")) sentAtMs.push(stepMs);
    }
    const lastSecond = sentAtMs.filter((atMs) => atMs > stepMs - 1_000);
    maxPerS = Math.max(maxPerS, lastSecond.length);
    clock.advance(5);
  }
  assert.ok(sentAtMs.length > 5 * ratePerS * 0.6, `${sentAtMs.length} sent`);
  assert.ok(maxPerS <= ratePerS * 1.5 + 3, `${maxPerS} in one second`);
});

test("a VM of another region sends no requests to a cold server", () => {
  const limit = createColdLimit({
    clock: createFakeClock(),
    ownId: "far",
    listVms: () => ["near"],
  });
  assert.not(limit.take("cold", 9, "oslo"));
});

// Guards against reports whose order changes, which would be sent again, and
// against reports of servers that are no longer listed.
test("own requests are reported in the order in which servers were listed", () => {
  const registry = makeRegistry(createFakeClock());
  const ids = ["1", "2", "3", "4"];
  ids.forEach((id, index) =>
    registry.apply(makeServerUpdate(makeServer(id), index + 1))
  );
  const [first, , third, fourth] = registry.listUsable("s");
  const list = () => registry.listOwnRequests(() => 0);
  assert.equal(list(), []);
  for (const { load } of [fourth, first, third, first]) load.begin();
  const keys = ids.map(hashToUint32);
  assert.equal(list(), [keys[0], 2, keys[2], 1, keys[3], 1]);
  third.load.end();
  first.load.end();
  assert.equal(list(), [keys[0], 1, keys[3], 1]);
  registry.apply({
    topic: "servers",
    key: "server/4",
    version: makeVersion(5),
  });
  fourth.load.begin();
  assert.equal(list(), [keys[0], 1]);
  fourth.load.end();
  fourth.load.end();
  fourth.load.begin();
  assert.equal(list(), [keys[0], 1]);
});

test("load adds this VM's requests to those the server reports from others", () => {
  const clock = createFakeClock();
  const load = createServerLoad(4, clock, {
    getReported: () => 0,
    getMeanRunMs: () => undefined,
  });
  load.begin();
  load.begin();
  load.report({ running: 4, waiting: 2, slots: 4 });
  assert.is(load.getTotal(), 4);
  load.end();
  assert.is(load.getOwn(), 1);
  clock.advance(1_000);
  assert.is(load.getTotal(), 2);
});

test("the reported load decays with the mean run time of requests", () => {
  const clock = createFakeClock();
  const load = createServerLoad(9, clock, {
    getReported: () => 0,
    getMeanRunMs: () => 4_000,
  });
  load.report({ running: 8, waiting: 0, slots: 9 });
  assert.is(load.getTotal(), 4);
  clock.advance(4_000);
  assert.is(load.getTotal(), 2);
});

test("requests reported by other VMs count at once, and only once", () => {
  const clock = createFakeClock();
  let reported = 3;
  const load = createServerLoad(4, clock, {
    getReported: () => reported,
    getMeanRunMs: () => 2_000,
  });
  load.begin();
  assert.is(load.getTotal(), 4);
  load.report({ running: 4, waiting: 0, slots: 4 });
  assert.is(load.getTotal(), 4);
  load.report({ running: 4, waiting: 2, slots: 4 });
  assert.is(load.getTotal(), 5);
  reported = 0;
  assert.is(load.getTotal(), 2);
});

test("reported requests that have ended are subtracted", () => {
  const clock = createFakeClock();
  const load = createServerLoad(4, clock, {
    getReported: () => 3,
    getMeanRunMs: () => 2_000,
  });
  load.begin();
  for (let count = 0; count < 8; count++) {
    load.report({ running: 1, waiting: 0, slots: 4 });
  }
  assert.ok(load.getTotal() < 1.1, `${load.getTotal()}`);
});

test("a server that is unreachable twice in a row is ejected for a while", () => {
  const clock = createFakeClock();
  const health = createServerHealth(clock);
  health.recordOutcome("unreachable");
  assert.not(health.isEjected());
  health.recordOutcome("unreachable");
  assert.ok(health.isEjected());
  clock.advance(501);
  assert.not(health.isEjected());
  health.recordOutcome("unreachable");
  clock.advance(501);
  assert.ok(health.isEjected(), "the second time lasts longer");
});

test("a server responds by any answer, not by silence", () => {
  const clock = createFakeClock();
  const health = createServerHealth(clock);
  health.recordOutcome("unreachable");
  assert.not(health.hasRespondedSince(0));
  clock.advance(10);
  health.recordOutcome("shed");
  assert.ok(health.hasRespondedSince(10));
  assert.not(health.hasRespondedSince(11));
});

test("a server that sheds requests is not a failing one", () => {
  const health = createServerHealth(createFakeClock());
  for (let count = 0; count < 50; count++) health.recordOutcome("shed");
  assert.is(health.getFailureShare(), 0);
  assert.not(health.isEjected());
});

test.run();
