/**
 * Rate limits that backend servers advertise in their answers, as far as any VM
 * heard of them.
 *
 * The newest answer at any VM counts. A limit holds until an answer carries none,
 * or none has come for long; then it is ramped up, so that the load doesn't come
 * back as one wave.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** What a VM tells others of one server. */
export interface RateLimitUpdate {
  /** The start of the server. */
  server: string;
  /** Absent where the limit was lifted. */
  ratePerS?: number;
  /** How long ago the answer came. */
  ageMs: number;
}

/** A rate limit in force. */
export interface RateLimitState {
  server: string;
  /** The limit that the server advertised last. */
  advertisedPerS: number;
  /** The limit that holds now, ramped up where it was lifted. */
  ratePerS: number;
  /** How long ago it was advertised, and to which VM. */
  ageMs: number;
  by: string;
}

/** Rate limits of servers. */
export interface ServerRateLimits {
  /**
   * Notes what an answer at this VM said.
   *
   * @param server The start of the server.
   * @param ratePerS The limit that it carried, if any.
   */
  record(server: string, ratePerS: number | undefined): void;
  /**
   * Takes in what another VM told.
   *
   * @param vm The VM.
   * @param news What it told.
   * @returns What is new here, to be passed on.
   */
  receive(vm: string, news: readonly RateLimitUpdate[]): RateLimitUpdate[];
  /** @returns What other VMs have to know since the last call. */
  takeUpdates(): RateLimitUpdate[];
  /** @returns Requests a second from all VMs; undefined where there is no limit. */
  getRatePerS(server: string): number | undefined;
  /** @returns A server's limit, its age and who was told; for a log line. */
  describe(server: string): Partial<RateLimitState>;
  /** @returns The limits in force. */
  list(): RateLimitState[];
  /** @returns How many servers have one. */
  count(): number;
}

/** What rate limits need. */
export interface RateLimitOptions {
  clock: Clock;
  log: Log;
  ownId: string;
}

/** A limit holds at least this long after the last answer that carried it. */
const MIN_HOLD_MS = 5_000;
const MAX_HOLD_MS = 60_000;
/** Answers that may be missing at a rate as low as the limit. */
const HELD_ANSWERS = 3;
/** A lifted limit doubles in this time, until it is dropped. */
const DOUBLING_MS = 1_000;
const MAX_DOUBLINGS = 6;
/** A limit near zero is ramped up from here. */
const MIN_RAMP_PER_S = 0.5;
/** What others know is told anew this often. */
const RENEW_MS = 1_000;
/** A change by less than this part waits for the next renewal. */
const TOLD_CHANGE = 0.1;
/** News that are newer by less are the same, told on. */
const SAME_NEWS_MS = 100;
/** Changes by less than this factor are not logged. */
const LOGGED_FACTOR = 1.5;
const LOG_PAUSE_MS = 5_000;
/** Limits of servers beyond this many are not kept. */
const MAX_SERVERS = 4_096;

interface Entry {
  server: string;
  advertisedPerS: number;
  advertisedAtMs: number;
  /** When an answer carried none; undefined while the last one did. */
  liftedAtMs: number | undefined;
  by: string;
  isNews: boolean;
  /** The limit that other VMs know; undefined where they know of none. */
  sharedPerS: number | undefined;
  sharedAtMs: number;
  loggedPerS: number;
  loggedAtMs: number;
}

/**
 * @param parts What rate limits need.
 * @returns Rate limits of which none was advertised.
 */
export function createServerRateLimits(
  { clock, log, ownId }: RateLimitOptions,
): ServerRateLimits {
  const entries = new Map<string, Entry>();

  function begin(server: string, advertisedPerS: number): Entry | undefined {
    if (entries.size >= MAX_SERVERS) sweep();
    if (entries.size >= MAX_SERVERS) return undefined;
    const entry: Entry = {
      server,
      advertisedPerS,
      advertisedAtMs: -Infinity,
      liftedAtMs: undefined,
      by: ownId,
      isNews: false,
      sharedPerS: undefined,
      sharedAtMs: -Infinity,
      loggedPerS: NaN,
      loggedAtMs: -Infinity,
    };
    entries.set(server, entry);
    return entry;
  }

  function getReleasedAtMs(
    { liftedAtMs, advertisedAtMs, advertisedPerS }: Entry,
  ): number {
    const holdMs = Math.min(
      MAX_HOLD_MS,
      Math.max(MIN_HOLD_MS, HELD_ANSWERS * 1_000 / advertisedPerS),
    );
    return liftedAtMs ?? advertisedAtMs + holdMs;
  }

  /** @returns The limit in force; undefined once it is ramped up. */
  function getCurrentPerS(entry: Entry): number | undefined {
    const rampedMs = clock.monotonicMs() - getReleasedAtMs(entry);
    if (rampedMs <= 0) return entry.advertisedPerS;
    const doublings = rampedMs / DOUBLING_MS;
    if (doublings > MAX_DOUBLINGS) return undefined;
    return Math.max(entry.advertisedPerS, MIN_RAMP_PER_S) * 2 ** doublings;
  }

  function sweep(): void {
    for (const [server, entry] of entries) {
      if (getCurrentPerS(entry) === undefined) entries.delete(server);
    }
  }

  function setAdvertised(entry: Entry, by: string, perS: number, atMs: number) {
    const isNew = entry.advertisedAtMs === -Infinity ||
      entry.liftedAtMs !== undefined;
    entry.advertisedPerS = perS;
    entry.advertisedAtMs = atMs;
    entry.liftedAtMs = undefined;
    entry.by = by;
    if (isNew || isFarFrom(perS, entry.loggedPerS)) logRate(entry, isNew);
  }

  function logRate(entry: Entry, isNew: boolean): void {
    const nowMs = clock.monotonicMs();
    if (!isNew && nowMs - entry.loggedAtMs < LOG_PAUSE_MS) return;
    entry.loggedPerS = entry.advertisedPerS;
    entry.loggedAtMs = nowMs;
    const { server, advertisedPerS: ratePerS, by, advertisedAtMs } = entry;
    const ageMs = Math.round(nowMs - advertisedAtMs);
    log.info({ server, ratePerS, by, ageMs }, "server rate limit");
  }

  function setLifted(entry: Entry, by: string, atMs: number): void {
    entry.liftedAtMs = atMs;
    entry.by = by;
    const { server, advertisedPerS: ratePerS } = entry;
    log.info({ server, ratePerS, by }, "server rate limit lifted");
  }

  function noteAdvertised(server: string, perS: number): void {
    const entry = entries.get(server) ?? begin(server, perS);
    if (entry === undefined) return;
    const nowMs = clock.monotonicMs();
    setAdvertised(entry, ownId, perS, nowMs);
    const { sharedPerS, sharedAtMs } = entry;
    const isChanged = sharedPerS === undefined ||
      Math.abs(perS - sharedPerS) > TOLD_CHANGE * sharedPerS;
    if (isChanged || nowMs - sharedAtMs >= RENEW_MS) entry.isNews = true;
  }

  function noteLifted(server: string): void {
    const entry = entries.get(server);
    if (entry === undefined || entry.liftedAtMs !== undefined) return;
    setLifted(entry, ownId, clock.monotonicMs());
    entry.isNews = true;
  }

  /** @returns Whether it is newer than what is known. */
  function receiveOne(
    vm: string,
    { server, ratePerS, ageMs }: RateLimitUpdate,
  ): boolean {
    const nowMs = clock.monotonicMs();
    const atMs = nowMs - ageMs;
    const known = entries.get(server);
    const knownAtMs = Math.max(
      known?.advertisedAtMs ?? -Infinity,
      known?.liftedAtMs ?? -Infinity,
    );
    if (atMs < knownAtMs + SAME_NEWS_MS) return false;
    const entry = known ??
      (ratePerS === undefined ? undefined : begin(server, ratePerS));
    if (entry === undefined) return false;
    if (ratePerS !== undefined) setAdvertised(entry, vm, ratePerS, atMs);
    else if (entry.liftedAtMs === undefined) setLifted(entry, vm, atMs);
    entry.isNews = false;
    entry.sharedPerS = ratePerS;
    entry.sharedAtMs = nowMs;
    return true;
  }

  function toState(entry: Entry): RateLimitState {
    return {
      server: entry.server,
      advertisedPerS: entry.advertisedPerS,
      ratePerS: getCurrentPerS(entry) ?? Infinity,
      ageMs: Math.round(clock.monotonicMs() - entry.advertisedAtMs),
      by: entry.by,
    };
  }

  function toNews(entry: Entry): RateLimitUpdate {
    const { server, advertisedPerS, advertisedAtMs, liftedAtMs } = entry;
    const nowMs = clock.monotonicMs();
    entry.isNews = false;
    entry.sharedAtMs = nowMs;
    entry.sharedPerS = liftedAtMs === undefined ? advertisedPerS : undefined;
    const ageMs = nowMs - (liftedAtMs ?? advertisedAtMs);
    return liftedAtMs === undefined
      ? { server, ratePerS: advertisedPerS, ageMs }
      : { server, ageMs };
  }

  return {
    record(server, ratePerS) {
      if (ratePerS === undefined) noteLifted(server);
      else noteAdvertised(server, ratePerS);
    },
    receive: (vm, news) => news.filter((one) => receiveOne(vm, one)),
    takeUpdates() {
      sweep();
      return [...entries.values()].filter(({ isNews }) => isNews).map(toNews);
    },
    getRatePerS(server) {
      const entry = entries.get(server);
      return entry === undefined ? undefined : getCurrentPerS(entry);
    },
    describe(server) {
      const entry = entries.get(server);
      return entry === undefined ? {} : toState(entry);
    },
    list() {
      sweep();
      return [...entries.values()].map(toState);
    },
    count: () => entries.size,
  };
}

function isFarFrom(perS: number, otherPerS: number): boolean {
  return !(perS < LOGGED_FACTOR * otherPerS &&
    otherPerS < LOGGED_FACTOR * perS);
}
