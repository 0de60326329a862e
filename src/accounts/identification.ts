/**
 * Says who calls, or why that can't be said now.
 *
 * A key that was taken away runs nothing later than a bound after that, on any
 * VM. A VM that is cut off can't hear of it, so what decides is how old its
 * knowledge is, not what it knows. A VM that knows itself to be behind can't
 * say truthfully either that a key is unknown.
 *
 * @module
 */
import type { AccountDirectory } from "./directory.ts";
import type { AccountBounds, ClientAccount } from "./types.ts";

/** Who calls. */
export type Identification =
  /** Nobody in particular: no account is needed. */
  | { kind: "open" }
  | { kind: "account"; account: ClientAccount }
  /** The key is missing, or no configuration holds it. */
  | { kind: "unknown" }
  /** The key may have been added or taken away meanwhile. */
  | { kind: "unproven" };

/** What a caller shows, and what is known of it. */
export interface Credentials {
  /** Accounts of the configuration; undefined where it has none. */
  accounts: AccountDirectory | undefined;
  /** Whether the route is open to callers without an account. */
  isPublic: boolean;
  /** Undefined where the caller shows no key, or none that can be read. */
  apiKey: string | undefined;
  /** Proven age of what is known; infinite before the first proof. */
  knowledgeAgeMs: number;
}

/**
 * Timers and the reading of clocks are a few ms late; more than that costs
 * callers of a VM that is cut off, and gains them nothing.
 */
const WITHDRAWAL_MARGIN_MS = 250;

/**
 * @param credentials What the caller shows.
 * @param bounds How old knowledge may be.
 * @returns Who calls.
 */
export function identifyCaller(
  { accounts, isPublic, apiKey, knowledgeAgeMs }: Credentials,
  {
    configurationDeadlineMs: configurationMs,
    revocationDeadlineMs: withdrawalMs = Infinity,
  }: AccountBounds,
): Identification {
  if (accounts === undefined || isPublic) return { kind: "open" };
  // No configuration, however new, knows a caller that shows no key.
  if (apiKey === undefined) return { kind: "unknown" };
  const account = accounts.findByKey(apiKey);
  if (account === undefined) {
    const isBehind = knowledgeAgeMs > configurationMs;
    return isBehind ? { kind: "unproven" } : { kind: "unknown" };
  }
  const isTooOld = knowledgeAgeMs > withdrawalMs - WITHDRAWAL_MARGIN_MS;
  return isTooOld ? { kind: "unproven" } : { kind: "account", account };
}

/** When callers come back whose key can't be proven: twice this at the most. */
const UNPROVEN_RETRY_MS = 500;

/**
 * A VM hears within a second or two of the platform's return; callers that
 * come back spread over a time don't meet at one moment.
 *
 * @param spread Spreads callers that are refused together, 0 to 1.
 * @returns When to come back, in ms.
 */
export function getUnprovenRetryMs(spread: number): number {
  return Math.round(UNPROVEN_RETRY_MS * (1 + spread));
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
  const both = route.filter((region) => account.includes(region));
  return both.length > 0 ? both : undefined;
}
