/**
 * Interfaces of the platform's services: a transactional table, an object store
 * and a list of VMs that lags behind. Each may be down or slow, or lose a
 * response after a write took effect.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { StepError } from "../runtime/errors.ts";

/**
 * Distance between the first versions of two table epochs. A table that is
 * restored from a backup starts a new epoch in which all rows count as changed,
 * so that no version is reused and readers get every change.
 */
export const EPOCH_STRIDE = 2 ** 32;

/**
 * Longest value of a row, in characters; readers ignore rows with longer ones,
 * which don't fit into a message between processes.
 */
export const MAX_VALUE_LENGTH = 2_097_152;

/** One row of the table. */
export interface Row {
  key: string;
  /**
   * Start of the table's epoch plus the commit sequence number of the last
   * write; 0 where the row doesn't exist.
   */
  version: number;
  /** Id of the write that made this version. */
  writeId: string;
  /** JSON text. */
  value: string;
}

/** Version that a row must have for a transaction to commit. */
export interface RowCondition {
  key: string;
  /** 0 requires that the row doesn't exist. */
  version: number;
}

/** A new value of a row. */
export interface RowPut {
  key: string;
  value: string;
}

/** A set of puts that is committed atomically. */
export interface Transaction {
  /**
   * Id stored in every written row. After a lost response it shows whether the
   * transaction was committed.
   */
  writeId: string;
  conditions: RowCondition[];
  puts: RowPut[];
}

/**
 * Result of a transaction; a conflict has the current rows of failed
 * conditions.
 */
export type TransactionResult =
  | { outcome: "committed"; version: number }
  | { outcome: "conflict"; current: Row[] };

/** Rows changed after a version. */
export interface ChangeSet {
  afterVersion: number;
  /** Every change up to this version is included. */
  throughVersion: number;
  /** Latest version of each changed row. */
  rows: Row[];
}

/** Result of a platform call; a failed call resolves with an error. */
export type PlatformResult<T> = Promise<Result<T, StepError>>;

/**
 * @param version Version of a row or table.
 * @returns Number of the table epoch that it belongs to.
 */
export function getTableEpoch(version: number): number {
  return Math.floor(version / EPOCH_STRIDE);
}

/** The transactional table. */
export abstract class TableService {
  /**
   * Reads a row.
   *
   * @param key Key of the row.
   * @returns The row; with version 0 and an empty value if it doesn't exist.
   */
  abstract read(key: string): PlatformResult<Row>;
  /**
   * Lists rows by key prefix.
   *
   * @param prefix Prefix of the keys.
   * @returns The rows in key order.
   */
  abstract list(prefix: string): PlatformResult<Row[]>;
  /**
   * Lists the rows that changed after a version.
   *
   * @param afterVersion The last version that the reader has.
   * @param prefixes Prefixes of the keys.
   * @returns The changed rows.
   */
  abstract changes(
    afterVersion: number,
    prefixes: readonly string[],
  ): PlatformResult<ChangeSet>;
  /**
   * Commits a transaction if all its conditions hold.
   *
   * @param transaction Conditions and puts.
   * @returns The result; after an error of kind `unknown` the transaction may
   * have been committed.
   */
  abstract transact(
    transaction: Transaction,
  ): PlatformResult<TransactionResult>;
}

/** The object store. */
export abstract class ObjectStore {
  /**
   * Reads an object.
   *
   * @param name Name of the object.
   * @returns The text, or undefined if the object doesn't exist.
   */
  abstract get(name: string): PlatformResult<string | undefined>;
  /**
   * Writes an object.
   *
   * @param name Name of the object.
   * @param text The new content.
   */
  abstract put(name: string, text: string): PlatformResult<void>;
}

/** State of a VM in the platform's list. */
export type VmState = "live" | "leaving";

/** A VM in the platform's list. */
export interface Vm {
  id: string;
  state: VmState;
}

/** The list of VMs, both entry VMs and backend servers; it lags behind. */
export abstract class VmList {
  /** @returns The list, which may be out of date. */
  abstract list(): PlatformResult<Vm[]>;
}

/** The three services of the platform. */
export interface Platform {
  table: TableService;
  objects: ObjectStore;
  vms: VmList;
}
