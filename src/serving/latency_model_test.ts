import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeRoute } from "../gateway/fixture.ts";
import { createLatencyModel } from "./latency_model.ts";

/** A model of requests that take 120 ms where the target is 400 ms. */
function startModel() {
  const route = makeRoute();
  const model = createLatencyModel();
  for (let count = 0; count < 50; count++) model.recordAnswer(route, 120, 0.5);
  return { route, model };
}

test("a client refused by a server with free slots retries almost at once", () => {
  const { route, model } = startModel();
  for (const spread of [0, 0.5, 0.99]) {
    const afterMs = model.getRetryAfterMs(route, 0.5, spread);
    assert.ok(afterMs >= 10 && afterMs <= 20, `${afterMs} ms`);
  }
});

test("a client refused by saturated servers retries once slots are free", () => {
  const { route, model } = startModel();
  for (const utilization of [1, 3, Infinity]) {
    assert.ok(model.getRetryAfterMs(route, utilization, 0.5) >= 60);
  }
});

// Load: three in 100 runs take seven times as long. Guards against hits among
// them that count as misses.
test("outliers show neither a hit nor a miss", () => {
  const model = createLatencyModel();
  const route = makeRoute();
  for (let count = 0; count < 20; count++) {
    model.recordUnloadedAnswer(route, undefined, 751);
    model.recordUnloadedAnswer(route, 0, 225);
  }
  assert.is(model.wasCached(route, 240), true);
  assert.is(model.wasCached(route, 1_000), false);
  assert.is(model.wasCached(route, 7 * 225), undefined);
});

test.run();
