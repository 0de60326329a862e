import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeVmIdentity } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createMemberTable } from "./table.ts";
import type { VmIdentity, VmState } from "./types.ts";
import { createViewSender } from "./view_sender.ts";

function makeVm(id: string, incarnation = "1"): VmIdentity {
  return makeVmIdentity(id, { incarnation });
}

function tell(id: string, state: VmState = "serving", incarnation = "1") {
  return { identity: makeVm(id, incarnation), state };
}

function startTable() {
  const clock = createFakeClock();
  const table = createMemberTable("self", clock);
  const listServing = () => table.listServing().map(({ id }) => id).sort();
  return { clock, table, listServing };
}

test("changes of a hub's view follow on from each other", () => {
  const { table, listServing } = startTable();
  const teller = createViewSender("fleet");
  table.applyView("hub", teller.makeSnapshot());
  table.applyView("hub", teller.update([tell("1"), tell("2")], {}));
  assert.equal(listServing(), ["1", "2"]);
  const next = [tell("1", "leaving"), tell("3"), tell("self")];
  table.applyView("hub", teller.update(next, {}));
  assert.equal(listServing(), ["3"]);
});

test("a view that doesn't follow on is not taken; all of it is", () => {
  const { table, listServing } = startTable();
  const teller = createViewSender("fleet");
  teller.update([tell("1")], {});
  assert.not(table.applyView("hub", teller.update([tell("1"), tell("2")], {})));
  assert.equal(listServing(), []);
  assert.ok(table.applyView("hub", teller.makeSnapshot()));
  assert.equal(listServing(), ["1", "2"]);
});

test("views of both scopes of one hub are never taken for each other", () => {
  const { table } = startTable();
  const fleet = createViewSender("fleet");
  const linked = createViewSender("linked");
  table.applyView("hub", fleet.makeSnapshot());
  assert.not(table.applyView("hub", linked.update([tell("1")], {})));
});

test("what a hub told holds while it is heard", () => {
  const { clock, table, listServing } = startTable();
  const teller = createViewSender("linked");
  table.applyView("hub", teller.makeSnapshot());
  table.applyView("hub", teller.update([tell("1")], {}));
  for (let count = 0; count < 5; count++) {
    clock.advance(800);
    table.applyView("hub", teller.update([tell("1")], {}));
    assert.equal(listServing(), ["1"]);
  }
  clock.advance(2_000);
  assert.equal(listServing(), []);
});

test("a VM that one of two hubs lost is up while the other is linked to it", () => {
  const { table, listServing } = startTable();
  for (const hub of ["hub-1", "hub-2"]) {
    const teller = createViewSender("linked");
    teller.update([tell("1")], {});
    table.applyView(hub, teller.makeSnapshot());
  }
  table.dropView("hub-1");
  assert.equal(listServing(), ["1"]);
  table.dropView("hub-2");
  assert.equal(listServing(), []);
});

test("hubs don't vouch for what they were only told", () => {
  const { table } = startTable();
  const teller = createViewSender("fleet");
  teller.update([tell("1")], {});
  table.applyView("hub", teller.makeSnapshot());
  assert.is(table.listAlive().length, 1);
  assert.is(table.listLinkedToAnyHub().length, 0);
});

test("VMs heard of lately may be up, later only those that are", () => {
  const { clock, table } = startTable();
  const far = { ...makeVm("far"), region: "bergen" };
  for (const vm of [makeVm("1"), makeVm("2"), far]) table.recordDiscovered(vm);
  const listPossible = () =>
    table.listHubCandidates().map(({ id }) => id).sort();
  table.recordHello(makeVm("1"));
  table.recordHello(makeVm("2"));
  table.recordDisconnect("2");
  assert.equal(listPossible(), ["1", "2", "far"]);
  clock.advance(4_001);
  table.recordHello(makeVm("1"));
  assert.equal(listPossible(), ["1", "far"]);
  table.recordHello(far);
  table.recordDisconnect("1");
  assert.equal(listPossible(), ["1", "2", "far"]);
});

test("of two starts of a VM the later one holds", () => {
  const { table } = startTable();
  for (const [hub, incarnation] of [["hub-1", "2"], ["hub-2", "1"]]) {
    const teller = createViewSender("linked");
    teller.update([tell("1", "serving", incarnation)], {});
    table.applyView(hub, teller.makeSnapshot());
  }
  assert.is(table.listServing()[0].incarnation, "2");
});

test.run();
