/**
 * Permits to send one more request to a backend server.
 *
 * Load patterns: a server that shed requests asked for a backoff; a server in
 * need advertises a rate limit far below what it is sent. VMs that each kept to
 * the whole rate would send it as many times that as there are VMs.
 *
 * @module
 */
import type { LimitedSubject, RateLimiter } from "../limits/limiter.ts";
import type { Random } from "../runtime/random.ts";
import type { ServerBackoffs } from "./backoffs.ts";
import type { RunTimes } from "./run_times.ts";
import type { ServerRateLimits } from "./rate_limits.ts";
import type { ListedServer } from "./types.ts";

/** How a request ended for which a permit was taken. */
export type PermitOutcome =
  | "taken"
  /** The server did not run it. */
  | "turned_away"
  /** It was not sent: what was taken is given back. */
  | "not_sent"
  /** Nobody knows. */
  | "lost";

/** Gives permits. */
export interface ServerPermits {
  /** @returns Whether a server has a rate limit. */
  isRateLimited(server: ListedServer): boolean;
  /**
   * Takes one request's worth of what a server allows.
   *
   * @param server The server.
   * @returns Whether a request may be sent.
   */
  take(server: ListedServer): boolean;
  /**
   * @param server A server for which a permit was taken.
   * @returns Whether the permit still holds.
   */
  isValid(server: ListedServer): boolean;
  /** Notes how a request ended for which a permit was taken. */
  end(server: ListedServer, end: PermitOutcome): void;
  /** @returns Slots that a server can be used with, by its rate limit. */
  getEffectiveSlots(server: ListedServer): number;
  /**
   * @param servers Servers that gave no permit.
   * @returns When one of them may, in ms.
   */
  getWaitMs(servers: readonly ListedServer[]): number;
  /** @returns Why a server gives no permit, for a log line. */
  describe(server: ListedServer): Record<string, unknown>;
}

/** What permits need. */
export interface ServerPermitOptions {
  rateLimits: Pick<ServerRateLimits, "getRatePerS" | "describe">;
  /** Spends rates with all other VMs. */
  limiter: RateLimiter;
  backoffs: ServerBackoffs;
  random: Random;
  runTimes: RunTimes;
}

/** Time of a rate that may be saved up. */
const BURST_S = 1;
const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 10_000;
/** Jitter: callers that are refused together come back at different times. */
const MAX_JITTER = 0.25;

/**
 * @param server The start of a server.
 * @param ratePerS Requests a second that it takes.
 * @returns The server as the holder of a limit.
 */
export function toLimitSubject(
  server: string,
  ratePerS: number,
): LimitedSubject {
  return { name: server, ratePerS, burst: ratePerS * BURST_S };
}

/**
 * @param parts What permits need.
 * @returns Permits for all servers.
 */
export function createServerPermits(
  { rateLimits, limiter, backoffs, random, runTimes }: ServerPermitOptions,
): ServerPermits {
  function takeOfRate(id: string): boolean {
    const ratePerS = rateLimits.getRatePerS(id);
    if (ratePerS === undefined) return true;
    return limiter.take(toLimitSubject(id, ratePerS)).kind === "within";
  }

  function giveBack(id: string): void {
    const ratePerS = rateLimits.getRatePerS(id);
    if (ratePerS !== undefined) limiter.refund(toLimitSubject(id, ratePerS));
  }

  function getOwnWaitMs({ id }: ListedServer): number {
    const ratePerS = rateLimits.getRatePerS(id);
    const rateWaitMs = ratePerS === undefined ? 0 : 1_000 / ratePerS;
    return Math.max(backoffs.getLeftMs(id), rateWaitMs);
  }

  return {
    isRateLimited: ({ id }) => rateLimits.getRatePerS(id) !== undefined,
    take({ id }) {
      if (!backoffs.take(id)) return false;
      const isTaken = takeOfRate(id);
      if (!isTaken) backoffs.end(id, false);
      return isTaken;
    },
    isValid: ({ id }) => backoffs.getLeftMs(id) === 0,
    end({ id }, end) {
      if (end === "not_sent") giveBack(id);
      backoffs.end(id, end === "taken");
    },
    getEffectiveSlots({ id, service, slots }) {
      if (backoffs.getLeftMs(id) > 0) return 0;
      const ratePerS = rateLimits.getRatePerS(id);
      const runMs = runTimes.getMeanMs(service);
      if (ratePerS === undefined || runMs === undefined) return slots;
      return Math.min(slots, ratePerS * runMs / 1_000);
    },
    getWaitMs(servers) {
      const waitMs = Math.min(...servers.map(getOwnWaitMs));
      const boundMs = Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs));
      return Math.round(boundMs * (1 + MAX_JITTER * random()));
    },
    describe({ id }) {
      const backoffMs = Math.round(backoffs.getLeftMs(id));
      const backoff = backoffMs > 0 ? { backoffMs } : {};
      return { server: id, ...backoff, ...rateLimits.describe(id) };
    },
  };
}
