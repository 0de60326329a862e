/**
 * The platform's services as this project sees them: a transactional table, an
 * object store and a lagging list of VMs. Each may be down, slow, or lose an
 * answer after a write took effect.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { StepError } from "../runtime/errors.ts";

/**
 * Distance between the versions of two epochs of the table. A table that is
 * restored from a copy begins an epoch, in which all its rows count as written
 * anew: no version is given out twice, and all changes are told.
 */
export const EPOCH_STRIDE = 2 ** 32;

/** One row of the table. */
export interface Row {
  key: string;
  /**
   * Commit sequence number of the last write, beyond the begin of the table's
   * epoch; 0 means "no such row".
   */
  version: number;
  /** Identity of the write that made this version. */
  writeId: string;
  /** JSON text. */
  value: string;
}

/** What a row's version must be for a transaction to commit. */
export interface RowCondition {
  key: string;
  /** 0 demands that the row does not exist. */
  version: number;
}

/** A new value of a row. */
export interface RowPut {
  key: string;
  value: string;
}

/** A set of puts that commits whole or not at all. */
export interface Transaction {
  /** Identity kept in every row written, to resolve lost answers. */
  writeId: string;
  conditions: RowCondition[];
  puts: RowPut[];
}

/** How a transaction ended. */
export type Commit =
  | { outcome: "committed"; version: number }
  | { outcome: "conflict"; current: Row[] };

/** Rows changed after some version. */
export interface ChangeSet {
  afterVersion: number;
  /** Every change up to this version is included. */
  throughVersion: number;
  /** Latest form of each changed row. */
  rows: Row[];
}

/** The result of a call to the platform. */
export type PlatformResult<T> = Promise<Result<T, StepError>>;

/**
 * @param version A version.
 * @returns The table's epoch in which it was given out.
 */
export function getTableEpoch(version: number): number {
  return Math.floor(version / EPOCH_STRIDE);
}

/** The transactional table. */
export abstract class TableService {
  /**
   * @param key The row's key.
   * @returns The row; version 0 and an empty value where there is none.
   */
  abstract read(key: string): PlatformResult<Row>;
  /**
   * @param prefix Start of the keys wanted.
   * @returns The rows in key order.
   */
  abstract list(prefix: string): PlatformResult<Row[]>;
  /**
   * @param afterVersion Last version known.
   * @param prefixes Starts of the keys wanted.
   * @returns What changed since.
   */
  abstract changes(
    afterVersion: number,
    prefixes: readonly string[],
  ): PlatformResult<ChangeSet>;
  /**
   * @param transaction Conditions and puts.
   * @returns How it ended; an error of kind `unknown` leaves it open.
   */
  abstract transact(transaction: Transaction): PlatformResult<Commit>;
}

/** The object store. */
export abstract class ObjectStore {
  /**
   * @param name The object's name.
   * @returns Its text, or undefined where there is none.
   */
  abstract get(name: string): PlatformResult<string | undefined>;
  /**
   * @param name The object's name.
   * @param text Its new content.
   */
  abstract put(name: string, text: string): PlatformResult<void>;
}

/** State of a VM in the platform's list. */
export type VmState = "live" | "leaving";

/** An entry of the platform's list. */
export interface Vm {
  id: string;
  state: VmState;
}

/** The lagging list of VMs; holds entry VMs and backend servers. */
export abstract class VmList {
  /** @returns The list as the platform saw it some time ago. */
  abstract list(): PlatformResult<Vm[]>;
}

/** The three services together. */
export interface Platform {
  table: TableService;
  objects: ObjectStore;
  vms: VmList;
}
