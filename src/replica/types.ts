/**
 * A process's copy of the table's replicated rows.
 *
 * @module
 */
import type { Row } from "../platform/types.ts";

/** Key prefixes that every process keeps a copy of. */
export const REPLICATED_PREFIXES: readonly string[] = [
  "config/",
  "plan/",
  "lease/",
];

/** The copy; complete up to `throughVersion`. */
export interface ReplicaState {
  /** Every change up to this version has been applied. */
  throughVersion: number;
  /** Latest known form of each row. */
  rows: Map<string, Row>;
}

/** What applying a change set did. */
export type Applied =
  /** Rows that are newer than before; empty where nothing was new. */
  | { outcome: "applied"; changed: Row[] }
  /** The set starts after what is known: ask again from `afterVersion`. */
  | { outcome: "gap"; afterVersion: number };
