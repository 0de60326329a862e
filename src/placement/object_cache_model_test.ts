import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  createObjectCacheModel,
  MAX_TRACKED_OBJECTS,
} from "./object_cache_model.ts";

const NO_UPDATES = { asked: [], forgotten: [] };

test("depth counts each other object requested since once", () => {
  const model = createObjectCacheModel();
  assert.is(model.recordRequest("1", "a"), undefined);
  assert.is(model.getDepth("1", "a"), 0);
  model.recordRequest("1", "b");
  model.recordRequest("1", "c");
  model.recordRequest("1", "b");
  assert.is(model.getDepth("1", "a"), 2);
  assert.is(model.recordRequest("1", "a"), 2);
  assert.is(model.getDepth("1", "a"), 0);
  assert.is(model.getDepth("2", "a"), undefined);
});

test("updates contain each request once, in order", () => {
  const model = createObjectCacheModel();
  model.recordRequest("1", "a");
  model.recordRequest("2", "b");
  model.recordRequest("1", "a");
  const { asked } = model.takeUpdates();
  assert.is(asked.length, 6);
  assert.equal(asked.slice(0, 2), asked.slice(4));
  assert.equal(model.takeUpdates(), NO_UPDATES);
});

test("updates from another VM count like own requests and aren't passed on", () => {
  const model = createObjectCacheModel();
  const other = createObjectCacheModel();
  other.recordRequest("1", "a");
  other.recordRequest("1", "b");
  model.apply(other.takeUpdates());
  assert.is(model.getDepth("1", "a"), 1);
  assert.equal(model.takeUpdates(), NO_UPDATES);
});

test("an object whose first request failed is removed on all VMs", () => {
  const model = createObjectCacheModel();
  const other = createObjectCacheModel();
  model.recordRequest("1", "a");
  other.apply(model.takeUpdates());
  model.forget("1", "a");
  model.forget("1", "never asked");
  assert.is(model.getDepth("1", "a"), undefined);
  const updates = model.takeUpdates();
  assert.is(updates.forgotten.length, 2);
  other.apply(updates);
  assert.is(other.getDepth("1", "a"), undefined);
});

test("a snapshot gives a VM that starts all tracked objects in order", () => {
  const model = createObjectCacheModel();
  model.recordRequest("1", "a");
  model.recordRequest("1", "b");
  const started = createObjectCacheModel();
  started.apply(model.getSnapshot());
  assert.is(started.getDepth("1", "a"), 1);
  assert.is(started.getDepth("1", "b"), 0);
});

test("the oldest object is dropped beyond the maximum tracked per server", () => {
  const model = createObjectCacheModel();
  model.recordRequest("1", "first");
  for (let count = 0; count < MAX_TRACKED_OBJECTS; count++) {
    model.recordRequest("1", `${count}`);
  }
  assert.is(model.getDepth("1", "first"), undefined);
  assert.is(model.getDepth("1", "0"), MAX_TRACKED_OBJECTS - 1);
});

test.run();
