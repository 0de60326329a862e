/**
 * Stores documents in the table by compare-and-set against the version that they
 * were edited from. If the response to a write is lost, the outcome is read back.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { MAX_VALUE_LENGTH, type TableService } from "../platform/types.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import { StepError } from "../runtime/errors.ts";
import { createId } from "../runtime/ids.ts";
import {
  getHistoryKey,
  parseStoredDocument,
  type StoredDocument,
} from "./rows.ts";

/** The current version of a document, as read for editing. */
export interface CurrentDocument {
  /** Version of the row, to be passed to a put; 0 where there is no row. */
  rowVersion: number;
  stored: StoredDocument | undefined;
}

/** A request to store a new version of a document. */
export interface PutRequest {
  /** Key of the document's row. */
  key: string;
  text: string;
  author: string;
  /** Row version that the text was edited from. */
  baseRowVersion: number;
}

/** Outcome of a put. */
export type PutOutcome =
  | { outcome: "accepted"; number: number; rowVersion: number }
  /** Another edit was stored first; nothing was written. */
  | { outcome: "race"; theirs: CurrentDocument };

/** Reads and stores documents. */
export interface DocumentStore {
  /** @returns The current version, or the error of the table. */
  read(key: string): Promise<Result<CurrentDocument, StepError>>;
  /**
   * @returns The outcome, or an error. With an error of kind `unknown` the
   * document may or may not have been stored.
   */
  put(put: PutRequest): Promise<Result<PutOutcome, StepError>>;
  /** @returns All versions, oldest first, or the error of the table. */
  history(key: string): Promise<Result<StoredDocument[], StepError>>;
}

/** Reads of the history row before the outcome of a put counts as unknown. */
const MAX_READ_BACK_ATTEMPTS = 5;
const READ_BACK_PAUSE_MS = 300;

/**
 * @param table The platform's table.
 * @param clock Clock for timestamps and pauses.
 * @returns The store.
 */
export function createDocumentStore(
  table: TableService,
  clock: Clock,
): DocumentStore {
  async function read(key: string) {
    const row = await table.read(key);
    return row.map((found): CurrentDocument => ({
      rowVersion: found.version,
      stored: parseStoredDocument(found),
    }));
  }

  async function put(
    { key, text, author, baseRowVersion }: PutRequest,
  ): Promise<Result<PutOutcome, StepError>> {
    const before = await read(key);
    if (before.isErr()) return err(before.error);
    if (before.value.rowVersion !== baseRowVersion) {
      return ok({ outcome: "race", theirs: before.value });
    }
    const number = (before.value.stored?.number ?? 0) + 1;
    const stored = { number, text, author, atMs: clock.now().getTime() };
    const value = JSON.stringify(stored);
    if (value.length > MAX_VALUE_LENGTH) {
      return err(
        new StepError(
          `The document takes ${value.length} characters; allowed: ` +
            `${MAX_VALUE_LENGTH}`,
          { step: "config.put", peer: "self", kind: "invalid" },
        ),
      );
    }
    const historyKey = getHistoryKey(key, number);
    const writeId = createId();
    const commit = await table.transact({
      writeId,
      conditions: [
        { key, version: baseRowVersion },
        { key: historyKey, version: 0 },
      ],
      puts: [{ key, value }, { key: historyKey, value }],
    });
    if (commit.isErr()) {
      if (commit.error.kind !== "unknown") return err(commit.error);
      return readBack({ key, historyKey, writeId, number });
    }
    if (commit.value.outcome === "committed") {
      const rowVersion = commit.value.version;
      return ok({ outcome: "accepted", number, rowVersion });
    }
    const theirs = await read(key);
    return theirs.map((document) => ({ outcome: "race", theirs: document }));
  }

  /**
   * Resolves a put whose response was lost. Each history row is written once, so
   * its write id shows which put succeeded.
   */
  async function readBack(
    write: { key: string; historyKey: string; writeId: string; number: number },
  ): Promise<Result<PutOutcome, StepError>> {
    for (let attempt = 0; attempt < MAX_READ_BACK_ATTEMPTS; attempt++) {
      const row = await table.read(write.historyKey);
      if (row.isOk() && row.value.version > 0) {
        if (row.value.writeId === write.writeId) {
          const rowVersion = row.value.version;
          return ok({ outcome: "accepted", number: write.number, rowVersion });
        }
        const theirs = await read(write.key);
        return theirs.map((document) => ({
          outcome: "race",
          theirs: document,
        }));
      }
      await pause(clock, READ_BACK_PAUSE_MS);
    }
    return err(
      new StepError(
        "The table's response was lost and no write is visible yet; " +
          "read the document before putting it again",
        { step: "config.put", peer: "table", kind: "unknown" },
      ),
    );
  }

  async function history(key: string) {
    const rows = await table.list(`history/${key}/`);
    return rows.map((found) =>
      found.map(parseStoredDocument)
        .filter((stored) => stored !== undefined)
    );
  }

  return { read, put, history };
}
