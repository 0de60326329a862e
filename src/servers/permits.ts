/**
 * Leave to send one more request to a backend server.
 *
 * Load pattern: a server in need names a rate far below what it is sent. Each
 * VM that kept to the whole rate by itself would send it as many times that as
 * there are VMs.
 *
 * @module
 */
import type { LimitedHolder, RateLimiter } from "../limits/limiter.ts";
import type { RunTimes } from "./run_times.ts";
import type { ServerRateLimits } from "./rate_limits.ts";
import type { ListedServer } from "./types.ts";

/** Gives leave to send. */
export interface ServerPermits {
  /**
   * Takes one request's worth of what a server allows.
   *
   * @param server The server.
   * @returns Whether a request may be sent.
   */
  take(server: ListedServer): boolean;
  /** Gives back what was taken for a request that was not sent. */
  giveBack(server: ListedServer): void;
  /** @returns Slots that a server's rate leaves of its own. */
  getSlots(server: ListedServer): number;
  /**
   * @param servers Servers that gave no leave.
   * @returns When one of them may, in ms.
   */
  getWaitMs(servers: readonly ListedServer[]): number;
  /** @returns Why a server gives no leave, for a log line. */
  describe(server: ListedServer): Record<string, unknown>;
}

/** What permits need. */
export interface ServerPermitParts {
  rateLimits: Pick<ServerRateLimits, "getRatePerS" | "describe">;
  /** Spends rates with all other VMs. */
  limiter: RateLimiter;
  runTimes: RunTimes;
}

/** Time of a rate that may be saved up. */
const BURST_S = 1;
const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 5_000;

/**
 * @param server The start of a server.
 * @param ratePerS Requests a second that it takes.
 * @returns The server as the holder of a limit.
 */
export function toLimitHolder(
  server: string,
  ratePerS: number,
): LimitedHolder {
  return { name: server, ratePerS, burst: ratePerS * BURST_S };
}

/**
 * @param parts What permits need.
 * @returns Permits for all servers.
 */
export function createServerPermits(
  { rateLimits, limiter, runTimes }: ServerPermitParts,
): ServerPermits {
  return {
    take({ id }) {
      const ratePerS = rateLimits.getRatePerS(id);
      if (ratePerS === undefined) return true;
      return limiter.take(toLimitHolder(id, ratePerS)).kind === "within";
    },
    giveBack({ id }) {
      const ratePerS = rateLimits.getRatePerS(id);
      if (ratePerS !== undefined) limiter.giveBack(toLimitHolder(id, ratePerS));
    },
    getSlots({ id, service, slots }) {
      const ratePerS = rateLimits.getRatePerS(id);
      const runMs = runTimes.getMs(service);
      if (ratePerS === undefined || runMs === undefined) return slots;
      return Math.min(slots, ratePerS * runMs / 1_000);
    },
    getWaitMs(servers) {
      const rates = servers.map(({ id }) => rateLimits.getRatePerS(id) ?? 0);
      const waitMs = 1_000 / Math.max(...rates);
      return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs));
    },
    describe: ({ id }) => ({ server: id, ...rateLimits.describe(id) }),
  };
}
