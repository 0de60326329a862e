import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createServerBackoffs } from "./backoffs.ts";

function startBackoff() {
  const clock = createFakeClock();
  const backoffs = createServerBackoffs(clock, createSilentLog());
  backoffs.begin("i-1", 3_000);
  return { clock, backoffs };
}

test("a server in backoff gets no requests, others do", () => {
  const { clock, backoffs } = startBackoff();
  assert.not(backoffs.take("i-1"));
  assert.ok(backoffs.take("i-2"));
  clock.advance(2_999);
  assert.not(backoffs.take("i-1"));
  assert.equal(backoffs.list(), [{ server: "i-1", leftMs: 1 }]);
});

test("of several end times the latest applies", () => {
  const { clock, backoffs } = startBackoff();
  clock.advance(1_000);
  backoffs.begin("i-1", 500);
  assert.is(backoffs.getLeftMs("i-1"), 2_000);
  backoffs.begin("i-1", 5_000);
  assert.is(backoffs.getLeftMs("i-1"), 5_000);
});

test("after a backoff one request probes the server, others follow if it is accepted", () => {
  const { clock, backoffs } = startBackoff();
  clock.advance(3_000);
  assert.ok(backoffs.take("i-1"));
  assert.not(backoffs.take("i-1"));
  backoffs.end("i-1", true);
  assert.ok(backoffs.take("i-1"));
  assert.ok(backoffs.take("i-1"));
});

test("a shed probe begins the next backoff, or allows another probe", () => {
  const { clock, backoffs } = startBackoff();
  clock.advance(3_000);
  backoffs.take("i-1");
  backoffs.begin("i-1", 1_000);
  backoffs.end("i-1", false);
  assert.not(backoffs.take("i-1"));
  clock.advance(1_000);
  assert.ok(backoffs.take("i-1"));
  backoffs.end("i-1", false);
  assert.ok(backoffs.take("i-1"));
});

test("a request that was sent before a backoff doesn't end it", () => {
  const { backoffs } = startBackoff();
  backoffs.end("i-1", true);
  assert.not(backoffs.take("i-1"));
});

test("a backoff is forgotten if its server is not probed", () => {
  const { clock, backoffs } = startBackoff();
  clock.advance(64_000);
  backoffs.begin("i-2", 1_000);
  assert.ok(backoffs.take("i-1"));
  assert.ok(backoffs.take("i-1"));
});

test.run();
