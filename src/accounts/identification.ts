/**
 * Identifies the client account of a caller, or tells why that is impossible.
 *
 * A revoked API key must be rejected by every VM after a deadline. A partitioned
 * VM can't learn of the revocation, so the age of its configuration decides, not
 * the content. For the same reason, a VM that knows its configuration to be out
 * of date can't tell that a key is unknown.
 *
 * @module
 */
import type { AccountDirectory } from "./directory.ts";
import type { AccountBounds, ClientAccount } from "./types.ts";

/** Result of identifying a caller. */
export type Identification =
  /** Any caller is accepted: no account is needed. */
  | { kind: "open" }
  | { kind: "account"; account: ClientAccount }
  /** The key is missing, or belongs to no account. */
  | { kind: "unknown" }
  /** The key may have been added or revoked since the VM's configuration. */
  | { kind: "unproven" };

/** A caller's credentials, and what they are checked against. */
export interface Credentials {
  /** Accounts of the configuration; undefined where it has none. */
  accounts: AccountDirectory | undefined;
  /** Whether the route is open to callers without an account. */
  isPublic: boolean;
  /** Undefined where the caller sent no key, or a malformed one. */
  apiKey: string | undefined;
  /** Proven age of the configuration; infinite before the first proof. */
  knowledgeAgeMs: number;
}

/**
 * Covers timers and clock readings that are a few ms late. A larger margin would
 * only reject callers of a partitioned VM earlier.
 */
const REVOCATION_MARGIN_MS = 250;

/**
 * @param credentials The caller's credentials and what they are checked against.
 * @param bounds Deadlines that limit the age of the configuration.
 * @returns The caller's account, or why there is none.
 */
export function identifyCaller(
  { accounts, isPublic, apiKey, knowledgeAgeMs }: Credentials,
  { configurationDeadlineMs, revocationDeadlineMs = Infinity }: AccountBounds,
): Identification {
  if (accounts === undefined || isPublic) return { kind: "open" };
  // A caller without a key is unknown under any configuration.
  if (apiKey === undefined) return { kind: "unknown" };
  const account = accounts.findByKey(apiKey);
  if (account === undefined) {
    const isBehind = knowledgeAgeMs > configurationDeadlineMs;
    return isBehind ? { kind: "unproven" } : { kind: "unknown" };
  }
  const isTooOld = knowledgeAgeMs > revocationDeadlineMs - REVOCATION_MARGIN_MS;
  return isTooOld ? { kind: "unproven" } : { kind: "account", account };
}

/** Minimum retry delay for unproven keys; the maximum is twice this. */
const MIN_UNPROVEN_RETRY_MS = 500;

/**
 * Gives the retry delay of a caller whose key could not be proven. Once the
 * platform is back, a VM hears of it within a second or two. The jitter keeps
 * callers that were refused together from retrying together.
 *
 * @param jitter Random number, 0 to 1.
 * @returns The retry delay in ms.
 */
export function getUnprovenRetryMs(jitter: number): number {
  return Math.round(MIN_UNPROVEN_RETRY_MS * (1 + jitter));
}

/**
 * @param route Regions that may serve the route; empty for all.
 * @param account Regions that may serve the account; empty for all.
 * @returns Regions that may serve both, empty for all; undefined where none may.
 */
export function intersectHomeRegions(
  route: readonly string[],
  account: readonly string[],
): readonly string[] | undefined {
  if (route.length === 0) return account;
  if (account.length === 0) return route;
  const common = route.filter((region) => account.includes(region));
  return common.length > 0 ? common : undefined;
}
