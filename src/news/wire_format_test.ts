import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerUpdate } from "../gateway/fixture.ts";
import { factUpdateSchema } from "./schema.ts";
import { decodeUpdates, encodeUpdates } from "./wire_format.ts";

test("facts keep their epoch in a message", () => {
  const updates = [makeServerUpdate(makeServer("1"), 7, 3)];
  const received = encodeUpdates(updates).map((update) =>
    factUpdateSchema.parse(update)
  );
  assert.equal(decodeUpdates(received, () => 9), updates);
});

test("facts in a message without an epoch belong to the latest one", () => {
  const [{ epoch: _, ...update }] = encodeUpdates([
    makeServerUpdate(makeServer("1"), 7),
  ]);
  const [decoded] = decodeUpdates([factUpdateSchema.parse(update)], () => 4);
  assert.equal(decoded.version, { epoch: 4, number: 7 });
});

test.run();
