import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeReachability,
  makeRegistry,
  makeServer,
  makeServerUpdate,
  makeVmIdentity,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import type { ReachabilityReport } from "./reachability.ts";

/** A VM that knows nine servers of a service. */
function start(changes: Parameters<typeof makeReachability>[3] = {}) {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (let id = 1; id <= 9; id++) {
    registry.apply(makeServerUpdate(makeServer(`${id}`), id));
  }
  const self = makeVmIdentity("vm-1");
  const reachability = makeReachability(clock, registry, self, changes);
  return {
    clock,
    registry,
    reachability,
    getAvoidance: (id: string) => reachability.getAvoidance(makeServer(id)),
    /** Records responses of some servers, which show that the link works. */
    reachOthers(...ids: string[]) {
      for (const id of ids) reachability.recordOwn(id, "responded");
    },
  };
}

let stampMs = 0;

/** A report of a VM that reached 20 servers. */
function report(
  by: string,
  failureDomain: string,
  changes: Partial<ReachabilityReport> = {},
): ReachabilityReport {
  return {
    server: "1",
    by,
    failureDomain,
    news: "unreachable",
    stampMs: ++stampMs,
    ageMs: 50,
    reached: 20,
    ...changes,
  };
}

test("a report makes a server the last choice, two failure domains exclude it", () => {
  const { reachability, getAvoidance } = start();
  assert.is(getAvoidance("1"), "none");
  reachability.receive([report("vm-2", "oslo-b")]);
  assert.is(getAvoidance("1"), "last");
  reachability.receive([report("vm-3", "oslo-b")]);
  assert.is(getAvoidance("1"), "last", "the same failure domain");
  reachability.receive([report("vm-4", "bergen-a")]);
  assert.is(getAvoidance("1"), "excluded");
  assert.is(getAvoidance("2"), "none");
});

test("a report together with an own outcome excludes a server", () => {
  for (const outcome of ["unreachable", "unanswered"] as const) {
    const { reachability, getAvoidance } = start();
    reachability.recordOwn("1", outcome);
    assert.is(getAvoidance("1"), "none", "left to the own health check");
    reachability.receive([report("vm-2", "oslo-b")]);
    assert.is(getAvoidance("1"), "excluded");
  }
});

test("a VM ignores reports from before its last response, and tells the others", () => {
  const { clock, reachability, getAvoidance } = start();
  reachability.recordOwn("1", "responded");
  clock.advance(100);
  reachability.receive([report("vm-2", "oslo-b", { ageMs: 150 })]);
  assert.is(getAvoidance("1"), "none");
  const [told] = reachability.takeReports();
  assert.is(told.news, "responded");
  assert.is(told.ageMs, 100);
});

test("a response at any VM ends the avoidance", () => {
  const own = start();
  own.reachability.receive([report("vm-2", "a"), report("vm-3", "b")]);
  own.reachability.recordOwn("1", "responded");
  assert.is(own.getAvoidance("1"), "none");
  const [told] = own.reachability.takeReports();
  assert.is(told.news, "responded");

  const other = start();
  other.reachability.receive([report("vm-2", "a"), report("vm-3", "b")]);
  assert.equal(other.reachability.receive([told]), [], "of this VM itself");
  other.reachability.receive([{ ...told, by: "vm-4" }]);
  assert.is(other.getAvoidance("1"), "none");
  other.reachability.receive([report("vm-5", "c", { ageMs: 10 })]);
  assert.is(other.getAvoidance("1"), "none", "older than the response");
});

test("a report ends after 4 s, and a late one counts for the rest", () => {
  const { clock, reachability, getAvoidance } = start();
  reachability.receive([report("vm-2", "a"), report("vm-3", "b")]);
  clock.advance(3_900);
  assert.is(getAvoidance("1"), "excluded");
  clock.advance(150);
  assert.is(getAvoidance("1"), "none");
  reachability.receive([report("vm-2", "a", { ageMs: 3_000 })]);
  assert.is(getAvoidance("1"), "last");
  clock.advance(1_100);
  assert.is(getAvoidance("1"), "none");
  const old = report("vm-2", "a", { ageMs: 4_100 });
  assert.equal(reachability.receive([old]), []);
});

// Guards against reports that hubs relay to each other without end.
test("a report is relayed once, however late it arrives again", () => {
  const { clock, reachability, getAvoidance } = start();
  const late = report("vm-2", "a");
  const newer = report("vm-2", "a", { news: "responded", ageMs: 0 });
  assert.equal(reachability.receive([late]), [late]);
  assert.equal(reachability.receive([late]), []);
  assert.equal(reachability.receive([newer]), [newer]);
  clock.advance(20_000);
  assert.equal(reachability.receive([late]), []);
  assert.is(getAvoidance("1"), "none");
});

// Guards against avoiding the server that follows at the same address.
test("reports don't apply to the next instance of a server", () => {
  const { reachability, getAvoidance } = start();
  reachability.receive([report("vm-2", "a"), report("vm-3", "b")]);
  assert.is(getAvoidance("1"), "excluded");
  assert.is(getAvoidance("1@2"), "none");
});

// Guards against moving the load of a service to a few servers.
test("at most a third of a service's servers is avoided", () => {
  const { reachability, getAvoidance } = start();
  const reportAll = (server: string) =>
    reachability.receive([
      report("vm-2", "a", { server }),
      report("vm-3", "b", { server }),
    ]);
  for (const id of ["1", "2", "3"]) reportAll(id);
  assert.is(getAvoidance("3"), "excluded");
  reportAll("4");
  for (const id of ["1", "2", "3", "4"]) assert.is(getAvoidance(id), "none");
  reachability.recordOwn("4", "responded");
  assert.is(getAvoidance("3"), "excluded");
});

// The failure: the link of a VM breaks, so that it finds all servers silent.
test("a VM whose own link is broken reports no server", () => {
  const { clock, reachability, reachOthers } = start();
  reachOthers("7", "8", "9");
  // The first connect attempt on the broken link times out 400 ms later.
  clock.advance(300);
  for (let id = 1; id <= 9; id++) {
    clock.advance(100);
    reachability.recordOwn(`${id}`, "unreachable");
    assert.equal(reachability.takeReports(), []);
  }
  reachOthers("1", "2");
  assert.equal(reachability.takeReports(), [], "reaches few of them again");
  clock.advance(3_000);
  reachability.takeReports();
  assert.not(reachability.hasPending());
});

// The same failure, where the VM sends reports nevertheless.
test("reports of a VM that reaches none or few others have no effect", () => {
  const { reachability, getAvoidance } = start();
  reachability.receive([report("vm-2", "a", { reached: 0 })]);
  assert.is(getAvoidance("1"), "none");
  const many = ["1", "2", "3"].map((server) =>
    report("vm-3", "b", { server, reached: 5 })
  );
  reachability.receive(many.slice(0, 2));
  assert.is(getAvoidance("1"), "last");
  reachability.receive(many.slice(2));
  for (const id of ["1", "2", "3"]) assert.is(getAvoidance(id), "none");
});

test("an unreachable server is reported once others responded", () => {
  const { clock, reachability, reachOthers } = start();
  reachability.recordOwn("1", "unreachable");
  assert.equal(reachability.takeReports(), []);
  clock.advance(500);
  reachOthers("2", "3");
  const [sent] = reachability.takeReports();
  assert.is(sent.server, "1");
  assert.is(sent.news, "unreachable");
  assert.is(sent.ageMs, 500);
  assert.is(sent.reached, 2);
  reachability.recordOwn("1", "unreachable");
  assert.equal(reachability.takeReports(), [], "sent within the last second");
  reachability.recordOwn("1", "responded");
  assert.is(reachability.takeReports()[0].news, "responded");
});

// Guards against reporting healthy servers for the requests that take longest.
test("a request without a response is reported if two before it had none", () => {
  const { reachability, reachOthers } = start();
  reachOthers("2", "3");
  for (const outcome of ["unanswered", "responded"] as const) {
    reachability.recordOwn("1", outcome);
    reachability.recordOwn("1", "unanswered");
    assert.equal(reachability.takeReports(), []);
  }
  reachability.recordOwn("1", "unanswered");
  assert.equal(reachability.takeReports(), []);
  reachability.recordOwn("1", "unanswered");
  assert.is(reachability.takeReports().length, 1);
});

// Guards against reports from just after the VM's link broke.
test("responses before an unanswered request don't show that the link works", () => {
  const { clock, reachability, reachOthers } = start();
  reachability.recordOwn("1", "unanswered");
  reachability.recordOwn("1", "unanswered");
  reachOthers("2", "3");
  clock.advance(1);
  reachability.recordOwn("1", "unanswered");
  assert.equal(reachability.takeReports(), []);
  reachOthers("2", "3");
  assert.is(reachability.takeReports().length, 1);
});

test("what two failure domains have just reported is not sent again", () => {
  const { clock, reachability, reachOthers } = start();
  reachability.receive([report("vm-2", "a"), report("vm-3", "b")]);
  reachOthers("2", "3");
  reachability.recordOwn("1", "unreachable");
  assert.equal(reachability.takeReports(), []);
  clock.advance(1_000);
  reachOthers("2", "3");
  reachability.recordOwn("1", "unreachable");
  assert.is(reachability.takeReports().length, 1, "a renewal");
});

// Guards against a flood of requests to a server that may be gone.
test("one trial at a time is due, at a time that each VM draws", () => {
  const { clock, reachability } = start({ countVms: () => 8 });
  assert.not(reachability.isTrialDue("1"));
  reachability.receive([report("vm-2", "a")]);
  clock.advance(1_900);
  assert.not(reachability.isTrialDue("1"), "1 s + 0.5 x 8 x 250 ms");
  clock.advance(100);
  assert.ok(reachability.isTrialDue("1"));
  reachability.beginTrial("1");
  assert.not(reachability.isTrialDue("1"));
  reachability.endTrial("1");
  assert.ok(reachability.isTrialDue("1"));
  reachability.receive([report("vm-2", "a")]);
  assert.not(reachability.isTrialDue("1"), "reported again");
});

// Guards against withdrawing a failure with a response from before it.
test("a response is not told to others after a newer failure", () => {
  for (const isSent of [false, true]) {
    const { clock, reachability, reachOthers } = start();
    reachability.recordOwn("1", "responded");
    reachOthers("2", "3");
    clock.advance(100);
    reachability.recordOwn("1", "unreachable");
    const before = isSent ? reachability.takeReports() : [];
    reachability.receive([report("vm-2", "oslo-b", { ageMs: 150 })]);
    const told = [...before, ...reachability.takeReports()];
    assert.equal(told.map(({ news }) => news), ["unreachable"]);
  }
});

// Guards against work for each request long after the last report ended.
test("no reports are held once they have ended", () => {
  const { clock, reachability } = start();
  assert.not(reachability.hasReports());
  reachability.receive([report("vm-2", "a", { news: "responded" })]);
  assert.not(reachability.hasReports());
  reachability.receive([report("vm-2", "a")]);
  assert.ok(reachability.hasReports());
  clock.advance(4_000);
  assert.not(reachability.hasReports());
});

// Guards against one trial after the other at a server that is still silent.
test("a failed trial postpones the next one of this VM", () => {
  for (const outcome of ["unreachable", "unanswered"] as const) {
    const { clock, reachability } = start({ countVms: () => 1 });
    reachability.receive([report("vm-2", "a")]);
    clock.advance(1_200);
    assert.ok(reachability.isTrialDue("1"));
    reachability.beginTrial("1");
    clock.advance(400);
    reachability.recordOwn("1", outcome);
    reachability.endTrial("1");
    assert.not(reachability.isTrialDue("1"));
    clock.advance(1_100);
    assert.not(reachability.isTrialDue("1"), "1 s + 0.5 x 250 ms");
    clock.advance(25);
    assert.ok(reachability.isTrialDue("1"));
  }
});

test("a report that arrives late does not bring the next trial forward", () => {
  const { clock, reachability } = start({ countVms: () => 1 });
  reachability.receive([report("vm-2", "a")]);
  reachability.receive([report("vm-3", "b", { ageMs: 3_000 })]);
  assert.not(reachability.isTrialDue("1"));
  clock.advance(1_075);
  assert.ok(reachability.isTrialDue("1"));
});

// Guards against a server that gets no trial after an attempt failed to end.
test("a trial without an end prevents the next one for 10 s", () => {
  const { clock, reachability } = start();
  reachability.receive([report("vm-2", "a")]);
  clock.advance(20_000);
  reachability.beginTrial("1");
  clock.advance(9_999);
  assert.not(reachability.isTrialDue("1"));
  clock.advance(1);
  assert.ok(reachability.isTrialDue("1"));
});

// Guards against reporting a server that has responded in the meantime.
test("a queued report is dropped when the server responds", () => {
  const { reachability, reachOthers } = start();
  reachability.recordOwn("1", "unreachable");
  reachOthers("1", "2", "3");
  assert.equal(reachability.takeReports(), []);
});

// Guards against receivers that take the second report for a repeated one.
test("reports of the same time have different stamps", () => {
  const { reachability, reachOthers } = start();
  reachOthers("2", "3");
  reachability.recordOwn("1", "unreachable");
  const [failure] = reachability.takeReports();
  reachability.recordOwn("1", "responded");
  const [response] = reachability.takeReports();
  assert.ok(response.stampMs > failure.stampMs);
});

test("requests without a response a minute apart are not counted together", () => {
  const { clock, reachability, reachOthers } = start();
  for (let count = 0; count < 3; count++) {
    clock.advance(60_001);
    reachability.recordOwn("1", "unanswered");
    reachOthers("2", "3");
    assert.equal(reachability.takeReports(), []);
  }
});

test("outcomes are kept for 4,096 servers at most", () => {
  const { reachability } = start();
  reachability.recordOwn("1", "unreachable");
  for (let id = 2; id < 6_000; id++) {
    reachability.recordOwn(`${id}`, "responded");
  }
  const [{ reached }] = reachability.takeReports();
  assert.ok(reached <= 4_096, `${reached}`);
});

// Guards against memory that grows with reports of servers that nobody lists.
test("reports are kept for 1,024 servers at most, until a minute has passed", () => {
  const { clock, reachability } = start();
  let accepted = 0;
  for (let id = 0; id < 1_100; id++) {
    clock.advance(50);
    const server = `other ${id}`;
    accepted += reachability.receive([report("vm-2", "a", { server })]).length;
  }
  assert.is(accepted, 1_024);
  clock.advance(60_100);
  assert.is(reachability.receive([report("vm-2", "a")]).length, 1);
});

test("the reports of 32 VMs about a server are kept at most", () => {
  const { clock, reachability } = start();
  for (let vm = 2; vm < 42; vm++) {
    clock.advance(50);
    reachability.receive([report(`vm-${vm}`, "a")]);
  }
  const [{ reports }] = reachability.list();
  assert.is(reports.length, 32);
  assert.is(reports[0].by, "vm-10", "the oldest are dropped");
});

test("messages and state are bounded", () => {
  const { clock, reachability } = start();
  for (let id = 10; id < 5_000; id++) {
    reachability.recordOwn(`${id}`, "responded");
    if (id < 100) reachability.recordOwn(`other ${id}`, "unreachable");
  }
  assert.is(reachability.takeReports().length, 32);
  const flood = Array.from(
    { length: 2_000 },
    (_, index) => report(`peer-${index}`, "a", { server: `${index}` }),
  );
  assert.is(reachability.receive(flood).length, 20);
  clock.advance(1_000);
  assert.is(reachability.receive(flood).length, 20);
  assert.is(reachability.getStats().dropped, 1_980 + 1_960);
});

test.run();
