import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createProcessEnd } from "../serving/process_end.ts";
import { scheduleProcessEnd } from "./leave.ts";

/** @returns Time from the signal to the end, in ms. */
function getStopMs(graceMs: number): number {
  const clock = createFakeClock();
  const processEnd = createProcessEnd();
  const signalledAtMs = clock.monotonicMs();
  scheduleProcessEnd(processEnd, clock, graceMs);
  return Math.round(processEnd.getMs() - signalledAtMs);
}

// Guards against an exit that cuts requests well before the process is killed.
test("a short grace period is not spent on the exit", () => {
  assert.is(getStopMs(1_200), 1_000);
  assert.is(getStopMs(2_000), 1_667);
});

test("an exit has its time in a longer grace period", () => {
  assert.is(getStopMs(6_000), 5_600);
});

test.run();
