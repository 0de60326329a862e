import * as assert from "uvu/assert";
import { test } from "uvu";
import { decodeUsage, encodeUsage, usageSchema } from "./usage_encoding.ts";

test("usage survives encoding and decoding, refunds included", () => {
  const usage = [
    { name: "one", asked: 4, spent: 4 },
    { name: "two", asked: 9, spent: 1 },
    { name: "three", asked: 0, spent: -2 },
  ];
  const encoded = encodeUsage(usage);
  assert.equal(encoded[0], ["one", 4]);
  assert.equal(decodeUsage(usageSchema.parse(encoded)), usage);
});

test.run();
