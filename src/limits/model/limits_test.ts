import * as assert from "uvu/assert";
import { test } from "uvu";
import { listLimitScenarios, listServerScenarios } from "./scenarios.ts";
import { type LimitStrategy, simulateLimits } from "./simulation.ts";

const STRATEGIES: readonly LimitStrategy[] = ["equal_parts", "shared_usage"];
const FLEETS = [
  { vms: 9, ratePerS: 25 },
  { vms: 60, ratePerS: 200 },
];
const SEEDS = [1, 2, 3];
/** Bursts, as seconds of the rate. */
const BURSTS_S = [0, 0.2, 1, 3];

for (const strategy of STRATEGIES) {
  test(`no scenario exceeds a limit and its margin with ${strategy}`, () => {
    for (const { vms, ratePerS } of FLEETS) {
      for (const scenario of listLimitScenarios(vms, ratePerS)) {
        for (const burstS of BURSTS_S) {
          for (const seed of SEEDS) {
            const burst = burstS * scenario.ratePerS;
            const { maxBoundRatio: mostOfBound } = simulateLimits(
              strategy,
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

/** Minimum share of the allowed requests to be served, by scenario. */
const MIN_SERVED_SHARES: Record<string, number> = {
  "steady": 0.98,
  "far over, spread": 0.98,
  "one VM, over": 0.95,
  "one VM, usual": 0.95,
  "moving between regions": 0.95,
  "region cut, usual": 0.98,
};

for (const [scenarioName, minShare] of Object.entries(MIN_SERVED_SHARES)) {
  test(`shared usage serves ${minShare} of the allowed requests: ${scenarioName}`, () => {
    const scenario = listLimitScenarios(60, 200).find(({ name }) =>
      name === scenarioName
    );
    const { servedShare } = simulateLimits("shared_usage", scenario!);
    assert.ok(servedShare >= minShare, `${servedShare}`);
  });
}

const SERVER_FLEETS = [
  { vms: 9, ratePerS: 3.5 },
  { vms: 27, ratePerS: 0.7 },
  { vms: 60, ratePerS: 4 },
];

test("no scenario exceeds a server's limit and its margin with shared usage", () => {
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

/** Minimum share of a server's limit to be used while VMs reach each other. */
const MIN_SERVER_SHARE = 0.8;

test("shared usage uses most of a server's limit, whichever VM gets the requests", () => {
  for (const { vms, ratePerS } of SERVER_FLEETS) {
    for (const scenario of listServerScenarios(vms, ratePerS)) {
      const isFaultFree = ["all is well", "one VM gets all"].includes(
        scenario.name,
      );
      if (!isFaultFree) continue;
      const { servedShare } = simulateLimits("shared_usage", scenario);
      assert.ok(servedShare >= MIN_SERVER_SHARE, `${vms} VMs: ${servedShare}`);
    }
  }
});

test.run();
