import * as assert from "uvu/assert";
import { test } from "uvu";
import { decodeUsage, encodeUsage, usageSchema } from "./usage_encoding.ts";

test("usage arrives as it was sent, requests given back included", () => {
  const usage = [
    { name: "one", asked: 4, spent: 4 },
    { name: "two", asked: 9, spent: 1 },
    { name: "three", asked: 0, spent: -2 },
  ];
  const packed = encodeUsage(usage);
  assert.equal(packed[0], ["one", 4]);
  assert.equal(decodeUsage(usageSchema.parse(packed)), usage);
});

test.run();
