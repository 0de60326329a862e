import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerNews } from "../gateway/fixture.ts";
import { factUpdateSchema } from "./schema.ts";
import { decodeUpdates, encodeUpdates } from "./wire_format.ts";

test("facts keep their epoch on the way to another VM", () => {
  const items = [makeServerNews(makeServer("1"), 7, 3)];
  const told = encodeUpdates(items).map((item) => factUpdateSchema.parse(item));
  assert.equal(decodeUpdates(told, () => 9), items);
});

test("facts of VMs that name no epoch are of the latest one", () => {
  const [{ epoch: _, ...item }] = encodeUpdates([
    makeServerNews(makeServer("1"), 7),
  ]);
  const [unpacked] = decodeUpdates([factUpdateSchema.parse(item)], () => 4);
  assert.equal(unpacked.version, { epoch: 4, number: 7 });
});

test.run();
