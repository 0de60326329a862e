/**
 * Limits that backend servers set in their answers: rate limits, which all VMs
 * share, and backoffs, which each VM keeps on its own.
 *
 * @module
 */
import type { LimitMargin, RateLimiter } from "../limits/limiter.ts";
import { createLimitShares, type LimitShares } from "../limits/shares.ts";
import { SharedUsageLimiter } from "../limits/shared_usage_limiter.ts";
import {
  startUsageSharing,
  type UsageSharing,
  type UsageUpdate,
} from "../limits/usage_sharing.ts";
import type { Topology } from "../members/hubs.ts";
import type { VmIdentity } from "../members/types.ts";
import type { Clock, Timer } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import {
  createServerBackoffs,
  type ServerBackoffs,
} from "../servers/backoffs.ts";
import {
  createServerPermits,
  type ServerPermits,
  toLimitSubject,
} from "../servers/permits.ts";
import {
  createServerRateLimits,
  type RateLimitUpdate,
  type ServerRateLimits,
} from "../servers/rate_limits.ts";
import type { RunTimes } from "../servers/run_times.ts";
import type { Log } from "../telemetry/log.ts";

/** Limits set by backend servers. */
export interface ServerLimits {
  rateLimits: ServerRateLimits;
  limiter: RateLimiter;
  limitShares: LimitShares;
  backoffs: ServerBackoffs;
  permits: ServerPermits;
}

/** Dependencies of the limits. */
export interface ServerLimitsOptions {
  clock: Clock;
  log: Log;
  random: Random;
  ownId: string;
  /** @returns Number of VMs that may serve, this one included. */
  countKnownVms: () => number;
  runTimes: RunTimes;
}

/** No margin: partitioned VMs must not exceed a limit together either. */
const LIMIT_MARGIN: LimitMargin = { windowMs: 4_000, ratio: 0, allowance: 0 };
/**
 * Interval at which changed rate limits are sent, collected into one message.
 */
const RATE_LIMIT_SEND_INTERVAL_MS = 100;

/**
 * @param options Dependencies of the limits.
 * @returns Limits without any entry.
 */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, log, random, ownId, countKnownVms, runTimes } = options;
  const rateLimits = createServerRateLimits({ clock, log, ownId });
  const limitShares = createLimitShares(clock, countKnownVms);
  const limiter = new SharedUsageLimiter({
    clock,
    random,
    getShare: limitShares.getShare,
    getOwnShare: limitShares.getOwnShare,
    // A limit starts while its server is in use, so it starts without a burst.
    getStableMs: () => 0,
    margin: LIMIT_MARGIN,
    findSubject(name) {
      const ratePerS = rateLimits.getRatePerS(name);
      return ratePerS === undefined
        ? undefined
        : toLimitSubject(name, ratePerS);
    },
  });
  const backoffs = createServerBackoffs(clock, log);
  const permits = createServerPermits({
    rateLimits,
    limiter,
    backoffs,
    random,
    runTimes,
  });
  return { rateLimits, limiter, limitShares, backoffs, permits };
}

/** Dependencies of the exchange of limits between VMs. */
export interface ServerLimitSharingOptions {
  self: VmIdentity;
  clock: Clock;
  limits: ServerLimits;
  /** @returns The other VMs that are up. */
  listPeers: () => VmIdentity[];
  getTopology: () => Topology;
  /**
   * Sends usage of rate limits to some VMs.
   *
   * @param vmIds The VMs to send it to.
   * @param update The usage.
   */
  sendUsage: (vmIds: readonly string[], update: UsageUpdate) => void;
  /**
   * Sends changed rate limits to all VMs.
   *
   * @param rates The rate limits.
   */
  sendRateLimits: (rates: RateLimitUpdate[]) => void;
}

/** A running exchange of limits. */
export type ServerLimitSharing = Pick<UsageSharing, "receive" | "stop">;

/**
 * Starts to exchange rate limits and their usage with other VMs. Its timers run
 * only while a server has a limit: without one they would wake each VM 15 times
 * a second for nothing.
 *
 * @param options Dependencies of the exchange.
 * @returns The running exchange of usage.
 */
export function startServerLimitSharing(
  options: ServerLimitSharingOptions,
): ServerLimitSharing {
  const { self, clock, limits } = options;
  const { rateLimits, limiter, limitShares } = limits;
  const usageSharing = startUsageSharing({
    self,
    clock,
    limiter,
    limitShares,
    hasLimits: () => rateLimits.count() > 0,
    listPeers: options.listPeers,
    getTopology: options.getTopology,
    send: options.sendUsage,
  });
  let timer: Timer | undefined;
  let isStopped = false;

  function pause(): void {
    timer?.cancel();
    timer = undefined;
    usageSharing.stop();
  }

  function resume(): void {
    if (isStopped) return;
    timer ??= clock.every(RATE_LIMIT_SEND_INTERVAL_MS, sendRateLimits);
    usageSharing.resume();
  }

  function sendRateLimits(): void {
    const rates = rateLimits.takeUpdates();
    if (rates.length > 0) options.sendRateLimits(rates);
    if (rateLimits.count() === 0) pause();
  }

  rateLimits.subscribe(resume);
  if (rateLimits.count() > 0) resume();
  else pause();
  return {
    receive: usageSharing.receive,
    stop() {
      isStopped = true;
      pause();
    },
  };
}
