/**
 * Wire encoding of limit usage. VMs exchange it five times a second, so it has
 * no field names, and the number of refused requests is left out where it is 0.
 *
 * @module
 */
import * as z from "zod";
import type { LimitUsage } from "./limiter.ts";

/** Largest length of a limit's subject, in characters. */
export const MAX_LIMIT_NAME_LENGTH = 200;
/** Largest number of subjects in a message. */
export const MAX_LIMIT_SUBJECTS = 100_000;

/** Largest number of requests of a limit in a message. */
export const MAX_LIMIT_REQUESTS = 1e9;

const subjectName = z.string().max(MAX_LIMIT_NAME_LENGTH);
const requests = z.number().int().min(-MAX_LIMIT_REQUESTS)
  .max(MAX_LIMIT_REQUESTS);

/** Validates usage tuples: subject, requests that ran, requests refused. */
export const usageSchema = z.array(z.union([
  z.tuple([subjectName, requests]),
  z.tuple([subjectName, requests, requests]),
])).max(MAX_LIMIT_SUBJECTS);

/** Usage in its wire encoding. */
export type EncodedUsage = z.infer<typeof usageSchema>;

/**
 * @param usage Usage of limits.
 * @returns The usage in its wire encoding.
 */
export function encodeUsage(usage: readonly LimitUsage[]): EncodedUsage {
  return usage.map(({ name, asked, spent }) =>
    asked === spent ? [name, spent] : [name, spent, asked - spent]
  );
}

/**
 * @param encoded Usage in its wire encoding.
 * @returns Usage of limits.
 */
export function decodeUsage(encoded: EncodedUsage): LimitUsage[] {
  return encoded.map(([name, spent, refused = 0]) => ({
    name,
    asked: spent + refused,
    spent,
  }));
}
