import * as assert from "uvu/assert";
import { test } from "uvu";
import { EPOCH_STRIDE, type Row } from "../platform/types.ts";
import { makeServiceText, TEST_SERVICE } from "./fixture.ts";
import { getServiceKey } from "./rows.ts";
import { applyConfigRow, createConfigView } from "./view.ts";

function makeRow(number: number, version: number, atMs: number): Row {
  const stored = { number, text: makeServiceText(), author: "a", atMs };
  const value = JSON.stringify(stored);
  return { key: getServiceKey(TEST_SERVICE), version, writeId: "w", value };
}

function getNumberInForce(...rows: Row[]): number | undefined {
  const view = createConfigView();
  for (const row of rows) applyConfigRow(view, row);
  return view.services.get(TEST_SERVICE)?.number;
}

test("the latest version of a document is in force", () => {
  assert.is(getNumberInForce(makeRow(1, 3, 100), makeRow(2, 4, 50)), 2);
  assert.is(getNumberInForce(makeRow(2, 4, 50), makeRow(1, 3, 100)), 2);
});

// Guards against a rollback after the table is restored from a backup: it then
// lists documents, with higher row versions, that were replaced after the backup.
test("a restored table does not roll a document back", () => {
  const lost = makeRow(2, 9, 200);
  const copied = makeRow(1, EPOCH_STRIDE + 3, 100);
  assert.is(getNumberInForce(lost, copied), 2);
  const putAgain = makeRow(2, EPOCH_STRIDE + 4, 300);
  assert.is(getNumberInForce(lost, copied, putAgain), 2);
  const putNext = makeRow(3, EPOCH_STRIDE + 5, 400);
  assert.is(getNumberInForce(lost, copied, putNext), 3);
});

test("an older document in a newer row does not come into force", () => {
  assert.is(getNumberInForce(makeRow(2, 3, 100), makeRow(1, 4, 200)), 2);
  const next = makeRow(3, 5, 300);
  assert.is(getNumberInForce(makeRow(2, 3, 100), makeRow(1, 4, 200), next), 3);
});

// Such a time can't be printed, and no later put would be newer.
for (const atMs of [-1, 1e300]) {
  test(`a document put at ${atMs} ms does not come into force`, () => {
    assert.is(getNumberInForce(makeRow(1, 3, 100), makeRow(2, 4, atMs)), 1);
  });
}

test.run();
