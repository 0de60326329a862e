import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRandom } from "../runtime/random.ts";
import {
  createObjectCacheModel,
  MAX_TRACKED_OBJECTS,
} from "./object_cache_model.ts";
import { createCacheSizeEstimator } from "./cache_size.ts";

test("the estimate is the number of tracked objects until an answer shows a miss", () => {
  const estimator = createCacheSizeEstimator();
  assert.is(estimator.getCacheSize("s"), MAX_TRACKED_OBJECTS);
  estimator.record("s", 3, true);
  assert.is(estimator.getCacheSize("s"), MAX_TRACKED_OBJECTS);
  estimator.record("s", 40, false);
  assert.is(estimator.getCacheSize("s"), 40);
  assert.is(estimator.getCacheSize("other"), MAX_TRACKED_OBJECTS);
});

/** Guards against the initial bound being used as a size. */
test("a size is learned from enough hits, and bounded by misses", () => {
  const estimator = createCacheSizeEstimator();
  for (let count = 0; count < 63; count++) {
    estimator.record("s", count % 7, true);
  }
  assert.is(estimator.getLearnedCacheSize("s"), undefined);
  estimator.record("s", 6, true);
  const learned = estimator.getLearnedCacheSize("s");
  assert.ok(learned !== undefined && learned > 7 && learned < 12);
  estimator.record("s", 9, false);
  assert.is(estimator.getLearnedCacheSize("s"), 9);
});

test("the object requested last counts as cached whatever answers show", () => {
  const estimator = createCacheSizeEstimator();
  for (let count = 0; count < 10; count++) estimator.record("s", 0, false);
  assert.is(estimator.getCacheSize("s"), 2);
});

test("single outliers barely change the estimate", () => {
  const estimator = createCacheSizeEstimator();
  for (let count = 0; count < 20; count++) {
    for (let depth = 0; depth < 20; depth++) {
      estimator.record("s", depth, depth < 12 || count % 10 === 0);
    }
  }
  estimator.record("s", 5, false);
  assert.is(estimator.getCacheSize("s"), 12);
});

/**
 * Simulates random requests for 60 objects to a server that caches `cacheSize`
 * of them, where one answer in twenty is classified wrongly.
 */
function estimateCacheSize(cacheSize: number, requests: number): number {
  const random = createRandom(7);
  const cacheModel = createObjectCacheModel();
  const estimator = createCacheSizeEstimator();
  for (let count = 0; count < requests; count++) {
    const object = `${Math.floor(60 * random() ** 2)}`;
    const depth = cacheModel.recordRequest("1", object);
    if (depth === undefined) continue;
    const isMisclassified = random() < 0.05;
    estimator.record("s", depth, (depth < cacheSize) !== isMisclassified);
  }
  return estimator.getCacheSize("s");
}

test("the estimate is within three objects of the cache size", () => {
  for (const cacheSize of [5, 8, 13, 17, 30]) {
    const estimate = estimateCacheSize(cacheSize, 400);
    assert.ok(
      Math.abs(estimate - cacheSize) <= 3,
      `${estimate} for ${cacheSize}`,
    );
  }
});

test.run();
