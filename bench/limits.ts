/**
 * Compares strategies for enforcing rate limits across all VMs on the same loads.
 *
 * @module
 */
import {
  listLimitScenarios,
  listServerScenarios,
} from "../src/limits/model/scenarios.ts";
import {
  type LimitStrategy,
  simulateLimits,
} from "../src/limits/model/simulation.ts";
import { publish, type Row } from "./report.ts";

const STRATEGIES: readonly LimitStrategy[] = ["equal_parts", "shared_usage"];
const FLEETS = [{ vms: 9, ratePerS: 25 }, { vms: 60, ratePerS: 25 }, {
  vms: 60,
  ratePerS: 200,
}];

/** Simulates every load of every fleet with every strategy. */
export function benchLimits(): void {
  const rows: Row[] = [];
  for (const { vms, ratePerS } of FLEETS) {
    for (const scenario of listLimitScenarios(vms, ratePerS)) {
      const row: Row = {
        vms,
        ratePerS: scenario.ratePerS,
        load: scenario.name,
      };
      for (const strategy of STRATEGIES) {
        const { servedShare, maxBoundRatio } = simulateLimits(
          strategy,
          scenario,
        );
        row[`${strategy}: served`] = Number(servedShare.toFixed(3));
        row[`${strategy}: most`] = Number(maxBoundRatio.toFixed(3));
      }
      rows.push(row);
    }
  }
  publish("limits", "Served of what is allowed, and most of the bound", rows);
}

const SERVER_STRATEGIES: readonly LimitStrategy[] = [
  "ranked_senders",
  "equal_parts",
  "shared_usage",
];
const SERVER_FLEETS = [
  { vms: 9, ratePerS: 3.5 },
  { vms: 27, ratePerS: 0.7 },
  { vms: 60, ratePerS: 4 },
  { vms: 195, ratePerS: 40 },
];
const SEEDS = [1, 2, 3, 4, 5];

/** Simulates loads of a server with a rate limit with every strategy. */
export function benchServerLimits(): void {
  const rows: Row[] = [];
  for (const { vms, ratePerS } of SERVER_FLEETS) {
    for (const scenario of listServerScenarios(vms, ratePerS)) {
      const row: Row = { vms, ratePerS, load: scenario.name };
      for (const strategy of SERVER_STRATEGIES) {
        const results = SEEDS.map((seed) =>
          simulateLimits(strategy, scenario, seed)
        );
        const served = results.reduce((sum, one) => sum + one.served, 0);
        const allowed = results.reduce((sum, one) => sum + one.allowed, 0);
        const maxBoundRatio = Math.max(
          ...results.map((one) => one.maxBoundRatio),
        );
        row[`${strategy}: served`] = Number((served / allowed).toFixed(3));
        row[`${strategy}: most`] = Number(maxBoundRatio.toFixed(3));
      }
      rows.push(row);
    }
  }
  const title = "Served of what a server's limit allows, and most of the bound";
  publish("server_limits", title, rows);
}
