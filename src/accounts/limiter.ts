/**
 * Keeps the requests of a client account within its limit, over all VMs
 * together.
 *
 * @module
 */
import type { ClientAccount } from "./types.ts";

/** Whether a request is within its account's limit. */
export type Admission =
  | { kind: "within" }
  /** Over the limit. */
  | { kind: "over"; retryAfterMs: number };

/** What was asked in an account's name, since the last time. */
export interface AccountUsage {
  account: string;
  /** Requests that came, within the limit or over it. */
  asked: number;
  /** Requests that ran; below zero where earlier ones turned out not to. */
  spent: number;
}

/** An account that has a limit. */
export type LimitedAccount = ClientAccount & { ratePerS: number };

/**
 * @param account An account.
 * @returns Whether it has a limit.
 */
export function isLimited(account: ClientAccount): account is LimitedAccount {
  return account.ratePerS !== undefined;
}

/** Decides which requests of an account are within its limit. */
export abstract class AccountLimiter {
  /**
   * @param account The account.
   * @returns Whether one more request may run; it is counted then.
   */
  take(account: ClientAccount): Admission {
    return isLimited(account) ? this.takeLimited(account) : { kind: "within" };
  }
  /**
   * Counts one more run of a request that was taken already.
   *
   * @param account The account.
   */
  charge(account: ClientAccount): void {
    if (isLimited(account)) this.count(account, 1);
  }
  /**
   * Takes back what was counted for a request that did not run.
   *
   * @param account The account.
   */
  giveBack(account: ClientAccount): void {
    if (isLimited(account)) this.count(account, -1);
  }
  /** The same as `take`, for accounts that have a limit. */
  protected abstract takeLimited(account: LimitedAccount): Admission;
  /**
   * Counts runs beside those that were taken.
   *
   * @param runs How many; below zero, taken back.
   */
  protected abstract count(account: LimitedAccount, runs: number): void;
  /** @returns What this VM's callers asked since the last call. */
  abstract takeNews(): AccountUsage[];
  /**
   * Takes in what was asked at other VMs.
   *
   * @param usage What was asked there.
   */
  abstract receive(usage: readonly AccountUsage[]): void;
  /** @returns Accounts that were active lately, at most some, for a dump. */
  abstract list(): LimitState[];
}

/** An account as a limiter sees it. */
export interface LimitState {
  account: string;
  /** Requests that could run at once. */
  level: number;
  /** Requests a second, at this VM and at others. */
  ownPerS: number;
  othersPerS: number;
}

/** Accounts of which a dump tells. */
export const MAX_LISTED = 50;
