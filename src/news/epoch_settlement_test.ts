import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeConfigurationUpdate } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createFactStore } from "./fact_store.ts";
import { createEpochSettlement } from "./epoch_settlement.ts";
import { makeVersion } from "./version.ts";

function createSettlement() {
  const clock = createFakeClock();
  const store = createFactStore(clock);
  store.recordEpochs("operations", [
    { epoch: 1, copiedThrough: 0, isSettled: true },
    { epoch: 2, copiedThrough: 50 },
  ]);
  store.apply([makeConfigurationUpdate(6, 60, 1)]);
  return {
    clock,
    store,
    settlement: createEpochSettlement("operations", store, clock),
  };
}

test("settling is due after the source has answered for 5 s", () => {
  const { clock, settlement } = createSettlement();
  assert.not(settlement.isDue());
  settlement.recordAnswer();
  clock.advance(4_900);
  assert.not(settlement.isDue());
  clock.advance(100);
  assert.ok(settlement.isDue());
});

test("a failure of the source restarts the wait", () => {
  const { clock, settlement } = createSettlement();
  settlement.recordAnswer();
  clock.advance(4_000);
  settlement.recordFailure();
  settlement.recordAnswer();
  clock.advance(4_000);
  assert.not(settlement.isDue());
});

test("another restore restarts the wait", () => {
  const { clock, store, settlement } = createSettlement();
  settlement.recordAnswer();
  clock.advance(4_000);
  store.recordEpochs("operations", [{ epoch: 3, copiedThrough: 52 }]);
  settlement.recordAnswer();
  clock.advance(4_000);
  assert.not(settlement.isDue());
});

test("settling is not due once another VM settled the epoch", () => {
  const { clock, store, settlement } = createSettlement();
  settlement.recordAnswer();
  clock.advance(5_000);
  store.recordEpochs("operations", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.not(settlement.isDue());
});

test("an older configuration settles the epoch only after a minute", () => {
  const { clock, settlement } = createSettlement();
  const older = {
    items: [makeConfigurationUpdate(5, 50, 2)],
    version: makeVersion(70, 2),
  };
  settlement.recordAnswer();
  clock.advance(5_000);
  assert.not(settlement.settlesEpoch(older));
  assert.not(settlement.isDue(), "attempted just now");
  clock.advance(5_000);
  assert.ok(settlement.isDue());
  clock.advance(50_000);
  assert.ok(settlement.settlesEpoch(older));
});

test("a listing of a later epoch settles nothing", () => {
  const { clock, settlement } = createSettlement();
  settlement.recordAnswer();
  clock.advance(5_000);
  assert.ok(settlement.isDue());
  const items = [makeConfigurationUpdate(6, 45, 3)];
  assert.not(settlement.settlesEpoch({ items, version: makeVersion(52, 3) }));
});

test("a configuration that was written again settles the epoch", () => {
  const { clock, settlement } = createSettlement();
  const again = {
    items: [makeConfigurationUpdate(6, 55, 2)],
    version: makeVersion(70, 2),
  };
  settlement.recordAnswer();
  clock.advance(5_000);
  assert.ok(settlement.settlesEpoch(again));
});

test.run();
