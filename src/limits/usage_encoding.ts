/**
 * Usage of limits as it travels: five times a second between all VMs, so
 * without names of fields, and with what was turned away only where there was
 * any.
 *
 * @module
 */
import * as z from "zod";
import type { LimitUsage } from "./limiter.ts";

const MAX_NAME = 200;
const MAX_HOLDERS = 100_000;

const holderName = z.string().max(MAX_NAME);
const requests = z.number().int();

/** Checks usage: whose, what was spent, and what was asked beyond that. */
export const usageSchema = z.array(z.union([
  z.tuple([holderName, requests]),
  z.tuple([holderName, requests, requests]),
])).max(MAX_HOLDERS);

/** Usage as it travels. */
export type EncodedUsage = z.infer<typeof usageSchema>;

/**
 * @param usage What was used.
 * @returns It as it travels.
 */
export function encodeUsage(usage: readonly LimitUsage[]): EncodedUsage {
  return usage.map(({ name, asked, spent }) =>
    asked === spent ? [name, spent] : [name, spent, asked - spent]
  );
}

/**
 * @param packed Usage as it travelled.
 * @returns What was used.
 */
export function decodeUsage(packed: EncodedUsage): LimitUsage[] {
  return packed.map(([name, spent, beyond = 0]) => ({
    name,
    asked: spent + beyond,
    spent,
  }));
}
