/**
 * Permits to send one more request to a backend server.
 *
 * Load patterns: a server that shed requests asked for a backoff; an overloaded
 * server advertises a rate limit far below its demand. VMs that each used the
 * whole rate would send a multiple of it, by the number of VMs.
 *
 * @module
 */
import type { LimitedSubject, RateLimiter } from "../limits/limiter.ts";
import type { Random } from "../runtime/random.ts";
import type { ServerBackoffs } from "./backoffs.ts";
import type { RunTimes } from "./run_times.ts";
import type { ServerRateLimits } from "./rate_limits.ts";
import type { ListedServer } from "./types.ts";

/** Outcome of a request for which a permit was taken. */
export type PermitOutcome =
  | "taken"
  /** The server did not run it. */
  | "turned_away"
  /** It was not sent; the permit is refunded. */
  | "not_sent"
  /** Unknown: the connection ended without an answer. */
  | "lost";

/** Issues permits. */
export interface ServerPermits {
  /** @returns Whether a server has a rate limit. */
  isRateLimited(server: ListedServer): boolean;
  /**
   * Takes a permit for one request.
   *
   * @param server The server.
   * @returns Whether the request may be sent.
   */
  take(server: ListedServer): boolean;
  /**
   * @param server A server for which a permit was taken.
   * @returns Whether the permit is still valid.
   */
  isValid(server: ListedServer): boolean;
  /** Records the outcome of a request for which a permit was taken. */
  end(server: ListedServer, outcome: PermitOutcome): void;
  /** @returns Slots of a server that its backoff and rate limit leave usable. */
  getEffectiveSlots(server: ListedServer): number;
  /**
   * @param servers Servers for which no permit could be taken.
   * @returns Time in ms until one of them may be sent a request.
   */
  getWaitMs(servers: readonly ListedServer[]): number;
  /** @returns The server's backoff and rate limit, for a log line. */
  describe(server: ListedServer): Record<string, unknown>;
}

/** Dependencies of `createServerPermits`. */
export interface ServerPermitOptions {
  rateLimits: Pick<ServerRateLimits, "getRatePerS" | "describe">;
  /** Enforces the rate limits over all VMs together. */
  limiter: RateLimiter;
  backoffs: ServerBackoffs;
  random: Random;
  runTimes: RunTimes;
}

/** Burst on top of a rate limit, as seconds of the rate. */
const BURST_S = 1;
const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 10_000;
/** Random share added to waits, so that refused callers return spread out. */
const MAX_JITTER = 0.25;

/**
 * @param server Id of a server instance.
 * @param ratePerS Requests a second that it takes.
 * @returns The server as the subject of a limit.
 */
export function toLimitSubject(
  server: string,
  ratePerS: number,
): LimitedSubject {
  return { name: server, ratePerS, burst: ratePerS * BURST_S };
}

/**
 * @param options Dependencies of the permits.
 * @returns Permits for all servers.
 */
export function createServerPermits(
  { rateLimits, limiter, backoffs, random, runTimes }: ServerPermitOptions,
): ServerPermits {
  function takeFromRate(id: string): boolean {
    const ratePerS = rateLimits.getRatePerS(id);
    if (ratePerS === undefined) return true;
    return limiter.take(toLimitSubject(id, ratePerS)).kind === "within";
  }

  function refund(id: string): void {
    const ratePerS = rateLimits.getRatePerS(id);
    if (ratePerS !== undefined) limiter.refund(toLimitSubject(id, ratePerS));
  }

  function getServerWaitMs({ id }: ListedServer): number {
    const ratePerS = rateLimits.getRatePerS(id);
    const rateWaitMs = ratePerS === undefined ? 0 : 1_000 / ratePerS;
    return Math.max(backoffs.getLeftMs(id), rateWaitMs);
  }

  return {
    isRateLimited: ({ id }) => rateLimits.getRatePerS(id) !== undefined,
    take({ id }) {
      if (!backoffs.take(id)) return false;
      const isTaken = takeFromRate(id);
      if (!isTaken) backoffs.end(id, false);
      return isTaken;
    },
    isValid: ({ id }) => backoffs.getLeftMs(id) === 0,
    end({ id }, outcome) {
      if (outcome === "not_sent") refund(id);
      backoffs.end(id, outcome === "taken");
    },
    getEffectiveSlots({ id, service, slots }) {
      if (backoffs.getLeftMs(id) > 0) return 0;
      const ratePerS = rateLimits.getRatePerS(id);
      if (ratePerS === undefined) return slots;
      const runMs = runTimes.getMeanMs(service);
      if (runMs === undefined) return slots;
      return Math.min(slots, ratePerS * runMs / 1_000);
    },
    getWaitMs(servers) {
      const waitMs = Math.min(...servers.map(getServerWaitMs));
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
