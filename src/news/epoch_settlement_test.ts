import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeConfigurationNews } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createFactStore } from "./fact_store.ts";
import { createEpochSettlement } from "./epoch_settlement.ts";
import { makeVersion } from "./version.ts";

function startSettling() {
  const clock = createFakeClock();
  const board = createFactStore(clock);
  board.recordEpochs("operations", [
    { epoch: 1, copiedThrough: 0, isSettled: true },
    { epoch: 2, copiedThrough: 50 },
  ]);
  board.apply([makeConfigurationNews(6, 60, 1)]);
  return {
    clock,
    board,
    settling: createEpochSettlement("operations", board, clock),
  };
}

test("an epoch is settled after it has answered for a while", () => {
  const { clock, settling } = startSettling();
  assert.not(settling.isDue());
  settling.recordAnswer();
  clock.advance(4_900);
  assert.not(settling.isDue());
  clock.advance(100);
  assert.ok(settling.isDue());
});

test("a source that is lost meanwhile begins the time anew", () => {
  const { clock, settling } = startSettling();
  settling.recordAnswer();
  clock.advance(4_000);
  settling.recordFailure();
  settling.recordAnswer();
  clock.advance(4_000);
  assert.not(settling.isDue());
});

test("another restore begins the time anew", () => {
  const { clock, board, settling } = startSettling();
  settling.recordAnswer();
  clock.advance(4_000);
  board.recordEpochs("operations", [{ epoch: 3, copiedThrough: 52 }]);
  settling.recordAnswer();
  clock.advance(4_000);
  assert.not(settling.isDue());
});

test("what another VM settled is not listed again", () => {
  const { clock, board, settling } = startSettling();
  settling.recordAnswer();
  clock.advance(5_000);
  board.recordEpochs("operations", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.not(settling.isDue());
});

test("an older configuration waits a minute for the operator", () => {
  const { clock, settling } = startSettling();
  const older = {
    items: [makeConfigurationNews(5, 50, 2)],
    version: makeVersion(70, 2),
  };
  settling.recordAnswer();
  clock.advance(5_000);
  assert.not(settling.settlesEpoch(older));
  assert.not(settling.isDue(), "tried just now");
  clock.advance(5_000);
  assert.ok(settling.isDue());
  clock.advance(50_000);
  assert.ok(settling.settlesEpoch(older));
});

test("a list that a further restore answers settles nothing", () => {
  const { clock, settling } = startSettling();
  settling.recordAnswer();
  clock.advance(5_000);
  assert.ok(settling.isDue());
  const items = [makeConfigurationNews(6, 45, 3)];
  assert.not(settling.settlesEpoch({ items, version: makeVersion(52, 3) }));
});

test("a configuration that was written again settles the epoch", () => {
  const { clock, settling } = startSettling();
  const again = {
    items: [makeConfigurationNews(6, 55, 2)],
    version: makeVersion(70, 2),
  };
  settling.recordAnswer();
  clock.advance(5_000);
  assert.ok(settling.settlesEpoch(again));
});

test.run();
