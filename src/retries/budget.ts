/**
 * Limits the retries of each service over all VMs, without messages between
 * them.
 *
 * Each VM may spend a ratio of its own requests, which adds up to that ratio of
 * all requests, and its part of a fixed allowance.
 *
 * @module
 */

import { hashToUnit } from "../runtime/hash.ts";

/** Retries that all VMs together may spend per window and service. */
export interface RetryBudgetSettings {
  /** Retries per request. */
  ratio: number;
  /** Additional retries per window. */
  allowance: number;
}

/** The retry budget of one VM. */
export interface RetryBudget {
  /**
   * Credits the budget of a service with a request.
   *
   * @param service The name of the service.
   */
  recordRequest(service: string): void;
  /**
   * Spends one retry if the budget of the service allows it.
   *
   * @param service The name of the service.
   * @returns Whether the retry may be sent.
   */
  take(service: string): boolean;
}

/**
 * Share of the configured budget that is spent. The rest covers that the VMs'
 * windows are not aligned, and that a VM which just started has its whole
 * allowance again.
 */
const SPENDABLE_SHARE = 0.75;

/**
 * @param settings The budget of all VMs together.
 * @param countVms Returns the number of VMs that serve callers now.
 * @param ownId The id of this VM.
 * @returns A full budget.
 */
export function createRetryBudget(
  settings: RetryBudgetSettings,
  countVms: () => number,
  ownId: string,
): RetryBudget {
  const tokensByService = new Map<string, number>();

  /**
   * Returns the maximum number of tokens. Fractions of a retry can't be spent,
   * so if the allowance is smaller than the number of VMs, a hash selects the
   * VMs that have a whole token; the selection differs by service.
   */
  function getCapacity(service: string): number {
    const capacity = settings.allowance * SPENDABLE_SHARE /
      Math.max(1, countVms());
    if (capacity >= 1) return capacity;
    return hashToUnit(`${ownId} ${service}`) < capacity ? 1 : 0;
  }

  function getTokens(service: string): number {
    return tokensByService.get(service) ?? getCapacity(service);
  }

  return {
    recordRequest(service) {
      const tokens = getTokens(service) + settings.ratio * SPENDABLE_SHARE;
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
