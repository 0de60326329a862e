/**
 * Usage of accounts as it travels: five times a second between all VMs, so
 * without names of fields, and with what was turned away only where there was
 * any.
 *
 * @module
 */
import * as z from "zod";
import type { AccountUsage } from "./limiter.ts";

const MAX_ACCOUNT_NAME = 200;
const MAX_ACCOUNTS = 100_000;

const accountName = z.string().max(MAX_ACCOUNT_NAME);
const requests = z.number().int();

/** Checks usage: an account, what it spent, and what it asked beyond that. */
export const usageSchema = z.array(z.union([
  z.tuple([accountName, requests]),
  z.tuple([accountName, requests, requests]),
])).max(MAX_ACCOUNTS);

/** Usage as it travels. */
export type PackedUsage = z.infer<typeof usageSchema>;

/**
 * @param usage What accounts used.
 * @returns It as it travels.
 */
export function packUsage(usage: readonly AccountUsage[]): PackedUsage {
  return usage.map(({ account, asked, spent }) =>
    asked === spent ? [account, spent] : [account, spent, asked - spent]
  );
}

/**
 * @param packed Usage as it travelled.
 * @returns What accounts used.
 */
export function unpackUsage(packed: PackedUsage): AccountUsage[] {
  return packed.map(([account, spent, beyond = 0]) => ({
    account,
    asked: spent + beyond,
    spent,
  }));
}
