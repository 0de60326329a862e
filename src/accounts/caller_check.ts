/**
 * Checks callers: identifies the caller, applies the rate limit of its client
 * account, and determines the regions in which the request may run.
 *
 * @module
 */
import type { Route } from "../routing/types.ts";
import type { RouteTable } from "../routing/table.ts";
import type { Random } from "../runtime/random.ts";
import type {
  CallerIdentity,
  RequestMetadata,
  ServeResult,
} from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import {
  getUnprovenRetryMs,
  identifyCaller,
  intersectHomeRegions,
} from "./identification.ts";
import type { RateLimiter } from "../limits/limiter.ts";
import type { AccountBounds, ClientAccount } from "./types.ts";

/** Dependencies of `createCallerCheck`. */
export interface CallerCheckOptions {
  log: Log;
  random: Random;
  bounds: AccountBounds;
  limiter: RateLimiter;
  /** Proven age of the configuration; infinite before the first proof. */
  getKnowledgeAgeMs: () => number;
}

/** A caller whose request may run. */
export interface AcceptedCaller {
  kind: "accepted";
  caller: CallerIdentity;
  /** Undefined where no account is needed. */
  account: ClientAccount | undefined;
  /** Regions that may serve the request; empty for all, undefined for none. */
  homeRegions: readonly string[] | undefined;
}

/** Result of the check of a caller. */
export type CheckedCaller = AcceptedCaller | {
  kind: "rejected";
  result: ServeResult;
};

/** Checks callers. */
export interface CallerCheck {
  /**
   * Identifies a caller and counts its request against its account's limit.
   *
   * @param table The configuration in force.
   * @param route The route of the request.
   * @param metadata The request's metadata, from its headers.
   * @returns The accepted caller, or the result to reject the request with.
   */
  check(
    table: RouteTable,
    route: Route,
    metadata: RequestMetadata,
  ): CheckedCaller;
  /** Returns what was counted for a request that did not run. */
  refund(accepted: AcceptedCaller): void;
}

/**
 * @param options Dependencies of the check.
 * @returns A check of callers.
 */
export function createCallerCheck(options: CallerCheckOptions): CallerCheck {
  const { log, random, bounds, limiter } = options;

  /** @returns The result to reject the request with, if it is over the limit. */
  function applyLimit(
    account: ClientAccount,
    requestId: string | undefined,
  ): ServeResult | undefined {
    const admission = limiter.take(account);
    if (admission.kind === "within") return undefined;
    const { name, ratePerS, burst } = account;
    const { retryAfterMs } = admission;
    log.info(
      { requestId, account: name, ratePerS, burst, retryAfterMs },
      "client account over its rate limit",
    );
    return { kind: "limited", retryAfterMs };
  }

  return {
    check(table, route, { requestId, apiKey }) {
      const knowledgeAgeMs = options.getKnowledgeAgeMs();
      const { accounts, configuration } = table;
      const { isPublic } = route;
      const identification = identifyCaller(
        { accounts, isPublic, apiKey, knowledgeAgeMs },
        bounds,
      );
      if (identification.kind === "open") {
        return {
          kind: "accepted",
          caller: { kind: accounts === undefined ? "no_accounts" : "anyone" },
          account: undefined,
          homeRegions: route.homeRegions,
        };
      }
      if (identification.kind === "account") {
        const { account } = identification;
        const result = applyLimit(account, requestId);
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
          verdict: identification.kind,
        },
        "caller not identified",
      );
      const result: ServeResult = identification.kind === "unknown"
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
