/**
 * Limits how often requests are sent to a further backend server, for each
 * service, summed over all VMs and without messages between them.
 *
 * Each VM spends a share of its own requests, which add up to the share of all
 * requests, and its part of a fixed allowance.
 *
 * @module
 */

import { hashToUnit } from "../runtime/hash.ts";

/** What all VMs together may spend in one window. */
export interface RetryBudgetSettings {
  /** Retries for each request. */
  ratio: number;
  /** Retries on top, in a window. */
  allowance: number;
}

/** The retry budget of one VM. */
export interface RetryBudget {
  /** Notes a request for a service. */
  recordRequest(service: string): void;
  /**
   * @param service The service of the request.
   * @returns Whether a retry may be sent; it is spent then.
   */
  take(service: string): boolean;
}

/**
 * Part of the terms that is spent: VMs count their windows apart, and a VM
 * that just started has its whole allowance again.
 */
const SPENT_SHARE = 0.75;

/**
 * @param terms What all VMs may spend.
 * @param countVms How many VMs serve callers now.
 * @param ownId This VM.
 * @returns A full budget.
 */
export function createRetryBudget(
  terms: RetryBudgetSettings,
  countVms: () => number,
  ownId: string,
): RetryBudget {
  const tokensByService = new Map<string, number>();

  /**
   * Parts below one retry can't be spent: where the allowance is smaller than
   * the fleet, some VMs have a whole one, others for each service.
   */
  function getCapacity(service: string): number {
    const part = terms.allowance * SPENT_SHARE / Math.max(1, countVms());
    if (part >= 1) return part;
    return hashToUnit(`${ownId} ${service}`) < part ? 1 : 0;
  }

  function getTokens(service: string): number {
    return tokensByService.get(service) ?? getCapacity(service);
  }

  return {
    recordRequest(service) {
      const tokens = getTokens(service) + terms.ratio * SPENT_SHARE;
      tokensByService.set(service, Math.min(getCapacity(service), tokens));
    },
    take(service) {
      const tokens = getTokens(service);
      if (tokens < 1) return false;
      tokensByService.set(service, tokens - 1);
      return true;
    },
  };
}
