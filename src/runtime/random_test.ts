import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRandom } from "./random.ts";

test("generators with small seeds start with distinct, spread numbers", () => {
  const seeds = Array.from({ length: 200 }, (_, seed) => seed);
  const firstNumbers = seeds.map((seed) => createRandom(seed)());
  assert.is(new Set(firstNumbers).size, seeds.length);
  const mean = firstNumbers.reduce((sum, value) => sum + value, 0) /
    firstNumbers.length;
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
