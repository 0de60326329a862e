/**
 * Rate limits that hold for all VMs of the fleet together.
 *
 * @module
 */

/** What a rate limit applies to: a client account or a backend server. */
export interface LimitSubject {
  name: string;
  /** Requests a second over all VMs together; absent where there is no limit. */
  ratePerS?: number;
  /** Requests that may come at once on top of the rate. */
  burst: number;
}

/** Tolerated excess over a limit, in any window. */
export interface LimitMargin {
  windowMs: number;
  /** Tolerated excess, as a fraction of what the limit allows in the window. */
  ratio: number;
  /** Requests tolerated on top of that. */
  allowance: number;
}

/** Whether a request is within its limit. */
export type Admission =
  | { kind: "within" }
  /** Over the limit. */
  | { kind: "over"; retryAfterMs: number };

/** Requests counted against one limit since the previous report. */
export interface LimitUsage {
  /** Name of the limit's subject. */
  name: string;
  /** Requests that arrived, within the limit or over it. */
  asked: number;
  /** Requests that ran; negative where more were refunded than ran. */
  spent: number;
}

/** A subject that has a rate limit. */
export type LimitedSubject = LimitSubject & { ratePerS: number };

/**
 * @param subject The subject of a limit.
 * @returns Whether it has a rate limit.
 */
export function isLimited(subject: LimitSubject): subject is LimitedSubject {
  return subject.ratePerS !== undefined;
}

/** Decides which requests are within the limit that they count against. */
export abstract class RateLimiter {
  /**
   * Counts one more request against a limit, if the limit allows it.
   *
   * @param subject Whose limit.
   * @returns Whether the request may run.
   */
  take(subject: LimitSubject): Admission {
    return isLimited(subject) ? this.takeLimited(subject) : { kind: "within" };
  }
  /**
   * Counts another run of a request that was already admitted.
   *
   * @param subject Whose limit.
   */
  charge(subject: LimitSubject): void {
    if (isLimited(subject)) this.count(subject, 1);
  }
  /**
   * Returns what was counted for a request that did not run.
   *
   * @param subject Whose limit.
   */
  refund(subject: LimitSubject): void {
    if (isLimited(subject)) this.count(subject, -1);
  }
  /** Implements `take` for subjects that have a rate limit. */
  protected abstract takeLimited(subject: LimitedSubject): Admission;
  /**
   * Counts runs other than those that `take` admitted.
   *
   * @param runs How many; negative for a refund.
   */
  protected abstract count(subject: LimitedSubject, runs: number): void;
  /** @returns Usage at this VM since the last call, to be sent to other VMs. */
  abstract takeUsage(): LimitUsage[];
  /**
   * Accounts for usage reported by other VMs.
   *
   * @param usage Usage at those VMs.
   */
  abstract receive(usage: readonly LimitUsage[]): void;
  /** @returns Recently used limits, at most `MAX_LISTED`, for the state dump. */
  abstract list(): LimitState[];
}

/** A limiter's view of one limit. */
export interface LimitState {
  /** Name of the limit's subject. */
  name: string;
  /** Requests that could run at once. */
  level: number;
  /** Requests a second at this VM. */
  ownPerS: number;
  /** Requests a second at other VMs. */
  othersPerS: number;
}

/** Maximum number of limits in a state dump. */
export const MAX_LISTED = 50;
