import pino from "pino";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createFreshnessTracker } from "./freshness.ts";
import { startFreshnessMonitor } from "./freshness_monitor.ts";

test("losing and regaining trust is told once each", () => {
  const clock = createFakeClock();
  const told: string[] = [];
  const write = (line: string) => void told.push(JSON.parse(line).msg);
  const log = pino({}, { write });
  const knowledge = createFreshnessTracker({ clock, getVersion: () => 1 });
  const watch = startFreshnessMonitor({
    clock,
    log,
    freshness: knowledge,
    maxAgeMs: 1_000,
  });
  clock.advance(2_000);
  knowledge.recordRead(knowledge.getInstant());
  clock.advance(1_000);
  clock.advance(4_000);
  knowledge.recordRead(knowledge.getInstant());
  clock.advance(600);
  watch.cancel();
  assert.equal(told, [
    "knowledge proven",
    "knowledge too old for keys",
    "knowledge proven",
  ]);
});

test.run();
