import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer } from "../gateway/fixture.ts";
import { createServerLimits } from "../gateway/server_limits.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createRunTimes } from "./run_times.ts";

const SERVER = makeServer("i-1", { slots: 4 });

/** A single VM, to which a server with runs of 100 ms advertised a rate limit. */
function startLimited(ratePerS: number) {
  const clock = createFakeClock();
  const runTimes = createRunTimes();
  runTimes.record(SERVER.service, 100);
  const { permits, rateLimits, backoffs } = createServerLimits({
    clock,
    log: createSilentLog(),
    random: () => 0.5,
    ownId: "vm-1",
    countKnownVms: () => 1,
    runTimes,
  });
  rateLimits.record(SERVER.id, ratePerS);
  const takeFor = (durationMs: number, isSent = true) => {
    let taken = 0;
    for (let ms = 0; ms < durationMs; ms += 10) {
      clock.advance(10);
      if (!permits.take(SERVER)) continue;
      taken++;
      permits.end(SERVER, isSent ? "taken" : "not_sent");
      // The server advertises its limit with each answer.
      rateLimits.record(SERVER.id, ratePerS);
    }
    return taken;
  };
  return { permits, backoffs, takeFor };
}

test("a server without a rate limit gets all requests", () => {
  const { permits } = startLimited(4);
  const other = makeServer("i-2");
  for (let count = 0; count < 100; count++) assert.ok(permits.take(other));
});

test("a server with a rate limit gets that rate and not more", () => {
  const { takeFor } = startLimited(4);
  const taken = takeFor(20_000);
  assert.ok(taken >= 0.9 * 80 && taken <= 84, `${taken}`);
});

test("permits of requests that were not sent are refunded", () => {
  const sent = startLimited(4).takeFor(10_000);
  const notSent = startLimited(4).takeFor(10_000, false);
  assert.ok(notSent > 2 * sent, `${notSent}, ${sent}`);
});

test("a rate limit reduces the effective slots to those its requests take up", () => {
  assert.is(startLimited(4).permits.getEffectiveSlots(SERVER), 0.4);
  assert.is(startLimited(400).permits.getEffectiveSlots(SERVER), 4);
});

test("callers without a permit are told when one may be available", () => {
  const { permits } = startLimited(2);
  assert.is(permits.getWaitMs([SERVER]), Math.round(562.5));
  assert.is(startLimited(0).permits.getWaitMs([SERVER]), 11_250);
});

test("a server in backoff has no slots and gets no waiting requests", () => {
  const { permits, backoffs } = startLimited(4);
  assert.ok(permits.isValid(SERVER));
  backoffs.begin(SERVER.id, 3_000);
  assert.not(permits.isValid(SERVER));
  assert.not(permits.take(SERVER));
  assert.is(permits.getEffectiveSlots(SERVER), 0);
  assert.is(permits.getWaitMs([SERVER]), 3_375);
  assert.is(permits.describe(SERVER).backoffMs, 3_000);
});

test("a probe that the rate limit rejects leaves the probe to another request", () => {
  const { permits, backoffs, takeFor } = startLimited(4);
  backoffs.begin(SERVER.id, 50);
  const taken = takeFor(10_000);
  assert.ok(taken > 30, `${taken}`);
  assert.ok(permits.isValid(SERVER));
});

test.run();
