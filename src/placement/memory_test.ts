import * as assert from "uvu/assert";
import { test } from "uvu";
import { createObjectMemory, MAX_DEPTH } from "./memory.ts";

const NOTHING = { asked: [], forgotten: [] };

test("depth counts the other objects asked for since, each once", () => {
  const memory = createObjectMemory();
  assert.is(memory.note("1", "a"), undefined);
  assert.is(memory.getDepth("1", "a"), 0);
  memory.note("1", "b");
  memory.note("1", "c");
  memory.note("1", "b");
  assert.is(memory.getDepth("1", "a"), 2);
  assert.is(memory.note("1", "a"), 2);
  assert.is(memory.getDepth("1", "a"), 0);
  assert.is(memory.getDepth("2", "a"), undefined);
});

test("each request is told of, in order, once", () => {
  const memory = createObjectMemory();
  memory.note("1", "a");
  memory.note("2", "b");
  memory.note("1", "a");
  const { asked } = memory.takeNews();
  assert.is(asked.length, 6);
  assert.equal(asked.slice(0, 2), asked.slice(4));
  assert.equal(memory.takeNews(), NOTHING);
});

test("what another VM told counts like own requests, and isn't told on", () => {
  const memory = createObjectMemory();
  const other = createObjectMemory();
  other.note("1", "a");
  other.note("1", "b");
  memory.apply(other.takeNews());
  assert.is(memory.getDepth("1", "a"), 1);
  assert.equal(memory.takeNews(), NOTHING);
});

test("a first request that failed is taken back everywhere", () => {
  const memory = createObjectMemory();
  const other = createObjectMemory();
  memory.note("1", "a");
  other.apply(memory.takeNews());
  memory.forget("1", "a");
  memory.forget("1", "never asked");
  assert.is(memory.getDepth("1", "a"), undefined);
  const news = memory.takeNews();
  assert.is(news.forgotten.length, 2);
  other.apply(news);
  assert.is(other.getDepth("1", "a"), undefined);
});

test("a VM that starts is told what servers were asked for, oldest first", () => {
  const memory = createObjectMemory();
  memory.note("1", "a");
  memory.note("1", "b");
  const started = createObjectMemory();
  started.apply(memory.listAsked());
  assert.is(started.getDepth("1", "a"), 1);
  assert.is(started.getDepth("1", "b"), 0);
});

test("objects beyond those that are followed are forgotten", () => {
  const memory = createObjectMemory();
  memory.note("1", "first");
  for (let count = 0; count < MAX_DEPTH; count++) memory.note("1", `${count}`);
  assert.is(memory.getDepth("1", "first"), undefined);
  assert.is(memory.getDepth("1", "0"), MAX_DEPTH - 1);
});

test.run();
