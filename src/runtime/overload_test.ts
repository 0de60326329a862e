import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "./clock.ts";
import { startOverloadMonitor } from "./overload.ts";

test("only a persistently busy event loop counts as overload", () => {
  const clock = createFakeClock();
  let utilization = 0.3;
  const changes: boolean[] = [];
  const recordChange = (isOverloaded: boolean) =>
    void changes.push(isOverloaded);
  const monitor = startOverloadMonitor(
    clock,
    recordChange,
    () => utilization,
  );
  const run = (next: number, durationMs: number) => {
    utilization = next;
    clock.advance(durationMs);
  };
  run(1, 500);
  run(0.3, 250);
  assert.equal(changes, []);
  run(1, 750);
  assert.ok(monitor.isOverloaded());
  run(0.5, 1_750);
  run(0.9, 250);
  assert.ok(monitor.isOverloaded());
  run(0.5, 2_000);
  assert.equal(changes, [true, false]);
  monitor.stop();
});

test.run();
