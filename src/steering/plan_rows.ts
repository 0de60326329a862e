/**
 * Reads plans from the table's rows.
 *
 * @module
 */
import type { Row } from "../platform/types.ts";
import { type Plan, planSchema } from "./types.ts";

/** Plans by their row, which never changes once it is made. */
const parsed = new WeakMap<Row, Plan>();

/**
 * @param row A plan's row, if known.
 * @returns The plan, or undefined where there is none or it is malformed.
 */
export function readPlan(row: Row | undefined): Plan | undefined {
  if (row === undefined || row.version === 0) return undefined;
  const known = parsed.get(row);
  if (known) return known;
  const plan = parsePlan(row.value);
  if (plan) parsed.set(row, plan);
  return plan;
}

function parsePlan(text: string): Plan | undefined {
  try {
    return planSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
