/**
 * Rows of documents in the platform table: one with the latest version of a
 * document, and one for each version of its history.
 *
 * @module
 */
import * as z from "zod";
import type { Row } from "../platform/types.ts";

/** Key of the fleet document's row. */
export const FLEET_KEY = "config/fleet";
const SERVICE_PREFIX = "config/service/";

/** Largest time of a `Date`, in ms since the Unix epoch. */
const MAX_TIME_MS = 8.64e15;

const storedDocumentSchema = z.object({
  /** Version number of the document: 1, 2, 3 and so on. */
  number: z.number(),
  text: z.string(),
  author: z.string(),
  /** Time of the put, in ms since the Unix epoch. */
  atMs: z.number().min(0).max(MAX_TIME_MS),
});

/** A version of a document as stored in the table. */
export type StoredDocument = z.infer<typeof storedDocumentSchema>;

/**
 * @param service Name of a service.
 * @returns Key of the row with its document.
 */
export function getServiceKey(service: string): string {
  return `${SERVICE_PREFIX}${service}`;
}

/**
 * @param key Key of a document's row.
 * @param number Version number.
 * @returns Key of the history row with that version.
 */
export function getHistoryKey(key: string, number: number): string {
  return `history/${key}/${String(number).padStart(8, "0")}`;
}

/**
 * @param key Key of a row.
 * @returns The service whose document the row holds; undefined for other rows.
 */
export function parseServiceKey(key: string): string | undefined {
  if (!key.startsWith(SERVICE_PREFIX)) return undefined;
  return key.slice(SERVICE_PREFIX.length);
}

/**
 * @param row A document's row.
 * @returns The stored version; undefined where the row is absent or malformed.
 */
export function parseStoredDocument(row: Row): StoredDocument | undefined {
  if (row.version === 0) return undefined;
  try {
    return storedDocumentSchema.safeParse(JSON.parse(row.value)).data;
  } catch {
    return undefined;
  }
}
