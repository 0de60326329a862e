/**
 * Rates that backend servers in need name in their answers, as far as any VM
 * heard of them.
 *
 * A server is believed by its newest answer at any VM. A rate holds until an
 * answer names none, or until none has come for long; then it grows step by
 * step, so that the load doesn't come back as one wave.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** What a VM tells others of one server. */
export interface RateLimitNews {
  /** The start of the server. */
  server: string;
  /** Absent where it names no rate any more. */
  ratePerS?: number;
  /** How long ago the answer came. */
  ageMs: number;
}

/** A rate that is in force. */
export interface RateLimitState {
  server: string;
  /** The rate that the server named last. */
  namedPerS: number;
  /** The rate that holds now, from all VMs together. */
  ratePerS: number;
  /** How long ago it was named, and the VM that was told. */
  ageMs: number;
  by: string;
}

/** The rates that servers named. */
export interface ServerRateLimits {
  /**
   * Notes what an answer at this VM said.
   *
   * @param server The start of the server.
   * @param ratePerS The rate that it named, if it named one.
   */
  note(server: string, ratePerS: number | undefined): void;
  /**
   * Takes in what another VM told.
   *
   * @param vm The VM.
   * @param news What it told.
   * @returns What is new here, to be passed on.
   */
  receive(vm: string, news: readonly RateLimitNews[]): RateLimitNews[];
  /** @returns What other VMs have to know since the last call. */
  takeNews(): RateLimitNews[];
  /** @returns Requests a second from all VMs; undefined where there is no limit. */
  getRatePerS(server: string): number | undefined;
  /** @returns A server's rate, its age and who was told; for a log line. */
  describe(server: string): Partial<RateLimitState>;
  /** @returns The rates in force. */
  list(): RateLimitState[];
  /** @returns How many servers have one. */
  count(): number;
}

/** What the rates need. */
export interface RateLimitParts {
  clock: Clock;
  log: Log;
  ownId: string;
}

/** A rate holds at least this long after the last answer that named it. */
const MIN_HOLD_MS = 5_000;
const MAX_HOLD_MS = 60_000;
/** Answers that may be missing where requests come as seldom as the rate says. */
const HELD_ANSWERS = 3;
/** A rate that is over doubles in this time, until it limits nothing. */
const DOUBLING_MS = 1_000;
const MAX_DOUBLINGS = 6;
/** A rate near zero grows from here. */
const MIN_GROWING_PER_S = 0.5;
/** What others know is told anew this often. */
const RENEW_MS = 1_000;
/** A change by less than this part waits for the next renewal. */
const TOLD_CHANGE = 0.1;
/** News that are newer by less are the same, told on. */
const SAME_NEWS_MS = 100;
/** Changes by less than this factor are not logged. */
const LOGGED_FACTOR = 1.5;
const LOG_PAUSE_MS = 5_000;
/** Servers beyond this many are taken for unlimited; of 700 a third is 230. */
const MAX_SERVERS = 4_096;

interface Entry {
  server: string;
  namedPerS: number;
  namedAtMs: number;
  /** When an answer named no rate; undefined while the last one did. */
  endedAtMs: number | undefined;
  by: string;
  isNews: boolean;
  /** The rate that others were told, or told of; undefined after its end. */
  sharedPerS: number | undefined;
  sharedAtMs: number;
  loggedPerS: number;
  loggedAtMs: number;
}

/**
 * @param parts What the rates need.
 * @returns Rates of which none was named.
 */
export function createServerRateLimits(
  { clock, log, ownId }: RateLimitParts,
): ServerRateLimits {
  const entries = new Map<string, Entry>();

  function begin(server: string, namedPerS: number): Entry | undefined {
    if (entries.size >= MAX_SERVERS) sweep();
    if (entries.size >= MAX_SERVERS) return undefined;
    const entry: Entry = {
      server,
      namedPerS,
      namedAtMs: -Infinity,
      endedAtMs: undefined,
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

  function getReleasedAtMs({ endedAtMs, namedAtMs, namedPerS }: Entry): number {
    const holdMs = Math.min(
      MAX_HOLD_MS,
      Math.max(MIN_HOLD_MS, HELD_ANSWERS * 1_000 / namedPerS),
    );
    return endedAtMs ?? namedAtMs + holdMs;
  }

  /** @returns The rate in force; undefined where it limits nothing any more. */
  function getCurrentPerS(entry: Entry): number | undefined {
    const grownMs = clock.monotonicMs() - getReleasedAtMs(entry);
    if (grownMs <= 0) return entry.namedPerS;
    const doublings = grownMs / DOUBLING_MS;
    if (doublings > MAX_DOUBLINGS) return undefined;
    return Math.max(entry.namedPerS, MIN_GROWING_PER_S) * 2 ** doublings;
  }

  function sweep(): void {
    for (const [server, entry] of entries) {
      if (getCurrentPerS(entry) === undefined) entries.delete(server);
    }
  }

  function setNamed(entry: Entry, by: string, perS: number, atMs: number) {
    const isNew = entry.namedAtMs === -Infinity ||
      entry.endedAtMs !== undefined;
    entry.namedPerS = perS;
    entry.namedAtMs = atMs;
    entry.endedAtMs = undefined;
    entry.by = by;
    if (isNew || isFarFrom(perS, entry.loggedPerS)) logRate(entry, isNew);
  }

  function logRate(entry: Entry, isNew: boolean): void {
    const nowMs = clock.monotonicMs();
    if (!isNew && nowMs - entry.loggedAtMs < LOG_PAUSE_MS) return;
    entry.loggedPerS = entry.namedPerS;
    entry.loggedAtMs = nowMs;
    const { server, namedPerS: ratePerS, by, namedAtMs } = entry;
    const ageMs = Math.round(nowMs - namedAtMs);
    log.info({ server, ratePerS, by, ageMs }, "server named a rate");
  }

  function setEnded(entry: Entry, by: string, atMs: number): void {
    entry.endedAtMs = atMs;
    entry.by = by;
    const { server, namedPerS: ratePerS } = entry;
    log.info({ server, ratePerS, by }, "server named no rate any more");
  }

  function noteNamed(server: string, perS: number): void {
    const entry = entries.get(server) ?? begin(server, perS);
    if (entry === undefined) return;
    const nowMs = clock.monotonicMs();
    setNamed(entry, ownId, perS, nowMs);
    const { sharedPerS, sharedAtMs } = entry;
    const isChanged = sharedPerS === undefined ||
      Math.abs(perS - sharedPerS) > TOLD_CHANGE * sharedPerS;
    if (isChanged || nowMs - sharedAtMs >= RENEW_MS) entry.isNews = true;
  }

  function noteNone(server: string): void {
    const entry = entries.get(server);
    if (entry === undefined || entry.endedAtMs !== undefined) return;
    setEnded(entry, ownId, clock.monotonicMs());
    entry.isNews = true;
  }

  /** @returns Whether it is newer than what is known. */
  function receiveOne(
    vm: string,
    { server, ratePerS, ageMs }: RateLimitNews,
  ): boolean {
    const nowMs = clock.monotonicMs();
    const atMs = nowMs - ageMs;
    const known = entries.get(server);
    const knownAtMs = Math.max(
      known?.namedAtMs ?? -Infinity,
      known?.endedAtMs ?? -Infinity,
    );
    if (atMs < knownAtMs + SAME_NEWS_MS) return false;
    const entry = known ??
      (ratePerS === undefined ? undefined : begin(server, ratePerS));
    if (entry === undefined) return false;
    if (ratePerS !== undefined) setNamed(entry, vm, ratePerS, atMs);
    else if (entry.endedAtMs === undefined) setEnded(entry, vm, atMs);
    entry.isNews = false;
    entry.sharedPerS = ratePerS;
    entry.sharedAtMs = nowMs;
    return true;
  }

  function toState(entry: Entry): RateLimitState {
    return {
      server: entry.server,
      namedPerS: entry.namedPerS,
      ratePerS: getCurrentPerS(entry) ?? Infinity,
      ageMs: Math.round(clock.monotonicMs() - entry.namedAtMs),
      by: entry.by,
    };
  }

  function toNews(entry: Entry): RateLimitNews {
    const { server, namedPerS, namedAtMs, endedAtMs } = entry;
    const nowMs = clock.monotonicMs();
    entry.isNews = false;
    entry.sharedAtMs = nowMs;
    entry.sharedPerS = endedAtMs === undefined ? namedPerS : undefined;
    const ageMs = nowMs - (endedAtMs ?? namedAtMs);
    return endedAtMs === undefined
      ? { server, ratePerS: namedPerS, ageMs }
      : { server, ageMs };
  }

  return {
    note(server, ratePerS) {
      if (ratePerS === undefined) noteNone(server);
      else noteNamed(server, ratePerS);
    },
    receive: (vm, news) => news.filter((one) => receiveOne(vm, one)),
    takeNews() {
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
