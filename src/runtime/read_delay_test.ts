import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "./clock.ts";
import { startReadDelay } from "./read_delay.ts";

/** A measurement whose polls end when the test says so. */
function startTestDelay() {
  const clock = createFakeClock();
  const reports: number[] = [];
  let polls: (() => void)[] = [];
  const endPolls = () => {
    polls.forEach((run) => run());
    polls = [];
  };
  const delay = startReadDelay({
    clock,
    onHeldUp: (delayMs) => void reports.push(delayMs),
    afterPoll: (run) => void polls.push(run),
  });
  /** Polls every 50 ms. */
  const idle = (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      clock.advance(50);
      endPolls();
    }
  };
  return { clock, delay, reports, idle, endPolls };
}

test("an idle event loop delays nothing", () => {
  const { clock, delay, reports, idle } = startTestDelay();
  idle(1_000);
  clock.advance(40);
  assert.is(delay.getMs(), 0);
  assert.is(delay.takeMaxMs(), 50);
  assert.equal(reports, []);
});

test("what is read after a blocked event loop has waited nearly all the while", () => {
  const { clock, delay, reports, idle, endPolls } = startTestDelay();
  idle(1_000);
  clock.advance(900);
  assert.is(delay.getMs(), 650, "all but a quarter of a second");
  endPolls();
  assert.is(delay.getMs(), 0);
  assert.is(reports.length, 1);
  assert.is(delay.takeMaxMs(), 900);
  assert.is(delay.takeMaxMs(), 0);
});

test("an event loop that stays busy is reported once a second", () => {
  const { clock, reports, endPolls } = startTestDelay();
  for (let turn = 0; turn < 10; turn++) {
    clock.advance(500);
    endPolls();
  }
  assert.ok(reports.length >= 4 && reports.length <= 6);
});

test.run();
