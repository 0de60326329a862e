/**
 * Reads plans from the table's rows.
 *
 * @module
 */
import type { Row } from "../platform/types.ts";
import { type Plan, planSchema } from "./types.ts";

/**
 * @param row A plan's row, if known.
 * @returns The plan, or undefined where there is none or it is malformed.
 */
export function readPlan(row: Row | undefined): Plan | undefined {
  if (row === undefined || row.version === 0) return undefined;
  try {
    return planSchema.safeParse(JSON.parse(row.value)).data;
  } catch {
    return undefined;
  }
}
