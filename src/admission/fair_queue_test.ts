import * as assert from "uvu/assert";
import { test } from "uvu";
import { computeRetryAfterS, decideAdmission } from "./admission_control.ts";
import { createFairQueue, FairQueue } from "./fair_queue.ts";

function enqueueTasks(queue: FairQueue, weight: number, count: number): void {
  for (let index = 0; index < count; index++) {
    const run = () => Promise.resolve(weight);
    queue.enqueue(run, { priority: weight, id: `${weight} ${index}` });
  }
}

test("classes share turns by weight, and none starves", async () => {
  const queue = new FairQueue();
  enqueueTasks(queue, 1, 90);
  enqueueTasks(queue, 2, 90);
  const served = { 1: 0, 2: 0 };
  for (let count = 0; count < 90; count++) {
    const weight = await queue.dequeue()!() as 1 | 2;
    if (count === 0) assert.is(weight, 2);
    served[weight] += 1;
  }
  assert.equal(served, { 1: 10, 2: 80 });
});

test("a class that was idle gets no extra turns afterwards", async () => {
  const queue = new FairQueue();
  enqueueTasks(queue, 1, 100);
  for (let count = 0; count < 50; count++) queue.dequeue();
  enqueueTasks(queue, 2, 20);
  const order: unknown[] = [];
  for (let count = 0; count < 18; count++) order.push(await queue.dequeue()!());
  const light = order.filter((weight) => weight === 1).length;
  assert.ok(light >= 1 && light <= 2, `${light} tasks of weight 1 in 18`);
});

test("an aborted task is removed from the queue", async () => {
  const { queue, waiting } = createFairQueue();
  let release = () => {};
  const first = queue.add(() => new Promise<void>((done) => release = done));
  const controller = new AbortController();
  let ran = false;
  const second = queue.add(async () => {
    await Promise.resolve();
    ran = true;
  }, { signal: controller.signal, id: "second", priority: 1 });
  assert.is(waiting.size, 1);
  controller.abort(new Error("aborted"));
  assert.is(waiting.size, 0);
  await second.then(() => assert.unreachable(), () => {});
  release();
  await first;
  assert.is(ran, false);
});

const idleInput = {
  remainingMs: 1_000,
  serviceMs: 100,
  limit: 10,
  inFlight: 0,
  waitingInClass: 0,
  classShare: 1,
};
const admissionCases: [string, Partial<typeof idleInput>, string][] = [
  ["a free slot", {}, "admit"],
  ["a short queue", { inFlight: 10, waitingInClass: 20 }, "admit"],
  ["a queue that is too long", { inFlight: 10, waitingInClass: 90 }, "refuse"],
  [
    "a queue that is too long for a class of low weight",
    { inFlight: 10, waitingInClass: 20, classShare: 0.1 },
    "refuse",
  ],
  ["no server", { limit: 0 }, "refuse"],
  ["no time left", { remainingMs: 50 }, "refuse"],
  ["just enough time and a free slot", { remainingMs: 120 }, "admit"],
];

for (const [name, changes, expected] of admissionCases) {
  test(`${name}: ${expected}`, () => {
    const { decision } = decideAdmission({ ...idleInput, ...changes });
    assert.is(decision, expected);
  });
}

test("callers refused at the same time get different times to retry after", () => {
  const times = [0, 0.3, 0.6, 0.9].map((random) =>
    computeRetryAfterS(8_000, random)
  );
  assert.equal(times, [4, 7, 9, 12]);
  assert.is(computeRetryAfterS(0, 0), 1);
});

test.run();
