/**
 * How documents are kept in the table: one row for the version in force, one
 * for each version of the history.
 *
 * @module
 */
import * as z from "zod";
import type { Row } from "../platform/types.ts";

/** Key of the fleet document's row. */
export const FLEET_KEY = "config/fleet";
const SERVICE_PREFIX = "config/service/";

const storedDocumentSchema = z.object({
  /** 1 for the first version of a document, then 2, 3 and so on. */
  number: z.number(),
  text: z.string(),
  author: z.string(),
  /** When it was put, in ms since the epoch. */
  atMs: z.number(),
});

/** A version of a document as kept in the table. */
export type StoredDocument = z.infer<typeof storedDocumentSchema>;

/**
 * @param service Name of a service.
 * @returns Key of its document's row.
 */
export function getServiceKey(service: string): string {
  return `${SERVICE_PREFIX}${service}`;
}

/**
 * @param key Key of a document's row.
 * @returns Key of the row of one version of it.
 */
export function getHistoryKey(key: string, number: number): string {
  return `history/${key}/${String(number).padStart(8, "0")}`;
}

/**
 * @param key A row's key.
 * @returns The service whose document it holds, if any.
 */
export function parseServiceKey(key: string): string | undefined {
  if (!key.startsWith(SERVICE_PREFIX)) return undefined;
  return key.slice(SERVICE_PREFIX.length);
}

/**
 * @param row A document's row.
 * @returns What it holds, or undefined where it is empty or malformed.
 */
export function parseStoredDocument(row: Row): StoredDocument | undefined {
  if (row.version === 0) return undefined;
  try {
    return storedDocumentSchema.safeParse(JSON.parse(row.value)).data;
  } catch {
    return undefined;
  }
}
