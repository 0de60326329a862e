/**
 * Client accounts: who may call, how much, and where their requests run.
 *
 * @module
 */

import type { LimitMargin, LimitSubject } from "../limits/limiter.ts";

/** A client account of the configuration, with its limit over all VMs. */
export interface ClientAccount extends LimitSubject {
  /**
   * Digests of its API keys. The keys themselves are not kept: what passes
   * between VMs, into logs or dumps gives none away.
   */
  keyDigests: string[];
  /** 0 is the most urgent; goes before the route's where it is there. */
  priority?: number;
  /** Regions that may serve the account; empty where all may. */
  homeRegions: string[];
}

/** Bounds on what VMs may do by what they know of accounts. */
export interface AccountBounds {
  /** Time in which a change has to be in force on VMs that are in touch. */
  configurationDeadlineMs: number;
  /**
   * Time from its withdrawal after which a key runs nothing, on any VM; absent
   * where cut-off VMs may go by what they know.
   */
  revocationDeadlineMs?: number;
  /** What all VMs together may exceed a limit by. */
  limitMargin: LimitMargin;
}
