import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import xxhash from "xxhash-wasm";
import { xxHash32 } from "./xxhash32.ts";

const reference = await xxhash();

test("hashes equal xxHash32, so all VM versions place objects alike", () => {
  assert.is(xxHash32(""), 0x02cc_5d05);
  const text = fc.string({ unit: "grapheme", maxLength: 900 });
  const seed = fc.integer({ min: 0, max: 0x7fff_ffff });
  fc.assert(
    fc.property(text, seed, (value, hashSeed) => {
      assert.is(xxHash32(value, hashSeed), reference.h32(value, hashSeed));
    }),
    { seed: 1, numRuns: 500 },
  );
});

test.run();
