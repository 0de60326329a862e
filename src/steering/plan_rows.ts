/**
 * Reads plans from the table's rows.
 *
 * @module
 */
import type { Row } from "../platform/types.ts";
import { type Plan, planSchema } from "./types.ts";

/** Parsed plans by row; a row object is never modified. */
const planCache = new WeakMap<Row, Plan>();

/**
 * Parses a plan, once per row object.
 *
 * @param row The row that stores the plan, if known.
 * @returns The plan, or undefined where the row is absent or malformed.
 */
export function readPlan(row: Row | undefined): Plan | undefined {
  if (row === undefined || row.version === 0) return undefined;
  const cachedPlan = planCache.get(row);
  if (cachedPlan) return cachedPlan;
  const plan = parsePlan(row.value);
  if (plan) planCache.set(row, plan);
  return plan;
}

function parsePlan(text: string): Plan | undefined {
  try {
    return planSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
