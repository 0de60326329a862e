import pino from "pino";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createFreshnessTracker } from "./freshness.ts";
import { startFreshnessMonitor } from "./freshness_monitor.ts";

test("each change between recent and too old is logged once", () => {
  const clock = createFakeClock();
  const messages: string[] = [];
  const write = (line: string) => void messages.push(JSON.parse(line).msg);
  const log = pino({}, { write });
  const freshness = createFreshnessTracker({ clock, getVersion: () => 1 });
  const monitor = startFreshnessMonitor({
    clock,
    log,
    freshness,
    maxAgeMs: 1_000,
  });
  clock.advance(2_000);
  freshness.recordRead(freshness.getInstant());
  clock.advance(1_000);
  clock.advance(4_000);
  freshness.recordRead(freshness.getInstant());
  clock.advance(600);
  monitor.cancel();
  assert.equal(messages, [
    "configuration recent enough for API keys",
    "configuration too old for API keys",
    "configuration recent enough for API keys",
  ]);
});

test.run();
