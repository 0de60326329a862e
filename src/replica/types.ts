/**
 * A process's replica of the platform table's rows.
 *
 * @module
 */
import type { Row } from "../platform/types.ts";

/** Key prefixes of the rows that every process replicates. */
export const REPLICATED_PREFIXES: readonly string[] = [
  "config/",
  "plan/",
  "lease/",
];

/** A replica, complete up to `throughVersion`. */
export interface ReplicaState {
  /** Every change up to this version has been applied. */
  throughVersion: number;
  /** Newest known version of each row, by key. */
  rows: Map<string, Row>;
}

/** Result of applying a change set. */
export type Applied =
  /** The rows that became newer; empty if none did. */
  | { outcome: "applied"; changed: Row[] }
  /** The set starts after the replica's version, `afterVersion`. */
  | { outcome: "gap"; afterVersion: number };
