import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRandom } from "../runtime/random.ts";
import { createObjectMemory, MAX_DEPTH } from "./memory.ts";
import { createRetention } from "./retention.ts";

test("servers are taken to keep all that is followed until answers say otherwise", () => {
  const retention = createRetention();
  assert.is(retention.getKept("s"), MAX_DEPTH);
  retention.note("s", 3, true);
  assert.is(retention.getKept("s"), MAX_DEPTH);
  retention.note("s", 40, false);
  assert.is(retention.getKept("s"), 40);
  assert.is(retention.getKept("other"), MAX_DEPTH);
});

test("what was asked for just now is known, whatever answers say", () => {
  const retention = createRetention();
  for (let count = 0; count < 10; count++) retention.note("s", 0, false);
  assert.is(retention.getKept("s"), 2);
});

test("single answers that took strangely long change little", () => {
  const retention = createRetention();
  for (let count = 0; count < 20; count++) {
    for (let depth = 0; depth < 20; depth++) {
      retention.note("s", depth, depth < 12 || count % 10 === 0);
    }
  }
  retention.note("s", 5, false);
  assert.is(retention.getKept("s"), 12);
});

/**
 * Replays servers that keep `kept` objects, asked for 60 by turns and chance,
 * where one answer in twenty is wrong about what it shows.
 */
function learn(kept: number, requests: number): number {
  const random = createRandom(7);
  const memory = createObjectMemory();
  const retention = createRetention();
  for (let count = 0; count < requests; count++) {
    const object = `${Math.floor(60 * random() ** 2)}`;
    const depth = memory.note("1", object);
    if (depth === undefined) continue;
    const isMisread = random() < 0.05;
    retention.note("s", depth, (depth < kept) !== isMisread);
  }
  return retention.getKept("s");
}

test("how many objects servers keep is learned within three, whichever it is", () => {
  for (const kept of [5, 8, 13, 17, 30]) {
    const learned = learn(kept, 400);
    assert.ok(Math.abs(learned - kept) <= 3, `${learned} for ${kept}`);
  }
});

test.run();
