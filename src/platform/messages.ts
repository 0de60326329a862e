/**
 * Schemas of the platform's responses. A row or VM that doesn't satisfy its
 * schema is left out, so that it doesn't keep others from being read.
 *
 * @module
 */
import * as z from "zod";
import { createLogger } from "../runtime/logger.ts";
import {
  type ChangeSet,
  MAX_VALUE_LENGTH,
  type Row,
  type TransactionResult,
  type Vm,
} from "./types.ts";

const log = createLogger("platform");

/** Limits of messages between processes, which pass rows and ids on. */
const MAX_KEY_LENGTH = 256;
const MAX_ID_LENGTH = 64;

const versionSchema = z.int().min(0);

const rowSchema = z.object({
  key: z.string().max(MAX_KEY_LENGTH),
  version: versionSchema,
  writeId: z.string().max(MAX_ID_LENGTH),
  value: z.string().max(MAX_VALUE_LENGTH),
});

const vmSchema = z.object({
  id: z.string().max(MAX_ID_LENGTH),
  state: z.enum(["live", "leaving"]),
});

/** @returns A schema of lists that leaves out what isn't an `item`. */
function makeListSchema<T>(item: z.ZodType<T>): z.ZodType<T[]> {
  return z.array(z.unknown()).transform((values) => {
    let problem: z.core.$ZodIssue | undefined;
    const items = values.flatMap((value) => {
      const parsed = item.safeParse(value);
      if (parsed.success) return [parsed.data];
      problem ??= parsed.error.issues[0];
      return [];
    });
    if (problem !== undefined) {
      log.info(`Ignored ${values.length - items.length} malformed items`, {
        step: "platform.parse",
        problem: `${problem.path.join(".")}: ${problem.message}`,
      });
    }
    return items;
  });
}

const rowsSchema = makeListSchema(rowSchema);

const changesSchema = z.object({
  afterVersion: versionSchema,
  throughVersion: versionSchema,
  rows: rowsSchema,
});

const transactionResultSchema = z.discriminatedUnion("outcome", [
  z.object({ outcome: z.literal("committed"), version: versionSchema }),
  z.object({ outcome: z.literal("conflict"), current: rowsSchema }),
]);

/** @returns The value; undefined where the text isn't one of this schema. */
function parseAs<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/**
 * @param text JSON text of a row.
 * @returns The row; undefined where the text is malformed.
 */
export function parseRow(text: string): Row | undefined {
  return parseAs(rowSchema, text);
}

/**
 * @param text JSON text of a list of rows.
 * @returns The well-formed rows; undefined where the text is malformed.
 */
export function parseRows(text: string): Row[] | undefined {
  return parseAs(rowsSchema, text);
}

/**
 * @param text JSON text of a change set.
 * @returns The set with its well-formed rows; undefined where the text is
 *   malformed.
 */
export function parseChangeSet(text: string): ChangeSet | undefined {
  return parseAs(changesSchema, text);
}

/**
 * @param text JSON text of the result of a transaction.
 * @returns The result; undefined where the text is malformed.
 */
export function parseTransactionResult(
  text: string,
): TransactionResult | undefined {
  return parseAs(transactionResultSchema, text);
}

/**
 * @param text JSON text of a list of VMs.
 * @returns The well-formed VMs; undefined where the text is malformed.
 */
export function parseVms(text: string): Vm[] | undefined {
  return parseAs(makeListSchema(vmSchema), text);
}
