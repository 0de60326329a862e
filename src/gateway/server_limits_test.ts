import * as assert from "uvu/assert";
import { test } from "uvu";
import type { UsageUpdate } from "../limits/usage_sharing.ts";
import { buildTopology } from "../members/hubs.ts";
import { type Clock, createFakeClock } from "../runtime/clock.ts";
import type { RateLimitUpdate } from "../servers/rate_limits.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { makeVmIdentity } from "./fixture.ts";
import {
  createServerLimits,
  startServerLimitSharing,
} from "./server_limits.ts";

/** A VM that shares limits with one other. */
function startSharing() {
  const fake = createFakeClock();
  let runningTimers = 0;
  const clock: Clock = {
    ...fake,
    every(periodMs, run) {
      const timer = fake.every(periodMs, run);
      runningTimers++;
      return {
        cancel() {
          runningTimers--;
          timer.cancel();
        },
      };
    },
  };
  const self = makeVmIdentity("vm-1");
  const peer = makeVmIdentity("vm-2");
  const limits = createServerLimits({
    clock,
    log: createSilentLog(),
    random: () => 0.5,
    ownId: self.id,
    countKnownVms: () => 2,
    runTimes: createRunTimes(),
  });
  const sentRates: RateLimitUpdate[][] = [];
  const sentUsage: UsageUpdate[] = [];
  const sharing = startServerLimitSharing({
    self,
    clock,
    limits,
    listPeers: () => [peer],
    getTopology: () => buildTopology([self, peer]),
    sendUsage: (_ids, update) => void sentUsage.push(update),
    sendRateLimits: (rates) => void sentRates.push(rates),
  });
  return {
    clock: fake,
    limits,
    sharing,
    sentRates,
    sentUsage,
    countTimers: () => runningTimers,
  };
}

// Guards against timers that wake an idle VM 15 times a second.
test("no timer runs while no server has a limit", () => {
  const { clock, limits, countTimers } = startSharing();
  assert.is(countTimers(), 0);
  limits.rateLimits.record("i-1", 4);
  assert.is(countTimers(), 2);
  clock.advance(1_000);
  assert.is(countTimers(), 2);
  limits.rateLimits.record("i-1", undefined);
  // The limit is ramped up for 6 s before it is dropped.
  clock.advance(6_200);
  assert.is(limits.rateLimits.count(), 0);
  assert.is(countTimers(), 0);
});

// Guards against limits that are sent late, or never after a first pause.
test("a new limit is sent within 100 ms and its usage within 200 ms", () => {
  const { clock, limits, sentRates, sentUsage } = startSharing();
  clock.advance(1_050);
  for (const round of [1, 2]) {
    limits.rateLimits.record("i-1", 4);
    // Refused, since a limit starts without a burst, but counted.
    limits.permits.take({ id: "i-1" } as never);
    clock.advance(100);
    assert.is(sentRates.length, 2 * round - 1);
    assert.equal(sentRates.at(-1), [
      { server: "i-1", ratePerS: 4, ageMs: 100 },
    ]);
    const before = sentUsage.length;
    clock.advance(100);
    assert.is(sentUsage.length, before + 1);
    assert.is(sentUsage.at(-1)!.usage[0].name, "i-1");
    limits.rateLimits.record("i-1", undefined);
    clock.advance(10_000);
  }
});

test("limits of another VM start the exchange of usage", () => {
  const { clock, limits, sentUsage, countTimers } = startSharing();
  const update = { server: "i-1", ratePerS: 4, ageMs: 0 };
  limits.rateLimits.receive("vm-2", [update]);
  assert.is(countTimers(), 2);
  limits.permits.take({ id: "i-1" } as never);
  clock.advance(200);
  assert.is(sentUsage.length, 1);
});

test("nothing is sent after the stop", () => {
  const { clock, limits, sharing, sentRates, countTimers } = startSharing();
  sharing.stop();
  limits.rateLimits.record("i-1", 4);
  clock.advance(1_000);
  assert.is(countTimers(), 0);
  assert.equal(sentRates, []);
});

test.run();
