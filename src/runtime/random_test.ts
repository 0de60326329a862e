import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRandom } from "./random.ts";

test("first numbers of small seeds differ and are spread", () => {
  const seeds = Array.from({ length: 200 }, (_, seed) => seed);
  const first = seeds.map((seed) => createRandom(seed)());
  assert.is(new Set(first).size, seeds.length);
  const mean = first.reduce((sum, value) => sum + value, 0) / first.length;
  assert.ok(Math.abs(mean - 0.5) < 0.1, `mean ${mean}`);
});

test("the same seed gives the same sequence", () => {
  const draw = () => {
    const random = createRandom(7);
    return [random(), random(), random()];
  };
  assert.equal(draw(), draw());
});

test.run();
