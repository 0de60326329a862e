import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeClock } from "../runtime/clock.ts";
import { createDeadlineTimers } from "./deadline_timers.ts";

/** @returns Timers, with the names and times of those that ran. */
function createScene() {
  const clock = createFakeClock();
  const timers = createDeadlineTimers(clock);
  const runs: string[] = [];
  const start = (name: string, delayMs: number) =>
    timers.after(
      delayMs,
      () => void runs.push(`${name} ${Math.round(clock.monotonicMs())}`),
    );
  return { clock, timers, runs, start };
}

// Guards against a request that outlives its deadline since the shared timer
// was started for a later one.
test("each timer runs at its own time, whatever the order of starts", () => {
  const { clock, runs, start } = createScene();
  start("late", 300.7);
  start("early", 100.2);
  clock.advance(50);
  start("between", 150.4);
  clock.advance(1_000);
  assert.equal(runs, ["early 100", "between 200", "late 301"]);
});

// Guards against deadlines that are lost with the one that the shared timer was
// started for.
test("a cancelled timer does not run, and later ones still do", () => {
  const { clock, runs, start } = createScene();
  const first = start("first", 100);
  start("second", 200);
  first.cancel();
  first.cancel();
  clock.advance(150);
  assert.equal(runs, []);
  clock.advance(150);
  assert.equal(runs, ["second 200"]);
  start("third", 100);
  clock.advance(100);
  assert.equal(runs, ["second 200", "third 400"]);
});

// Guards against the abort of a request that has ended, where the end of one
// request cancels another in the same step.
test("a timer that another one cancels when both are due does not run", () => {
  const { clock, timers, runs, start } = createScene();
  timers.after(100, () => second.cancel());
  const second = start("second", 100.5);
  timers.after(100, () => void start("third", 0));
  clock.advance(200);
  assert.equal(runs, ["third 100"]);
});

test.run();
