import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeRoute } from "../gateway/fixture.ts";
import { createPaceTable } from "./pace.ts";

/** Requests that take 120 ms where the target is 400 ms. */
function startPace() {
  const route = makeRoute();
  const pace = createPaceTable();
  for (let count = 0; count < 50; count++) pace.note(route, 120, 0.5);
  return { route, pace };
}

test("a client that a server with free slots refused comes back at once", () => {
  const { route, pace } = startPace();
  for (const spread of [0, 0.5, 0.99]) {
    const afterMs = pace.getRetryAfterMs(route, 0.5, spread);
    assert.ok(afterMs >= 10 && afterMs <= 20, `${afterMs} ms`);
  }
});

test("a client that full servers refused waits until slots are free", () => {
  const { route, pace } = startPace();
  for (const use of [1, 3, Infinity]) {
    assert.ok(pace.getRetryAfterMs(route, use, 0.5) >= 60);
  }
});

test.run();
