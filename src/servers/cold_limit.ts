/**
 * Limits the rate of requests to a cold backend server, summed over all VMs and
 * without messages between them.
 *
 * Only a few VMs may send to a cold server: the first two of its region by
 * rendezvous hashing, each at half of the server's rate. If the rate were
 * divided by all VMs, each would get less than one request a second, and the
 * bursts of twelve VMs would add up to more than the server can handle.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { hashToUnit } from "../runtime/hash.ts";

/** Limits the rate of requests to cold servers. */
export interface ColdLimit {
  /**
   * Takes one request from the limit of a cold server, if this VM may send it.
   *
   * @param serverId The cold server.
   * @param ratePerS Requests a second that it can handle, from all VMs.
   * @param region Its region.
   * @returns Whether the request may be sent.
   */
  take(serverId: string, ratePerS: number, region: string): boolean;
}

/** VMs that may send to one cold server. */
const SENDERS_PER_SERVER = 2;
/**
 * Share of the rate that is used. The rest covers requests that arrive closer
 * together than they were sent, and VMs that see a different set of members.
 */
const USED_SHARE = 0.9;
/** Requests that may be sent at once. */
const BURST = 1.5;

interface Bucket {
  tokens: number;
  atMs: number;
}

/** Dependencies of `createColdLimit`. */
export interface ColdLimitOptions {
  clock: Clock;
  ownId: string;
  /** Lists ids of the VMs that run in a region, with this one's if it does. */
  listVms: (region: string) => readonly string[];
}

/**
 * @param options Dependencies of the limit.
 * @returns A limit of which nothing is used.
 */
export function createColdLimit(options: ColdLimitOptions): ColdLimit {
  const { clock, ownId, listVms } = options;
  const buckets = new Map<string, Bucket>();

  function isSender(serverId: string, region: string): boolean {
    const ownRank = hashToUnit(`${serverId} ${ownId}`);
    const vms = listVms(region);
    if (!vms.includes(ownId)) return false;
    const before = vms.filter((vm) =>
      vm !== ownId && hashToUnit(`${serverId} ${vm}`) < ownRank
    );
    return before.length < SENDERS_PER_SERVER;
  }

  function take(
    serverId: string,
    ratePerS: number,
    region: string,
  ): boolean {
    if (!isSender(serverId, region)) return false;
    const nowMs = clock.monotonicMs();
    const bucket = buckets.get(serverId) ?? { tokens: 1, atMs: nowMs };
    const ownRatePerS = ratePerS * USED_SHARE / SENDERS_PER_SERVER;
    const gained = (nowMs - bucket.atMs) / 1_000 * ownRatePerS;
    bucket.tokens = Math.min(BURST, bucket.tokens + gained);
    bucket.atMs = nowMs;
    buckets.set(serverId, bucket);
    if (bucket.tokens < 1) return false;
    bucket.tokens--;
    return true;
  }

  return { take };
}
