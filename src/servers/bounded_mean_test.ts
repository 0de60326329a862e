import * as assert from "uvu/assert";
import { test } from "uvu";
import { createBoundedMeans } from "./bounded_mean.ts";
import { createRunTimes } from "./run_times.ts";

/** Relative difference that is left by rounding only. */
const PRECISION = 1e-9;

test("run times without outliers are learned as in a plain moving mean", () => {
  const runTimes = createRunTimes();
  let mean = 225;
  for (let count = 0; count < 500; count++) {
    const tookMs = count % 6 === 5 ? 751 : 225;
    mean += 0.03 * (tookMs - mean);
    runTimes.record("s", tookMs);
  }
  assert.ok(Math.abs(runTimes.getMeanMs("s")! / mean - 1) < PRECISION);
});

test("a run that takes seven times as long counts as five", () => {
  const means = createBoundedMeans(0.03);
  for (let count = 0; count < 20; count++) means.record("s", 100);
  means.record("s", 700);
  assert.ok(Math.abs(means.get("s")! - 112) < PRECISION);
});

test("a long first run is corrected by the next ones", () => {
  const means = createBoundedMeans(0.03);
  means.record("s", 700);
  means.record("s", 100);
  assert.ok(means.get("s")! <= 500);
});

test("means follow a service whose requests all become ten times as long", () => {
  const means = createBoundedMeans(0.03);
  for (let count = 0; count < 20; count++) means.record("s", 100);
  for (let count = 0; count < 120; count++) means.record("s", 1_000);
  assert.ok(means.get("s")! > 900, `${means.get("s")}`);
});

test.run();
