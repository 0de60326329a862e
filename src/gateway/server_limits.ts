/**
 * What backend servers ask for in their answers: rate limits, which all VMs spend
 * together and tell each other of, and backoffs, which each VM keeps by itself.
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
import type { Clock } from "../runtime/clock.ts";
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

/** What servers asked for. */
export interface ServerLimits {
  rateLimits: ServerRateLimits;
  limiter: RateLimiter;
  pool: LimitShares;
  backoffs: ServerBackoffs;
  permits: ServerPermits;
}

/** What keeping it needs. */
export interface ServerLimitParts {
  clock: Clock;
  log: Log;
  random: Random;
  ownId: string;
  /** VMs that may serve, this one included. */
  countKnown: () => number;
  runTimes: RunTimes;
}

/** VMs that are cut off don't exceed a limit together either. */
const MARGIN: LimitMargin = { windowMs: 4_000, ratio: 0, allowance: 0 };
/** Pause in which news of limits gather. */
const TELL_MS = 100;

/**
 * @param parts What keeping it needs.
 * @returns Limits and backoffs, of which there are none yet.
 */
export function createServerLimits(parts: ServerLimitParts): ServerLimits {
  const { clock, log, random, ownId, countKnown, runTimes } = parts;
  const rateLimits = createServerRateLimits({ clock, log, ownId });
  const pool = createLimitShares(clock, countKnown);
  const limiter = new SharedUsageLimiter({
    clock,
    random,
    getShare: pool.getShare,
    getOwnShare: pool.getOwnShare,
    // A limit begins while its server is in use: no burst is saved up.
    getStableMs: () => 0,
    margin: MARGIN,
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
  return { rateLimits, limiter, pool, backoffs, permits };
}

/** What telling others needs. */
export interface LimitSharingParts {
  self: VmIdentity;
  clock: Clock;
  limits: ServerLimits;
  listOthers: () => VmIdentity[];
  getTopology: () => Topology;
  sendUsage: (vmIds: readonly string[], news: UsageUpdate) => void;
  tellRates: (rates: RateLimitUpdate[]) => void;
}

/**
 * @param parts What telling others needs.
 * @returns The running exchange of what VMs spend.
 */
export function startServerLimitSharing(
  parts: LimitSharingParts,
): UsageSharing {
  const { self, clock, limits } = parts;
  const { rateLimits, limiter, pool } = limits;
  const usage = startUsageSharing({
    self,
    clock,
    limiter,
    limitShares: pool,
    hasLimits: () => rateLimits.count() > 0,
    listPeers: parts.listOthers,
    getTopology: parts.getTopology,
    send: parts.sendUsage,
  });
  const timer = clock.every(TELL_MS, () => {
    const rates = rateLimits.takeUpdates();
    if (rates.length > 0) parts.tellRates(rates);
  });
  return {
    receive: usage.receive,
    stop() {
      timer.cancel();
      usage.stop();
    },
  };
}
