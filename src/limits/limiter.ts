/**
 * Keeps requests within a limit over all VMs together.
 *
 * @module
 */

/** What has a limit of its own, such as a client account. */
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
  /** Part of what the limit allows in the window. */
  ratio: number;
  /** Requests on top. */
  allowance: number;
}

/** Whether a request is within its limit. */
export type Admission =
  | { kind: "within" }
  /** Over the limit. */
  | { kind: "over"; retryAfterMs: number };

/** What was asked of a limit, since the last time. */
export interface LimitUsage {
  /** Whose limit. */
  name: string;
  /** Requests that came, within the limit or over it. */
  asked: number;
  /** Requests that ran; below zero where earlier ones turned out not to. */
  spent: number;
}

/** A holder whose limit is a finite one. */
export type LimitedSubject = LimitSubject & { ratePerS: number };

/**
 * @param holder A holder.
 * @returns Whether it has a limit.
 */
export function isLimited(holder: LimitSubject): holder is LimitedSubject {
  return holder.ratePerS !== undefined;
}

/** Decides which requests are within the limit that they count under. */
export abstract class RateLimiter {
  /**
   * @param holder Whose limit.
   * @returns Whether one more request may run; it is counted then.
   */
  take(holder: LimitSubject): Admission {
    return isLimited(holder) ? this.takeLimited(holder) : { kind: "within" };
  }
  /**
   * Counts one more run of a request that was taken already.
   *
   * @param holder Whose limit.
   */
  charge(holder: LimitSubject): void {
    if (isLimited(holder)) this.count(holder, 1);
  }
  /**
   * Takes back what was counted for a request that did not run.
   *
   * @param holder Whose limit.
   */
  refund(holder: LimitSubject): void {
    if (isLimited(holder)) this.count(holder, -1);
  }
  /** The same as `take`, for those that have a limit. */
  protected abstract takeLimited(holder: LimitedSubject): Admission;
  /**
   * Counts runs beside those that were taken.
   *
   * @param runs How many; below zero, taken back.
   */
  protected abstract count(holder: LimitedSubject, runs: number): void;
  /** @returns What was asked at this VM since the last call. */
  abstract takeUsage(): LimitUsage[];
  /**
   * Takes in what was asked at other VMs.
   *
   * @param usage What was asked there.
   */
  abstract receive(usage: readonly LimitUsage[]): void;
  /** @returns Limits that were in use lately, at most some, for a dump. */
  abstract list(): LimitState[];
}

/** A limit as a limiter sees it. */
export interface LimitState {
  /** Whose limit. */
  name: string;
  /** Requests that could run at once. */
  level: number;
  /** Requests a second, at this VM and at others. */
  ownPerS: number;
  othersPerS: number;
}

/** Limits of which a dump tells. */
export const MAX_LISTED = 50;
