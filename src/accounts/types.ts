/**
 * Client accounts: who may call, how much, and where their requests may run.
 *
 * @module
 */

import type { LimitMargin, LimitSubject } from "../limits/limiter.ts";

/** A client account of the configuration, with its limit over all VMs. */
export interface ClientAccount extends LimitSubject {
  /**
   * Digests of its API keys. The keys themselves are not stored, so that
   * messages between VMs, logs and state dumps can't reveal them.
   */
  keyDigests: string[];
  /** 0 is the most urgent; overrides the priority of the route. */
  priority?: number;
  /** Regions that may serve the account; empty where all may. */
  homeRegions: string[];
}

/** Deadlines and margins within which VMs have to enforce accounts. */
export interface AccountBounds {
  /** Time within which reachable VMs have to apply a new configuration. */
  configurationDeadlineMs: number;
  /**
   * Time after its revocation from which a key is rejected by every VM; absent
   * where partitioned VMs may rely on the configuration that they have.
   */
  revocationDeadlineMs?: number;
  /** Tolerated excess over a limit, for all VMs together. */
  limitMargin: LimitMargin;
}
