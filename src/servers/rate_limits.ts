/**
 * Rate limits that backend servers advertise in their answers, to this VM or to
 * another one.
 *
 * The newest answer at any VM counts. A limit stays in force until an answer
 * carries none, or until no answer has come for long. It is then ramped up, so
 * that the load doesn't return all at once.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** Change of a server's rate limit, as VMs send it to each other. */
export interface RateLimitUpdate {
  /** Id of the server instance. */
  server: string;
  /** Absent where the limit was lifted. */
  ratePerS?: number;
  /** Time since the answer that the update is based on. */
  ageMs: number;
}

/** A rate limit in force. */
export interface RateLimitState {
  server: string;
  /** The limit that the server advertised last. */
  advertisedPerS: number;
  /** The limit in force, which is higher while it is ramped up. */
  ratePerS: number;
  /** Time since the limit was advertised. */
  ageMs: number;
  /** The VM that received the answer. */
  by: string;
}

/** Rate limits of backend servers. */
export interface ServerRateLimits {
  /**
   * Records the rate limit in an answer that this VM received.
   *
   * @param server Id of the server instance.
   * @param ratePerS The advertised limit, if any.
   */
  record(server: string, ratePerS: number | undefined): void;
  /**
   * Applies updates from another VM.
   *
   * @param vm The other VM.
   * @param updates Its updates.
   * @returns The updates that are new to this VM, to be relayed.
   */
  receive(vm: string, updates: readonly RateLimitUpdate[]): RateLimitUpdate[];
  /** @returns Updates since the last call, to be sent to other VMs. */
  takeUpdates(): RateLimitUpdate[];
  /** @returns Requests a second from all VMs; undefined without a limit. */
  getRatePerS(server: string): number | undefined;
  /** @returns State of a server's limit, empty without one; for a log line. */
  describe(server: string): Partial<RateLimitState>;
  /** @returns The limits in force. */
  list(): RateLimitState[];
  /** @returns Number of servers with a rate limit. */
  count(): number;
  /**
   * Subscribes to the first limit where there was none.
   *
   * @param onFirst Called for each server that gets a limit while no other
   *   server has one.
   */
  subscribe(onFirst: () => void): void;
}

/** Dependencies of `createServerRateLimits`. */
export interface RateLimitOptions {
  clock: Clock;
  log: Log;
  ownId: string;
}

/** Minimum time that a limit holds after the last answer that carried it. */
const MIN_HOLD_MS = 5_000;
const MAX_HOLD_MS = 60_000;
/** A limit holds for the time of this many answers at its own rate. */
const HELD_ANSWERS = 3;
/** Time in which a limit doubles while it is ramped up. */
const DOUBLING_MS = 1_000;
/** Doublings after which a lifted limit is dropped. */
const MAX_DOUBLINGS = 6;
/** Lowest rate to start a ramp from, for limits near zero. */
const MIN_RAMP_PER_S = 0.5;
/** Interval at which an unchanged limit is sent to other VMs again. */
const RENEW_MS = 1_000;
/** Smaller relative changes of a limit wait for the next renewal. */
const SENT_CHANGE_RATIO = 0.1;
/** Updates that are newer by less are the same update, relayed by another VM. */
const SAME_UPDATE_MS = 100;
/** Changes by less than this factor are not logged. */
const LOGGED_FACTOR = 1.5;
const LOG_INTERVAL_MS = 5_000;
/** Maximum number of servers whose limits are kept. */
const MAX_SERVERS = 4_096;

interface TrackedLimit {
  server: string;
  advertisedPerS: number;
  advertisedAtMs: number;
  /** Time of the first answer without a limit; undefined while it is in force. */
  liftedAtMs: number | undefined;
  by: string;
  /** Whether an update has to be sent to other VMs. */
  isPending: boolean;
  /** The limit that other VMs know of; undefined where they know of none. */
  sentPerS: number | undefined;
  sentAtMs: number;
  loggedPerS: number;
  loggedAtMs: number;
}

/**
 * @param options Dependencies of the rate limits.
 * @returns An empty set of rate limits.
 */
export function createServerRateLimits(
  { clock, log, ownId }: RateLimitOptions,
): ServerRateLimits {
  const limits = new Map<string, TrackedLimit>();
  const listeners: (() => void)[] = [];

  function track(
    server: string,
    advertisedPerS: number,
  ): TrackedLimit | undefined {
    if (limits.size >= MAX_SERVERS) sweep();
    if (limits.size >= MAX_SERVERS) return undefined;
    const limit: TrackedLimit = {
      server,
      advertisedPerS,
      advertisedAtMs: -Infinity,
      liftedAtMs: undefined,
      by: ownId,
      isPending: false,
      sentPerS: undefined,
      sentAtMs: -Infinity,
      loggedPerS: NaN,
      loggedAtMs: -Infinity,
    };
    limits.set(server, limit);
    if (limits.size === 1) { for (const onFirst of listeners) onFirst(); }
    return limit;
  }

  function getRampStartMs(
    { liftedAtMs, advertisedAtMs, advertisedPerS }: TrackedLimit,
  ): number {
    const holdMs = Math.min(
      MAX_HOLD_MS,
      Math.max(MIN_HOLD_MS, HELD_ANSWERS * 1_000 / advertisedPerS),
    );
    return liftedAtMs ?? advertisedAtMs + holdMs;
  }

  /** @returns The limit in force; undefined once the ramp is complete. */
  function getCurrentPerS(limit: TrackedLimit): number | undefined {
    const rampedMs = clock.monotonicMs() - getRampStartMs(limit);
    if (rampedMs <= 0) return limit.advertisedPerS;
    const doublings = rampedMs / DOUBLING_MS;
    if (doublings > MAX_DOUBLINGS) return undefined;
    return Math.max(limit.advertisedPerS, MIN_RAMP_PER_S) * 2 ** doublings;
  }

  function sweep(): void {
    for (const [server, limit] of limits) {
      if (getCurrentPerS(limit) === undefined) limits.delete(server);
    }
  }

  function setAdvertised(
    limit: TrackedLimit,
    by: string,
    perS: number,
    atMs: number,
  ) {
    const isNew = limit.advertisedAtMs === -Infinity ||
      limit.liftedAtMs !== undefined;
    limit.advertisedPerS = perS;
    limit.advertisedAtMs = atMs;
    limit.liftedAtMs = undefined;
    limit.by = by;
    if (isNew || isFarFrom(perS, limit.loggedPerS)) logRate(limit, isNew);
  }

  function logRate(limit: TrackedLimit, isNew: boolean): void {
    const nowMs = clock.monotonicMs();
    if (!isNew && nowMs - limit.loggedAtMs < LOG_INTERVAL_MS) return;
    limit.loggedPerS = limit.advertisedPerS;
    limit.loggedAtMs = nowMs;
    const { server, advertisedPerS: ratePerS, by, advertisedAtMs } = limit;
    const ageMs = Math.round(nowMs - advertisedAtMs);
    log.info({ server, ratePerS, by, ageMs }, "server rate limit");
  }

  function setLifted(limit: TrackedLimit, by: string, atMs: number): void {
    limit.liftedAtMs = atMs;
    limit.by = by;
    const { server, advertisedPerS: ratePerS } = limit;
    log.info({ server, ratePerS, by }, "server rate limit lifted");
  }

  function recordAdvertised(server: string, perS: number): void {
    const limit = limits.get(server) ?? track(server, perS);
    if (limit === undefined) return;
    const nowMs = clock.monotonicMs();
    setAdvertised(limit, ownId, perS, nowMs);
    const { sentPerS, sentAtMs } = limit;
    const isChanged = sentPerS === undefined ||
      Math.abs(perS - sentPerS) > SENT_CHANGE_RATIO * sentPerS;
    if (isChanged || nowMs - sentAtMs >= RENEW_MS) limit.isPending = true;
  }

  function recordLifted(server: string): void {
    const limit = limits.get(server);
    if (limit === undefined || limit.liftedAtMs !== undefined) return;
    setLifted(limit, ownId, clock.monotonicMs());
    limit.isPending = true;
  }

  /** @returns Whether the update is newer than this VM's state. */
  function applyUpdate(
    vm: string,
    { server, ratePerS, ageMs }: RateLimitUpdate,
  ): boolean {
    const nowMs = clock.monotonicMs();
    const atMs = nowMs - ageMs;
    const existing = limits.get(server);
    const existingAtMs = Math.max(
      existing?.advertisedAtMs ?? -Infinity,
      existing?.liftedAtMs ?? -Infinity,
    );
    if (atMs < existingAtMs + SAME_UPDATE_MS) return false;
    const limit = existing ??
      (ratePerS === undefined ? undefined : track(server, ratePerS));
    if (limit === undefined) return false;
    if (ratePerS !== undefined) setAdvertised(limit, vm, ratePerS, atMs);
    else if (limit.liftedAtMs === undefined) setLifted(limit, vm, atMs);
    limit.isPending = false;
    limit.sentPerS = ratePerS;
    limit.sentAtMs = nowMs;
    return true;
  }

  function toState(limit: TrackedLimit): RateLimitState {
    return {
      server: limit.server,
      advertisedPerS: limit.advertisedPerS,
      ratePerS: getCurrentPerS(limit) ?? Infinity,
      ageMs: Math.round(clock.monotonicMs() - limit.advertisedAtMs),
      by: limit.by,
    };
  }

  /** Makes an update, and records that it was sent. */
  function toUpdate(limit: TrackedLimit): RateLimitUpdate {
    const { server, advertisedPerS, advertisedAtMs, liftedAtMs } = limit;
    const nowMs = clock.monotonicMs();
    limit.isPending = false;
    limit.sentAtMs = nowMs;
    limit.sentPerS = liftedAtMs === undefined ? advertisedPerS : undefined;
    const ageMs = nowMs - (liftedAtMs ?? advertisedAtMs);
    return liftedAtMs === undefined
      ? { server, ratePerS: advertisedPerS, ageMs }
      : { server, ageMs };
  }

  return {
    record(server, ratePerS) {
      if (ratePerS === undefined) recordLifted(server);
      else recordAdvertised(server, ratePerS);
    },
    receive: (vm, updates) =>
      updates.filter((update) => applyUpdate(vm, update)),
    takeUpdates() {
      sweep();
      return [...limits.values()].filter(({ isPending }) => isPending).map(
        toUpdate,
      );
    },
    getRatePerS(server) {
      const limit = limits.get(server);
      return limit === undefined ? undefined : getCurrentPerS(limit);
    },
    describe(server) {
      const limit = limits.get(server);
      return limit === undefined ? {} : toState(limit);
    },
    list() {
      sweep();
      return [...limits.values()].map(toState);
    },
    count: () => limits.size,
    subscribe: (onFirst) => void listeners.push(onFirst),
  };
}

function isFarFrom(perS: number, otherPerS: number): boolean {
  return !(perS < LOGGED_FACTOR * otherPerS &&
    otherPerS < LOGGED_FACTOR * perS);
}
