/**
 * A table in memory with the semantics of the platform's.
 *
 * @module
 */
import { ok } from "neverthrow";
import {
  type ChangeSet,
  type Commit,
  EPOCH_STRIDE,
  getTableEpoch,
  type PlatformResult,
  type Row,
  TableService,
  type Transaction,
} from "../platform/types.ts";

/** Rows of a table at some moment. */
export interface TableCopy {
  rows: Row[];
  version: number;
}

/** The table; also used directly in tests. */
export class MemoryTable extends TableService {
  #rows = new Map<string, Row>();
  #version = 0;

  /** @returns What the table holds now. */
  takeCopy(): TableCopy {
    return { rows: [...this.#rows.values()], version: this.#version };
  }

  /** @param copy What the table goes back to; all written since is lost. */
  restore(copy: TableCopy): void {
    const start = (getTableEpoch(this.#version) + 1) * EPOCH_STRIDE;
    const toVersion = (version: number) => start + version % EPOCH_STRIDE;
    const rows = copy.rows.map((row) => ({
      ...row,
      version: toVersion(row.version),
    }));
    this.#rows = new Map(rows.map((row) => [row.key, row]));
    this.#version = toVersion(copy.version);
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

  override transact(transaction: Transaction): PlatformResult<Commit> {
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
