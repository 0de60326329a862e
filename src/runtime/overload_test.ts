import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "./clock.ts";
import { watchOverload } from "./overload.ts";

test("a loop that is busy again and again is an overload, once is not", () => {
  const clock = createFakeClock();
  let use = 0.3;
  const changes: boolean[] = [];
  const note = (next: boolean) => void changes.push(next);
  const watch = watchOverload(clock, note, () => use);
  const run = (next: number, durationMs: number) => {
    use = next;
    clock.advance(durationMs);
  };
  run(1, 500);
  run(0.3, 250);
  assert.equal(changes, []);
  run(1, 750);
  assert.ok(watch.isOverloaded());
  run(0.5, 1_750);
  run(0.9, 250);
  assert.ok(watch.isOverloaded());
  run(0.5, 2_000);
  assert.equal(changes, [true, false]);
  watch.stop();
});

test.run();
