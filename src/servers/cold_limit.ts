/**
 * Keeps requests to a cold backend server under its rate, summed over all VMs
 * and without messages between them.
 *
 * Few VMs may send to a cold server: the first two of its region by rendezvous
 * hash. Each spends half of the server's rate. Dividing the rate by all VMs
 * leaves each less than one request a second, and the bursts of twelve VMs add
 * up to more than the server bears.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { hashToUnit } from "../runtime/hash.ts";

/** Spends the rate of cold servers. */
export interface ColdLimit {
  /**
   * Takes one request's worth if this VM may send it.
   *
   * @param serverId The cold server.
   * @param ratePerS What it bears a second, from all VMs.
   * @param region Its region.
   * @returns Whether the request may be sent.
   */
  take(serverId: string, ratePerS: number, region: string): boolean;
}

/** VMs that may send to one cold server. */
const SENDERS = 2;
/**
 * Share of the rate that is spent. The rest covers requests that arrive
 * closer together than they were sent, and a VM that sees other members.
 */
const SPENT_SHARE = 0.9;
/** Requests that may be sent at once. */
const BURST = 1.5;

interface Bucket {
  tokens: number;
  atMs: number;
}

/** What the limit needs to know of the VMs. */
export interface ColdLimitOptions {
  clock: Clock;
  ownId: string;
  /** Ids of the VMs that run in a region, this one's included. */
  listVms: (region: string) => readonly string[];
}

/**
 * @param parts Clock and VMs.
 * @returns A limit of which nothing is spent.
 */
export function createColdLimit(parts: ColdLimitOptions): ColdLimit {
  const { clock, ownId, listVms } = parts;
  const buckets = new Map<string, Bucket>();

  function isSender(serverId: string, region: string): boolean {
    const ownRank = hashToUnit(`${serverId} ${ownId}`);
    const vms = listVms(region);
    if (!vms.includes(ownId)) return false;
    const before = vms.filter((vm) =>
      vm !== ownId && hashToUnit(`${serverId} ${vm}`) < ownRank
    );
    return before.length < SENDERS;
  }

  function take(
    serverId: string,
    ratePerS: number,
    region: string,
  ): boolean {
    if (!isSender(serverId, region)) return false;
    const nowMs = clock.monotonicMs();
    const bucket = buckets.get(serverId) ?? { tokens: 1, atMs: nowMs };
    const ownRatePerS = ratePerS * SPENT_SHARE / SENDERS;
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
