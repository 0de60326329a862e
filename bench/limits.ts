/**
 * Ways of keeping the limits of client accounts, on the same loads.
 *
 * @module
 */
import { listLimitScenarios } from "../src/limits/model/scenarios.ts";
import { type LimitWay, playLimits } from "../src/limits/model/world.ts";
import { publish, type Row } from "./report.ts";

const WAYS: readonly LimitWay[] = ["equal_parts", "shared_usage"];
const FLEETS = [{ vms: 9, ratePerS: 25 }, { vms: 60, ratePerS: 25 }, {
  vms: 60,
  ratePerS: 200,
}];

/** Plays each load of each fleet in each way. */
export function benchLimits(): void {
  const rows: Row[] = [];
  for (const { vms, ratePerS } of FLEETS) {
    for (const scenario of listLimitScenarios(vms, ratePerS)) {
      const row: Row = {
        vms,
        ratePerS: scenario.ratePerS,
        load: scenario.name,
      };
      for (const way of WAYS) {
        const { servedShare, mostOfBound } = playLimits(way, scenario);
        row[`${way}: served`] = Number(servedShare.toFixed(3));
        row[`${way}: most`] = Number(mostOfBound.toFixed(3));
      }
      rows.push(row);
    }
  }
  publish("limits", "Served of what is allowed, and most of the bound", rows);
}
