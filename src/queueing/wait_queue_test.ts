import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerUpdate } from "../gateway/fixture.ts";
import {
  createFleet,
  makeAccount,
  type SingleRequest,
  UPLOADS,
  URGENT_READS,
} from "./fixture.ts";
import { decideWait, type WaitInput } from "./wait_decision.ts";
import { type WaitEntry, WaitingLine } from "./waiting_line.ts";

const UPLOAD: SingleRequest = { route: UPLOADS, workMs: 600 };
const READ: SingleRequest = { route: URGENT_READS, workMs: 60 };
/** An eighth of the target of an upload, and a step of the fake clock. */
const MAX_WAIT_MS = 1_106 / 8 + 5;

/** A VM whose two servers have no slot for uploads, for 300 ms. */
async function startFullVm() {
  const fleet = createFleet({
    vms: 1,
    servers: 2,
    slots: 3,
    competingPriorities: [0, 2],
  });
  const [{ waitQueue, registry }] = fleet.vms;
  void fleet.request(0, READ);
  void fleet.request(0, UPLOAD);
  await fleet.advance(700);
  for (let count = 0; count < 4; count++) void fleet.request(0, UPLOAD);
  await fleet.advance(300);
  const countSent = () =>
    [...fleet.servers.values()].reduce((sum, jobs) => sum + jobs.length, 0);
  assert.is(countSent(), 4);

  /** Sends requests; their results appear in the returned list. */
  function send(request: SingleRequest, signal?: AbortSignal): string[] {
    const results: string[] = [];
    void fleet.request(0, request, signal).then((result) => {
      assert.ok(result.kind !== "refused" || result.retryAfterMs >= 60);
      results.push("reason" in result ? result.reason : result.kind);
    });
    return results;
  }

  return { fleet, waitQueue, registry, countSent, send };
}

// Guards against refusals of requests for which a slot is about to be free.
test("a request that waits is sent once an attempt ends", async () => {
  const { fleet, waitQueue, countSent, send } = await startFullVm();
  await fleet.advance(200);
  const results = send(UPLOAD);
  await fleet.advance(5);
  assert.is(waitQueue.getStats().waiting, 1);
  await fleet.advance(110);
  assert.is(waitQueue.getStats().ended.placed, 1);
  assert.is(countSent(), 1);
  await fleet.advance(700);
  assert.equal(results, ["answer"]);
});

// Guards against an account that fills the queue before others get a turn.
test("an account that sends many requests waits behind one that sends a single one", async () => {
  const { fleet, waitQueue, send } = await startFullVm();
  await fleet.advance(200);
  const burst = { ...UPLOAD, account: makeAccount("burst", 2) };
  const usual = { ...UPLOAD, account: makeAccount("usual", 2) };
  const burstResults = Array.from({ length: 6 }, () => send(burst));
  const usualResult = send(usual);
  await fleet.advance(5);
  assert.is(waitQueue.getStats().waiting, 7);
  await fleet.advance(200);
  assert.is(waitQueue.getStats().ended.placed, 4);
  await fleet.advance(700);
  const answered = burstResults.flat().filter((result) => result === "answer");
  assert.is(answered.length, 3);
  assert.equal(usualResult, ["answer"]);
});

// Guards against requests that are held longer than callers were promised, or
// that were sent and are reported as not run.
test("a request waits an eighth of its target, and then it is refused unsent", async () => {
  const { fleet, waitQueue, countSent, send } = await startFullVm();
  const results = send(UPLOAD);
  await fleet.advance(130);
  assert.equal(results, []);
  await fleet.advance(MAX_WAIT_MS - 130);
  assert.equal(results, ["all_full"]);
  assert.is(countSent(), 4);
  assert.is(waitQueue.getStats().ended.refused, 1);
});

// Guards against a minimum time between tries that prolongs the wait.
test("a try shortly before the end of a wait does not prolong it", async () => {
  const { fleet, waitQueue, send } = await startFullVm();
  const results = send(UPLOAD);
  await fleet.advance(130);
  waitQueue.notifyAll();
  await fleet.advance(MAX_WAIT_MS - 130);
  assert.equal(results, ["all_full"]);
});

// Guards against requests that wait for servers that no longer exist.
test("when servers vanish, requests that wait for them are refused at once", async () => {
  const { fleet, waitQueue, registry, countSent, send } = await startFullVm();
  const results = send(UPLOAD);
  await fleet.advance(5);
  for (const id of ["0", "1"]) {
    const update = makeServerUpdate(makeServer(id), 9);
    registry.apply({ ...update, fact: undefined });
  }
  waitQueue.notifyAll();
  await fleet.advance(5);
  assert.equal(results, ["no_server"]);
  assert.is(countSent(), 4);
  assert.is(waitQueue.getStats().waiting, 0);
});

// Guards against work for clients that are gone.
test("a request whose client disconnects leaves the queue and is not sent", async () => {
  const { fleet, waitQueue, countSent, send } = await startFullVm();
  const client = new AbortController();
  const results = send(UPLOAD, client.signal);
  await fleet.advance(5);
  client.abort();
  await fleet.advance(5);
  assert.equal(results, ["client_left"]);
  assert.is(waitQueue.getStats().waiting, 0);
  await fleet.advance(400);
  assert.is(countSent(), 0);
});

// Guards against requests that are cut off when their VM stops.
test("a VM that shuts down refuses what waits, and lets nothing wait", async () => {
  const { fleet, waitQueue, send } = await startFullVm();
  const waiting = send(UPLOAD);
  await fleet.advance(5);
  waitQueue.stop();
  const arriving = send(UPLOAD);
  await fleet.advance(5);
  assert.equal([...waiting, ...arriving], ["all_full", "all_full"]);
});

// Guards against waiting requests without bound, and against a bound that less
// urgent requests use up.
test("beyond the bound, the least urgent request is displaced at once", async () => {
  const { fleet, waitQueue, send } = await startFullVm();
  const upload = { ...UPLOAD, bodyBytes: 1_500_000 };
  const [soon, later] = [send(upload), send(upload)];
  const urgent = send({ ...upload, account: makeAccount("urgent", 1) });
  await fleet.advance(5);
  assert.equal([soon, later, urgent], [[], ["all_full"], []]);
  const { waiting, waitingBytes, displaced } = waitQueue.getStats();
  assert.equal([waiting, waitingBytes, displaced], [2, 3_000_000, 1]);
  const arriving = send(upload);
  await fleet.advance(5);
  assert.equal([arriving, soon], [["all_full"], []]);
});

// Guards against a service with one priority that is served in another way.
test("where nothing competes, nothing waits", async () => {
  const fleet = createFleet({
    vms: 1,
    servers: 2,
    slots: 1,
    competingPriorities: [2],
  });
  const results = Array.from(
    { length: 9 },
    () => fleet.request(0, UPLOAD).then(({ kind }) => kind),
  );
  await fleet.advance(5);
  assert.is(fleet.vms[0].waitQueue.getStats().waiting, 0);
  assert.is(await results[8], "refused");
});

const WAIT_INPUT: WaitInput = {
  prospect: { waitRuns: 0.2, utilization: 0.6, isCached: false },
  meanRunMs: 400,
  expectedRunMs: 600,
  serviceSlots: 90,
  ahead: 0,
  targetLeftMs: 1_100,
  waitLeftMs: 138,
  isWaiting: false,
};
const WAIT_CASES: [string, Partial<WaitInput>, string][] = [
  ["a slot soon", {}, "wait"],
  ["a target that leaves too little time", { targetLeftMs: 650 }, "late"],
  ["a server that queues it", {
    prospect: { waitRuns: 0.2, utilization: 2, isCached: false },
  }, "late"],
  ["a slot after the bound", {
    prospect: { waitRuns: 0.8, utilization: 0.6, isCached: false },
  }, "long_queue"],
  ["many requests ahead", { ahead: 60 }, "long_queue"],
  ["no more time to wait", { waitLeftMs: 0 }, "time_over"],
  ["no server to wait for", { prospect: undefined }, "no_prospect"],
  ["no known run time", { meanRunMs: undefined }, "unknown_run_time"],
];
for (const [name, changes, expected] of WAIT_CASES) {
  // Guards against requests that are held although they can't be in time.
  test(`${name}: ${expected}`, () => {
    const decision = decideWait({ ...WAIT_INPUT, ...changes });
    assert.is(
      decision.kind === "wait" ? decision.kind : decision.denial,
      expected,
    );
  });
}

function makeEntry(name: string, changes: Partial<WaitEntry>) {
  const entry = {
    priority: 2,
    account: "a",
    targetAtMs: 100,
    isReturning: false,
    ...changes,
  };
  return { name, entry };
}

function fillLine(...entries: ReturnType<typeof makeEntry>[]) {
  const line = new WaitingLine();
  for (const { name, entry } of entries) {
    line.enqueue(() => Promise.resolve(name), { id: name, entry });
  }
  const takeNext = () => line.dequeue()?.();
  return { line, takeNext };
}

// Guards against an account that fills the line before others get a turn.
test("priorities come first, then accounts in turn, then the least time", async () => {
  const { line, takeNext } = fillLine(
    makeEntry("a late", { targetAtMs: 30 }),
    makeEntry("a soon", { targetAtMs: 10 }),
    makeEntry("a last", { targetAtMs: 40 }),
    makeEntry("b", { account: "b", targetAtMs: 90 }),
    makeEntry("urgent", { priority: 0, targetAtMs: 99 }),
  );
  assert.is(line.countAhead(makeEntry("c", { account: "c" }).entry), 3);
  const order = [];
  while (line.size > 0) order.push(await takeNext());
  assert.equal(order, ["urgent", "a soon", "b", "a late", "a last"]);
});

// Guards against accounts that lose their turn by tries without a slot.
test("a request that returns without a slot keeps its account's turn", async () => {
  const again = { targetAtMs: 10, isReturning: true };
  const { line, takeNext } = fillLine(
    makeEntry("a", { targetAtMs: 10 }),
    makeEntry("b", { account: "b", targetAtMs: 20 }),
  );
  assert.is(await takeNext(), "a");
  const { entry } = makeEntry("a again", again);
  line.enqueue(() => Promise.resolve("a again"), { entry });
  assert.is(await takeNext(), "a again");
});

test.run();
