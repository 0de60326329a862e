/**
 * Cost per unit as a function of size, for `docs/CAPACITY.md`: at least four sizes
 * each, with a linear fit.
 *
 * @module
 */
import { publish } from "../report.ts";
import { measureBlocks, measureLookup } from "./lookups.ts";
import { measureMessages } from "./messages.ts";
import { measurePlanner } from "./planner.ts";
import { measureState } from "./state.ts";

/** Runs all measurements and prints the table. */
export function benchSlopes(): void {
  publish("slopes", "Cost per unit against size", [
    ...measureBlocks(),
    ...measureLookup(),
    ...measurePlanner(),
    ...measureMessages(),
    ...measureState(),
  ]);
}
