import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  type FallbackReadContext,
  needsFallbackRead,
} from "./fallback_read.ts";

const SMALL: FallbackReadContext = {
  hasVmList: true,
  isBehindHub: false,
  uptimeMs: 60_000,
};
const LARGE: FallbackReadContext = { ...SMALL, isBehindHub: true };

test("a VM that knows no others yet waits to be told who reads", () => {
  const view = { ...SMALL, isPlaced: false, upMs: 500 };
  assert.not(needsFallbackRead(Infinity, view));
  assert.ok(needsFallbackRead(Infinity, { ...view, uptimeMs: 1_500 }));
});

test("in a small fleet a VM without facts reads them at once", () => {
  assert.ok(needsFallbackRead(Infinity, { ...SMALL, uptimeMs: 100 }));
});

test("behind hubs a VM that just started is told, or reads after 3 s", () => {
  assert.not(needsFallbackRead(Infinity, { ...LARGE, uptimeMs: 2_900 }));
  assert.ok(needsFallbackRead(Infinity, { ...LARGE, uptimeMs: 3_000 }));
});

test("the second hub reads before the VMs behind it do", () => {
  assert.not(needsFallbackRead(1_400, SMALL));
  assert.ok(needsFallbackRead(1_500, SMALL));
  assert.not(needsFallbackRead(2_100, LARGE));
  assert.ok(needsFallbackRead(2_200, LARGE));
});

test.run();
