import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerNews } from "../gateway/fixture.ts";
import { newsItemSchema } from "./schema.ts";
import { packNews, unpackNews } from "./wire_form.ts";

test("facts keep their epoch on the way to another VM", () => {
  const items = [makeServerNews(makeServer("1"), 7, 3)];
  const told = packNews(items).map((item) => newsItemSchema.parse(item));
  assert.equal(unpackNews(told, () => 9), items);
});

test("facts of VMs that name no epoch are of the latest one", () => {
  const [{ epoch: _, ...item }] = packNews([
    makeServerNews(makeServer("1"), 7),
  ]);
  const [unpacked] = unpackNews([newsItemSchema.parse(item)], () => 4);
  assert.equal(unpacked.version, { epoch: 4, number: 7 });
});

test.run();
