import * as assert from "uvu/assert";
import { test } from "uvu";
import { isOverdue, type PatienceView } from "./patience.ts";

const SMALL: PatienceView = {
  isPlaced: true,
  isBehindHub: false,
  upMs: 60_000,
};
const LARGE: PatienceView = { ...SMALL, isBehindHub: true };

test("a VM that knows no others yet waits to be told who reads", () => {
  const view = { ...SMALL, isPlaced: false, upMs: 500 };
  assert.not(isOverdue(Infinity, view));
  assert.ok(isOverdue(Infinity, { ...view, upMs: 1_500 }));
});

test("in a small fleet a VM without facts reads them at once", () => {
  assert.ok(isOverdue(Infinity, { ...SMALL, upMs: 100 }));
});

test("behind hubs a VM that just started is told, or reads after 3 s", () => {
  assert.not(isOverdue(Infinity, { ...LARGE, upMs: 2_900 }));
  assert.ok(isOverdue(Infinity, { ...LARGE, upMs: 3_000 }));
});

test("the second hub reads before the VMs behind it do", () => {
  assert.not(isOverdue(1_400, SMALL));
  assert.ok(isOverdue(1_500, SMALL));
  assert.not(isOverdue(2_100, LARGE));
  assert.ok(isOverdue(2_200, LARGE));
});

test.run();
