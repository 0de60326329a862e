import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createObjectMemory } from "./memory.ts";

const NOTHING = { known: {}, forgotten: {} };

function startMemory() {
  const clock = createFakeClock();
  return { clock, memory: createObjectMemory(clock) };
}

test("the first request for an object is told of, once", () => {
  const { memory } = startMemory();
  assert.ok(memory.note("1", "/a 17"));
  assert.not(memory.note("1", "/a 17"));
  assert.ok(memory.note("2", "/a 17"));
  const known = { "1": ["/a 17"], "2": ["/a 17"] };
  assert.equal(memory.takeNews(), { known, forgotten: {} });
  assert.equal(memory.takeNews(), NOTHING);
});

test("news is announced when there is some after none", () => {
  const { memory } = startMemory();
  let announced = 0;
  memory.onNews(() => announced++);
  memory.note("1", "a");
  memory.note("1", "b");
  assert.is(announced, 1);
  memory.takeNews();
  memory.note("1", "c");
  assert.is(announced, 2);
});

test("what another VM told is known, and not told on", () => {
  const { memory } = startMemory();
  memory.apply({ known: { "1": ["a"] }, forgotten: {} });
  assert.ok(memory.knows("1", "a"));
  assert.not(memory.note("1", "a"));
  assert.equal(memory.takeNews(), NOTHING);
});

test("a first request that failed is taken back everywhere", () => {
  const { memory } = startMemory();
  memory.note("1", "a");
  memory.takeNews();
  memory.forget("1", "a");
  assert.not(memory.knows("1", "a"));
  const news = memory.takeNews();
  assert.equal(news, { known: {}, forgotten: { "1": ["a"] } });
  const other = startMemory().memory;
  other.note("1", "a");
  other.apply(news);
  assert.not(other.knows("1", "a"));
});

test("what is asked for now and then is told again, the rest forgotten", () => {
  const { clock, memory } = startMemory();
  memory.note("1", "a");
  memory.note("1", "b");
  memory.takeNews();
  clock.advance(16_000);
  memory.note("1", "a");
  assert.equal(memory.takeNews().known, { "1": ["a"] });
  clock.advance(16_000);
  assert.ok(memory.knows("1", "a"));
  assert.not(memory.knows("1", "b"));
  assert.equal(memory.listKnown().known, { "1": ["a"] });
});

test.run();
