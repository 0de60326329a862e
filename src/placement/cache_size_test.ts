import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRandom } from "../runtime/random.ts";
import {
  createObjectCacheModel,
  MAX_TRACKED_OBJECTS,
} from "./object_cache_model.ts";
import { createCacheSizeEstimator } from "./cache_size.ts";

test("servers are taken to keep all that is followed until answers say otherwise", () => {
  const retention = createCacheSizeEstimator();
  assert.is(retention.getCacheSize("s"), MAX_TRACKED_OBJECTS);
  retention.record("s", 3, true);
  assert.is(retention.getCacheSize("s"), MAX_TRACKED_OBJECTS);
  retention.record("s", 40, false);
  assert.is(retention.getCacheSize("s"), 40);
  assert.is(retention.getCacheSize("other"), MAX_TRACKED_OBJECTS);
});

test("what was asked for just now is known, whatever answers say", () => {
  const retention = createCacheSizeEstimator();
  for (let count = 0; count < 10; count++) retention.record("s", 0, false);
  assert.is(retention.getCacheSize("s"), 2);
});

test("single answers that took strangely long change little", () => {
  const retention = createCacheSizeEstimator();
  for (let count = 0; count < 20; count++) {
    for (let depth = 0; depth < 20; depth++) {
      retention.record("s", depth, depth < 12 || count % 10 === 0);
    }
  }
  retention.record("s", 5, false);
  assert.is(retention.getCacheSize("s"), 12);
});

/**
 * Replays servers that keep `kept` objects, asked for 60 by turns and chance,
 * where one answer in twenty is wrong about what it shows.
 */
function learn(kept: number, requests: number): number {
  const random = createRandom(7);
  const memory = createObjectCacheModel();
  const retention = createCacheSizeEstimator();
  for (let count = 0; count < requests; count++) {
    const object = `${Math.floor(60 * random() ** 2)}`;
    const depth = memory.recordRequest("1", object);
    if (depth === undefined) continue;
    const isMisread = random() < 0.05;
    retention.record("s", depth, (depth < kept) !== isMisread);
  }
  return retention.getCacheSize("s");
}

test("how many objects servers keep is learned within three, whichever it is", () => {
  for (const kept of [5, 8, 13, 17, 30]) {
    const learned = learn(kept, 400);
    assert.ok(Math.abs(learned - kept) <= 3, `${learned} for ${kept}`);
  }
});

test.run();
