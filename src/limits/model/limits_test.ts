import * as assert from "uvu/assert";
import { test } from "uvu";
import { listLimitScenarios, listServerScenarios } from "./scenarios.ts";
import { type LimitStrategy, simulateLimits } from "./simulation.ts";

const WAYS: readonly LimitStrategy[] = ["equal_parts", "shared_usage"];
const FLEETS = [
  { vms: 9, ratePerS: 25 },
  { vms: 60, ratePerS: 200 },
];
const SEEDS = [1, 2, 3];
/** Bursts, in seconds of the rate. */
const BURSTS_S = [0, 0.2, 1, 3];

for (const way of WAYS) {
  test(`no load exceeds a limit and its margin, kept by ${way}`, () => {
    for (const { vms, ratePerS } of FLEETS) {
      for (const scenario of listLimitScenarios(vms, ratePerS)) {
        for (const burstS of BURSTS_S) {
          for (const seed of SEEDS) {
            const burst = burstS * scenario.ratePerS;
            const { maxBoundRatio: mostOfBound } = simulateLimits(
              way,
              { ...scenario, burst },
              seed,
            );
            const name = `${scenario.name}, ${vms} VMs, burst ${burst}`;
            assert.ok(mostOfBound <= 1, `${name}: ${mostOfBound}`);
          }
        }
      }
    }
  });
}

/** Least part of what is allowed that is served, by load. */
const AIMS: Record<string, number> = {
  "steady": 0.98,
  "far over, spread": 0.98,
  "one VM, over": 0.95,
  "one VM, usual": 0.95,
  "moving between regions": 0.95,
  "region cut, usual": 0.98,
};

for (const [load, aim] of Object.entries(AIMS)) {
  test(`shared usage serves ${aim} of what is allowed: ${load}`, () => {
    const scenario = listLimitScenarios(60, 200).find(({ name }) =>
      name === load
    );
    const { servedShare } = simulateLimits("shared_usage", scenario!);
    assert.ok(servedShare >= aim, `${servedShare}`);
  });
}

const SERVER_FLEETS = [
  { vms: 9, ratePerS: 3.5 },
  { vms: 27, ratePerS: 0.7 },
  { vms: 60, ratePerS: 4 },
];

test("no load exceeds a server's limit and its margin, kept by shared usage", () => {
  for (const { vms, ratePerS } of SERVER_FLEETS) {
    for (const scenario of listServerScenarios(vms, ratePerS)) {
      for (const seed of SEEDS) {
        const { maxBoundRatio: mostOfBound } = simulateLimits(
          "shared_usage",
          scenario,
          seed,
        );
        const name = `${scenario.name}, ${vms} VMs, seed ${seed}`;
        assert.ok(mostOfBound <= 1, `${name}: ${mostOfBound}`);
      }
    }
  }
});

/** Least part of a server's limit that is used while VMs hear each other. */
const SERVER_AIM = 0.8;

test("shared usage uses most of a server's limit, whichever VM is asked", () => {
  for (const { vms, ratePerS } of SERVER_FLEETS) {
    for (const scenario of listServerScenarios(vms, ratePerS)) {
      const isWell = ["all is well", "one VM gets all"].includes(scenario.name);
      if (!isWell) continue;
      const { servedShare } = simulateLimits("shared_usage", scenario);
      assert.ok(servedShare >= SERVER_AIM, `${vms} VMs: ${servedShare}`);
    }
  }
});

test.run();
