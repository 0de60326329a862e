import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  type FallbackReadContext,
  needsFallbackRead,
} from "./fallback_read.ts";

const WITHOUT_HUBS: FallbackReadContext = {
  hasVmList: true,
  isBehindHub: false,
  uptimeMs: 60_000,
};
const BEHIND_HUB: FallbackReadContext = { ...WITHOUT_HUBS, isBehindHub: true };

test("a VM without the list of VMs waits for it, 1.5 s at most", () => {
  const context = { ...WITHOUT_HUBS, hasVmList: false, uptimeMs: 500 };
  assert.not(needsFallbackRead(Infinity, context));
  assert.ok(needsFallbackRead(Infinity, { ...context, uptimeMs: 1_500 }));
});

test("without hubs, a VM without facts reads them at once", () => {
  assert.ok(needsFallbackRead(Infinity, { ...WITHOUT_HUBS, uptimeMs: 100 }));
});

test("behind a hub, a VM that just started waits 3 s for the hub", () => {
  assert.not(needsFallbackRead(Infinity, { ...BEHIND_HUB, uptimeMs: 2_900 }));
  assert.ok(needsFallbackRead(Infinity, { ...BEHIND_HUB, uptimeMs: 3_000 }));
});

test("VMs behind a hub read later than their second hub does", () => {
  assert.not(needsFallbackRead(1_400, WITHOUT_HUBS));
  assert.ok(needsFallbackRead(1_500, WITHOUT_HUBS));
  assert.not(needsFallbackRead(2_100, BEHIND_HUB));
  assert.ok(needsFallbackRead(2_200, BEHIND_HUB));
});

test.run();
