/**
 * Checks callers: says who calls, whether that is within the account's limit,
 * and where the request may run.
 *
 * @module
 */
import type { Route } from "../routing/types.ts";
import type { RouteTable } from "../routing/table.ts";
import type { Random } from "../runtime/random.ts";
import type { Caller, CallerTerms, ServeResult } from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import {
  getUnprovenRetryMs,
  identifyCaller,
  intersectHomeRegions,
} from "./identification.ts";
import type { RateLimiter } from "../limits/limiter.ts";
import type { AccountBounds, ClientAccount } from "./types.ts";

/** What the check of callers needs. */
export interface CallerCheckOptions {
  log: Log;
  random: Random;
  bounds: AccountBounds;
  limiter: RateLimiter;
  /** Proven age of what is known; infinite before the first proof. */
  getKnowledgeAgeMs: () => number;
}

/** A caller whose request may run. */
export interface AcceptedCaller {
  kind: "accepted";
  caller: Caller;
  /** Undefined where no account is needed. */
  account: ClientAccount | undefined;
  /** Regions that may serve it; empty for all, undefined for none. */
  homeRegions: readonly string[] | undefined;
}

/** What comes of a caller. */
export type CheckedCaller = AcceptedCaller | {
  kind: "rejected";
  result: ServeResult;
};

/** Checks callers. */
export interface CallerCheck {
  /**
   * @param table The configuration in force.
   * @param route The route of the request.
   * @param terms What its headers say.
   * @returns Who calls, or how the request ends at once.
   */
  check(table: RouteTable, route: Route, terms: CallerTerms): CheckedCaller;
  /** Takes back what was counted for a request that did not run. */
  refund(accepted: AcceptedCaller): void;
}

/**
 * @param parts What it needs.
 * @returns A check of callers.
 */
export function createCallerCheck(parts: CallerCheckOptions): CallerCheck {
  const { log, random, bounds, limiter } = parts;

  function takeWithin(
    account: ClientAccount,
    requestId: string | undefined,
  ): ServeResult | undefined {
    const admission = limiter.take(account);
    if (admission.kind === "within") return undefined;
    const { name, ratePerS, burst } = account;
    const { retryAfterMs } = admission;
    log.info(
      { requestId, account: name, ratePerS, burst, retryAfterMs },
      "over the limit",
    );
    return { kind: "limited", retryAfterMs };
  }

  return {
    check(table, route, { requestId, apiKey }) {
      const knowledgeAgeMs = parts.getKnowledgeAgeMs();
      const { accounts, configuration } = table;
      const { isPublic } = route;
      const found = identifyCaller(
        { accounts, isPublic, apiKey, knowledgeAgeMs },
        bounds,
      );
      if (found.kind === "open") {
        return {
          kind: "accepted",
          caller: { kind: accounts === undefined ? "no_accounts" : "anyone" },
          account: undefined,
          homeRegions: route.homeRegions,
        };
      }
      if (found.kind === "account") {
        const { account } = found;
        const result = takeWithin(account, requestId);
        if (result !== undefined) return { kind: "rejected", result };
        return {
          kind: "accepted",
          caller: { kind: "account", name: account.name },
          account,
          homeRegions: intersectHomeRegions(
            route.homeRegions,
            account.homeRegions,
          ),
        };
      }
      log.info(
        {
          requestId,
          showsKey: apiKey !== undefined,
          version: configuration.version,
          knowledgeAgeMs: Math.round(knowledgeAgeMs),
          verdict: found.kind,
        },
        "caller not identified",
      );
      const result: ServeResult = found.kind === "unknown"
        ? { kind: "unknown_caller" }
        : {
          kind: "refused",
          reason: "key_unproven",
          retryAfterMs: getUnprovenRetryMs(random()),
        };
      return { kind: "rejected", result };
    },
    refund({ account }) {
      if (account !== undefined) limiter.refund(account);
    },
  };
}
