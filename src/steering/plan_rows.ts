/**
 * Reads plans from the table's rows.
 *
 * @module
 */
import type { Row } from "../platform/types.ts";
import { type Plan, planSchema } from "./types.ts";

/** Plans by their row, which never changes once it is made. */
const planCache = new WeakMap<Row, Plan>();

/**
 * @param row A plan's row, if known.
 * @returns The plan, or undefined where there is none or it is malformed.
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
