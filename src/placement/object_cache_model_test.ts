import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  createObjectCacheModel,
  MAX_TRACKED_OBJECTS,
} from "./object_cache_model.ts";

const NOTHING = { asked: [], forgotten: [] };

test("depth counts the other objects asked for since, each once", () => {
  const memory = createObjectCacheModel();
  assert.is(memory.recordRequest("1", "a"), undefined);
  assert.is(memory.getDepth("1", "a"), 0);
  memory.recordRequest("1", "b");
  memory.recordRequest("1", "c");
  memory.recordRequest("1", "b");
  assert.is(memory.getDepth("1", "a"), 2);
  assert.is(memory.recordRequest("1", "a"), 2);
  assert.is(memory.getDepth("1", "a"), 0);
  assert.is(memory.getDepth("2", "a"), undefined);
});

test("each request is told of, in order, once", () => {
  const memory = createObjectCacheModel();
  memory.recordRequest("1", "a");
  memory.recordRequest("2", "b");
  memory.recordRequest("1", "a");
  const { asked } = memory.takeUpdates();
  assert.is(asked.length, 6);
  assert.equal(asked.slice(0, 2), asked.slice(4));
  assert.equal(memory.takeUpdates(), NOTHING);
});

test("what another VM told counts like own requests, and isn't told on", () => {
  const memory = createObjectCacheModel();
  const other = createObjectCacheModel();
  other.recordRequest("1", "a");
  other.recordRequest("1", "b");
  memory.apply(other.takeUpdates());
  assert.is(memory.getDepth("1", "a"), 1);
  assert.equal(memory.takeUpdates(), NOTHING);
});

test("a first request that failed is taken back everywhere", () => {
  const memory = createObjectCacheModel();
  const other = createObjectCacheModel();
  memory.recordRequest("1", "a");
  other.apply(memory.takeUpdates());
  memory.forget("1", "a");
  memory.forget("1", "never asked");
  assert.is(memory.getDepth("1", "a"), undefined);
  const news = memory.takeUpdates();
  assert.is(news.forgotten.length, 2);
  other.apply(news);
  assert.is(other.getDepth("1", "a"), undefined);
});

test("a VM that starts is told what servers were asked for, oldest first", () => {
  const memory = createObjectCacheModel();
  memory.recordRequest("1", "a");
  memory.recordRequest("1", "b");
  const started = createObjectCacheModel();
  started.apply(memory.getSnapshot());
  assert.is(started.getDepth("1", "a"), 1);
  assert.is(started.getDepth("1", "b"), 0);
});

test("objects beyond those that are followed are forgotten", () => {
  const memory = createObjectCacheModel();
  memory.recordRequest("1", "first");
  for (let count = 0; count < MAX_TRACKED_OBJECTS; count++) {
    memory.recordRequest("1", `${count}`);
  }
  assert.is(memory.getDepth("1", "first"), undefined);
  assert.is(memory.getDepth("1", "0"), MAX_TRACKED_OBJECTS - 1);
});

test.run();
