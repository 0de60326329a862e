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

/** A server that has just advertised 4 requests a second. */
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

test("the last advertised limit is in force", () => {
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

test("without answers for long a limit is ramped up from a low rate", () => {
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

test("a limit of one request in ten seconds holds between its answers", () => {
  const clock = createFakeClock();
  const rates = start(clock);
  rates.record("i-1", 0.1);
  clock.advance(25_000);
  assert.is(rates.getRatePerS("i-1"), 0.1);
});

test("a limit is sent to other VMs at once, then each second", () => {
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

test("an update from another VM is applied, and relayed once", () => {
  const clock = createFakeClock();
  const rates = start(clock);
  const updates = [{ server: "i-1", ratePerS: 4, ageMs: 30 }];
  assert.equal(rates.receive("vm-2", updates), updates);
  assert.is(rates.getRatePerS("i-1"), 4);
  assert.equal(rates.receive("vm-3", updates), []);
  assert.equal(rates.takeUpdates(), []);
  rates.record("i-1", 4);
  assert.equal(rates.takeUpdates(), [], "the other VMs have it already");
});

test("the newest answer counts, whichever VM received it", () => {
  const { clock, rates } = startLimited();
  clock.advance(2_000);
  rates.receive("vm-2", [{ server: "i-1", ageMs: 3_000 }]);
  assert.is(rates.getRatePerS("i-1"), 4, "older than the state of this VM");
  rates.receive("vm-2", [{ server: "i-1", ratePerS: 9, ageMs: 2_500 }]);
  assert.is(rates.getRatePerS("i-1"), 4);
  rates.receive("vm-2", [{ server: "i-1", ageMs: 0 }]);
  clock.advance(1_000);
  assert.is(rates.getRatePerS("i-1"), 8);
});

test("the number of servers that are kept is bounded", () => {
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
