/**
 * An in-memory table with the semantics of the platform's table service.
 *
 * @module
 */
import { ok } from "neverthrow";
import {
  type ChangeSet,
  EPOCH_STRIDE,
  getTableEpoch,
  type PlatformResult,
  type Row,
  TableService,
  type Transaction,
  type TransactionResult,
} from "../platform/types.ts";

/** Rows and version of a table at one point in time. */
export interface TableSnapshot {
  rows: Row[];
  version: number;
}

/** The in-memory table; tests also use it directly. */
export class MemoryTable extends TableService {
  #rows = new Map<string, Row>();
  #version = 0;

  /** @returns The current rows and version. */
  takeSnapshot(): TableSnapshot {
    return { rows: [...this.#rows.values()], version: this.#version };
  }

  /**
   * Restores a snapshot; later writes are lost. This starts a new table epoch
   * and moves all versions into it, so that no version is reused.
   *
   * @param snapshot The rows and version to restore.
   */
  restore(snapshot: TableSnapshot): void {
    const epochStart = (getTableEpoch(this.#version) + 1) * EPOCH_STRIDE;
    const toVersion = (version: number) => epochStart + version % EPOCH_STRIDE;
    const rows = snapshot.rows.map((row) => ({
      ...row,
      version: toVersion(row.version),
    }));
    this.#rows = new Map(rows.map((row) => [row.key, row]));
    this.#version = toVersion(snapshot.version);
  }

  override read(key: string): PlatformResult<Row> {
    return Promise.resolve(ok(this.#get(key)));
  }

  override list(prefix: string): PlatformResult<Row[]> {
    const rows = [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix))
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return Promise.resolve(ok(rows));
  }

  override changes(
    afterVersion: number,
    prefixes: readonly string[],
  ): PlatformResult<ChangeSet> {
    const rows = [...this.#rows.values()].filter((row) =>
      row.version > afterVersion &&
      prefixes.some((prefix) => row.key.startsWith(prefix))
    );
    const throughVersion = this.#version;
    return Promise.resolve(ok({ afterVersion, throughVersion, rows }));
  }

  override transact(
    transaction: Transaction,
  ): PlatformResult<TransactionResult> {
    const { conditions, puts, writeId } = transaction;
    const failed = conditions.filter(({ key, version }) =>
      this.#get(key).version !== version
    );
    if (failed.length > 0) {
      const current = failed.map(({ key }) => this.#get(key));
      return Promise.resolve(ok({ outcome: "conflict", current }));
    }
    this.#version += 1;
    const version = this.#version;
    for (const { key, value } of puts) {
      this.#rows.set(key, { key, value, version, writeId });
    }
    return Promise.resolve(ok({ outcome: "committed", version }));
  }

  #get(key: string): Row {
    return this.#rows.get(key) ?? { key, version: 0, writeId: "", value: "" };
  }
}
