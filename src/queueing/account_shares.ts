/**
 * Which client accounts exceed their fair share of a service that is short of
 * slots. Each VM decides from its own requests, by the same rule as all others.
 *
 * Load pattern: 75 accounts share a service, and one of them sends 7.5 times its
 * usual load. A VM sees one request in 65, so few of its requests wait at once
 * and the order of waiting has little effect between accounts.
 *
 * @module
 */
import type { ClientAccount } from "../accounts/types.ts";
import { isLimited } from "../limits/limiter.ts";
import type { Clock } from "../runtime/clock.ts";

/** Recent requests of one account for one service. */
export interface AccountDemand {
  account: string;
  /** Priority of the account; undefined where it has none. */
  priority: number | undefined;
  /** Recent requests; older ones count less. */
  requests: number;
}

/** Recent requests of accounts for one service. */
export interface ServiceDemand {
  accounts: readonly AccountDemand[];
  /** Recent requests that found all their servers full, of all accounts. */
  full: number;
}

/** Whether accounts exceed their fair shares, by this VM's recent requests. */
export interface AccountShares {
  /**
   * Records an arrival; ignored for accounts without limit and priority.
   *
   * @param service Service that the request is for.
   * @param account Account that sends it.
   */
  recordRequest(service: string, account: ClientAccount | undefined): void;
  /**
   * Records that a request finds all its servers full, by the limits that apply
   * to accounts within their share.
   *
   * @param service Service that the request is for.
   * @param account Account that sends it.
   */
  recordFull(service: string, account: ClientAccount | undefined): void;
  /**
   * Records a request of an account over its share for which a server would have
   * had room within the share.
   */
  recordHeldBack(): void;
  /**
   * @param service Service that a request is for.
   * @param account Account that sends it.
   * @returns Whether the account exceeds its fair share of the service.
   */
  isExceeded(service: string, account: ClientAccount | undefined): boolean;
  /**
   * @returns Accounts that exceed their fair share, by service; services without
   *   one are left out.
   */
  listExceeded(): Record<string, AccountDemand[]>;
  /** @returns Number of requests that were held back. */
  countHeldBack(): number;
}

/**
 * Time constant by which recent requests decay. A VM that receives one in 65 of
 * 150 requests per second of an account then counts 11 of it on average, and one
 * of an account with 15 per second.
 */
const DECAY_MS = 5_000;
/** Fewer recent requests don't show that an account is active. */
const MIN_ACTIVE_REQUESTS = 0.2;
/**
 * Fewer requests that found all servers full show no shortage. A single one
 * counts for 3.5 s.
 */
const MIN_FULL_REQUESTS = 0.5;
/**
 * Fewer recent requests don't show how much an account sends; 3 held back accounts
 * that send as usual.
 */
const MIN_EXCEEDING_REQUESTS = 8;
/**
 * Recent requests, in fair shares, from which an account exceeds its share. Counts
 * of few requests differ by chance.
 */
const EXCESS_RATIO = 1.5;

/**
 * Max-min fairness with equal weights: the share is the largest for which all
 * accounts together, each with at most that share, ask for no more than was
 * served.
 *
 * @param requests Recent requests of each account.
 * @param served Requests among them that the service had slots for.
 * @returns The fair share in requests; infinite where all were served.
 */
export function computeFairShare(
  requests: readonly number[],
  served: number,
): number {
  let left = served;
  const ascending = requests.toSorted((a, b) => a - b);
  for (const [index, demand] of ascending.entries()) {
    const share = left / (ascending.length - index);
    if (demand > share) return share;
    left -= demand;
  }
  return Infinity;
}

/**
 * An account is only held back for others that are within their share and not
 * less urgent.
 *
 * @param demand Recent requests for a service.
 * @returns Accounts that exceed their fair share.
 */
export function findExceeding(
  { accounts, full }: ServiceDemand,
): AccountDemand[] {
  const active = accounts.filter(({ requests }) =>
    requests >= MIN_ACTIVE_REQUESTS
  );
  const total = active.reduce((sum, { requests }) => sum + requests, 0);
  const share = computeFairShare(
    active.map(({ requests }) => requests),
    Math.max(0, total - full),
  );
  const minRequests = Math.max(MIN_EXCEEDING_REQUESTS, EXCESS_RATIO * share);
  const within = active.filter(({ requests }) => requests < minRequests);
  return active.filter((demand) =>
    demand.requests >= minRequests &&
    within.some((other) => getRank(other) <= getRank(demand))
  );
}

/** Accounts without a priority count as the least urgent. */
function getRank({ priority }: AccountDemand): number {
  return priority ?? Infinity;
}

/** Whether the rule applies to an account. */
function isConfigured(
  account: ClientAccount | undefined,
): account is ClientAccount {
  return account !== undefined &&
    (account.priority !== undefined || isLimited(account));
}

/** A sum whose parts count less with time. */
interface DecayingSum {
  sum: number;
  atMs: number;
}

interface ServiceRecord {
  byAccount: Map<string, DecayingSum & { priority: number | undefined }>;
  full: DecayingSum;
}

/**
 * @param clock The clock.
 * @returns A record without requests, for which no account exceeds its share.
 */
export function createAccountShares(clock: Clock): AccountShares {
  const recordByService = new Map<string, ServiceRecord>();
  let heldBack = 0;

  function getSum({ sum, atMs }: DecayingSum): number {
    return sum * Math.exp((atMs - clock.monotonicMs()) / DECAY_MS);
  }

  function increment(previous: DecayingSum | undefined): DecayingSum {
    const sum = previous === undefined ? 0 : getSum(previous);
    return { sum: sum + 1, atMs: clock.monotonicMs() };
  }

  function list(service: string): AccountDemand[] {
    const record = recordByService.get(service);
    if (record === undefined || getSum(record.full) < MIN_FULL_REQUESTS) {
      return [];
    }
    const accounts: AccountDemand[] = [];
    for (const [account, recent] of record.byAccount) {
      const requests = getSum(recent);
      if (requests < MIN_ACTIVE_REQUESTS) record.byAccount.delete(account);
      else accounts.push({ account, priority: recent.priority, requests });
    }
    return findExceeding({ accounts, full: getSum(record.full) });
  }

  return {
    recordRequest(service, account) {
      if (!isConfigured(account)) return;
      const record = recordByService.get(service) ??
        { byAccount: new Map(), full: { sum: 0, atMs: 0 } };
      recordByService.set(service, record);
      const { name, priority } = account;
      const recent = increment(record.byAccount.get(name));
      record.byAccount.set(name, { ...recent, priority });
    },
    recordFull(service, account) {
      const record = recordByService.get(service);
      if (!isConfigured(account) || record === undefined) return;
      record.full = increment(record.full);
    },
    recordHeldBack: () => void heldBack++,
    isExceeded(service, account) {
      return isConfigured(account) &&
        list(service).some((demand) => demand.account === account.name);
    },
    listExceeded: () =>
      Object.fromEntries(
        [...recordByService.keys()]
          .map((service) => [service, list(service)] as const)
          .filter(([, exceeding]) => exceeding.length > 0),
      ),
    countHeldBack: () => heldBack,
  };
}
