import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import {
  createServerRateLimits,
  type ServerRateLimits,
} from "./rate_limits.ts";

function start(clock: FakeClock, ownId = "vm-1"): ServerRateLimits {
  return createServerRateLimits({ clock, log: createSilentLog(), ownId });
}

/** A server that advertised 4 a second just now. */
function startLimited() {
  const clock = createFakeClock();
  const rates = start(clock);
  rates.record("i-1", 4);
  return { clock, rates };
}

test("a server has no limit until it advertises one", () => {
  const rates = start(createFakeClock());
  rates.record("i-1", undefined);
  assert.is(rates.getRatePerS("i-1"), undefined);
  assert.equal(rates.takeUpdates(), []);
});

test("the limit that was advertised last holds", () => {
  const { rates } = startLimited();
  assert.is(rates.getRatePerS("i-1"), 4);
  rates.record("i-1", 2.5);
  assert.is(rates.getRatePerS("i-1"), 2.5);
  assert.is(rates.getRatePerS("i-1@2"), undefined);
});

test("a lifted limit is ramped up until it is dropped", () => {
  const { clock, rates } = startLimited();
  rates.record("i-1", undefined);
  clock.advance(1_000);
  assert.is(rates.getRatePerS("i-1"), 8);
  clock.advance(2_000);
  assert.is(rates.getRatePerS("i-1"), 32);
  clock.advance(4_000);
  assert.is(rates.getRatePerS("i-1"), undefined);
  rates.takeUpdates();
  assert.is(rates.count(), 0);
});

test("while it is ramped up, the server may advertise a limit again", () => {
  const { clock, rates } = startLimited();
  rates.record("i-1", undefined);
  clock.advance(2_000);
  rates.record("i-1", 3);
  assert.is(rates.getRatePerS("i-1"), 3);
});

test("with no answer for long the server is tried again, a little at first", () => {
  const { clock, rates } = startLimited();
  rates.record("i-0", 0);
  clock.advance(4_900);
  assert.is(rates.getRatePerS("i-1"), 4);
  clock.advance(1_100);
  assert.is(rates.getRatePerS("i-1"), 8);
  assert.is(rates.getRatePerS("i-0"), 0);
  clock.advance(55_000);
  assert.ok(rates.getRatePerS("i-0")! <= 1);
});

test("a limit of one request in ten seconds outlives the time between answers", () => {
  const clock = createFakeClock();
  const rates = start(clock);
  rates.record("i-1", 0.1);
  clock.advance(25_000);
  assert.is(rates.getRatePerS("i-1"), 0.1);
});

test("other VMs are told of a limit at once, then each second", () => {
  const { clock, rates } = startLimited();
  assert.equal(rates.takeUpdates(), [{ server: "i-1", ratePerS: 4, ageMs: 0 }]);
  clock.advance(300);
  rates.record("i-1", 4.1);
  assert.equal(rates.takeUpdates(), []);
  rates.record("i-1", 2);
  assert.is(rates.takeUpdates().length, 1);
  clock.advance(1_000);
  rates.record("i-1", 2);
  assert.is(rates.takeUpdates().length, 1);
  rates.record("i-1", undefined);
  assert.equal(rates.takeUpdates(), [{ server: "i-1", ageMs: 0 }]);
  assert.equal(rates.takeUpdates(), []);
});

test("what another VM was told holds here, and is told on once", () => {
  const clock = createFakeClock();
  const rates = start(clock);
  const news = [{ server: "i-1", ratePerS: 4, ageMs: 30 }];
  assert.equal(rates.receive("vm-2", news), news);
  assert.is(rates.getRatePerS("i-1"), 4);
  assert.equal(rates.receive("vm-3", news), []);
  assert.equal(rates.takeUpdates(), []);
  rates.record("i-1", 4);
  assert.equal(rates.takeUpdates(), [], "the others know already");
});

test("the newest answer counts, whichever VM it came to", () => {
  const { clock, rates } = startLimited();
  clock.advance(2_000);
  rates.receive("vm-2", [{ server: "i-1", ageMs: 3_000 }]);
  assert.is(rates.getRatePerS("i-1"), 4, "older than what is known here");
  rates.receive("vm-2", [{ server: "i-1", ratePerS: 9, ageMs: 2_500 }]);
  assert.is(rates.getRatePerS("i-1"), 4);
  rates.receive("vm-2", [{ server: "i-1", ageMs: 0 }]);
  clock.advance(1_000);
  assert.is(rates.getRatePerS("i-1"), 8);
});

test("no more than some thousand servers are kept", () => {
  const clock = createFakeClock();
  const rates = start(clock);
  for (let index = 0; index < 10_000; index++) rates.record(`i-${index}`, 1);
  assert.is(rates.count(), 4_096);
  rates.receive("vm-2", [{ server: "another", ratePerS: 1, ageMs: 0 }]);
  assert.is(rates.count(), 4_096);
  clock.advance(60_000);
  rates.record("another", 1);
  assert.is(rates.getRatePerS("another"), 1);
});

test.run();
