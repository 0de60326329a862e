/**
 * Which backend servers know which objects, and which are learning one now:
 * what this VM saw, and what the VMs of its region told.
 *
 * A server runs the first request for an object three times as long as those
 * after it. Requests for the object that arrive meanwhile would all be first
 * requests, so they wait for the one that runs.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";

/** What a server makes of an object. */
export type ObjectState =
  /** It answered for the object not long ago. */
  | "known"
  /** A request for the object that it doesn't know runs there. */
  | "learning"
  /** Neither; as news: such a request failed. */
  | "unknown";

/** One server and one object. */
export interface ObjectNews {
  serverId: string;
  objectName: string;
  state: ObjectState;
}

/** What is known of servers' memories. */
export interface ObjectMemory {
  /**
   * Notes a request that is sent.
   *
   * @returns Whether it is the first for its object.
   */
  begin(serverId: string, objectName: string): boolean;
  /** Notes that a server answered for an object. */
  note(serverId: string, objectName: string): void;
  /** Notes that the first request for an object was not answered. */
  fail(serverId: string, objectName: string): void;
  getState(serverId: string, objectName: string): ObjectState;
  /**
   * Waits while a server learns an object.
   *
   * @param maxMs Longest wait.
   * @returns Resolves when it knows the object, or failed to, or in time.
   */
  waitWhileLearning(
    serverId: string,
    objectName: string,
    maxMs: number,
  ): Promise<void>;
  /** Takes in what another VM told. */
  apply(news: readonly ObjectNews[]): void;
  /** Registers who is called when there is news to take. */
  onNews(listener: () => void): void;
  /** @returns What changed here since the last call, to tell other VMs. */
  takeNews(): ObjectNews[];
  /** @returns What servers know, newest first, for a VM that just started. */
  listKnown(): ObjectNews[];
}

/** A server may have forgotten an object that it was not asked for so long. */
const FORGET_MS = 20_000;
/** What is still known is told again before others forget it. */
const RETELL_MS = 8_000;
/** Longest route's time; learning ends by then, whatever was heard. */
const MAX_LEARNING_MS = 3_000;
/** Pairs kept; the oldest go first. A pair takes about 150 bytes. */
const MAX_PAIRS = 20_000;
/** Most pairs that are told at once, about 60 bytes each. */
export const MAX_TOLD_PAIRS = 2_000;

interface Pair {
  serverId: string;
  objectName: string;
  state: "known" | "learning";
  sinceMs: number;
  toldAtMs: number;
  waiting: Set<() => void>;
}

/**
 * @param clock The clock.
 * @returns A memory of nothing.
 */
export function createObjectMemory(clock: Clock): ObjectMemory {
  const pairs = new Map<string, Pair>();
  let news: ObjectNews[] = [];
  let announce = () => {};

  function keyOf(serverId: string, objectName: string): string {
    return `${serverId} ${objectName}`;
  }

  function isCurrent({ state, sinceMs }: Pair): boolean {
    const limitMs = state === "known" ? FORGET_MS : MAX_LEARNING_MS;
    return clock.monotonicMs() - sinceMs < limitMs;
  }

  function find(serverId: string, objectName: string): Pair | undefined {
    const pair = pairs.get(keyOf(serverId, objectName));
    return pair !== undefined && isCurrent(pair) ? pair : undefined;
  }

  function release(pair: Pair): void {
    for (const resolve of pair.waiting) resolve();
    pair.waiting.clear();
  }

  function put(
    serverId: string,
    objectName: string,
    state: Pair["state"],
  ): Pair {
    const key = keyOf(serverId, objectName);
    const before = pairs.get(key);
    const pair: Pair = {
      serverId,
      objectName,
      state,
      sinceMs: clock.monotonicMs(),
      toldAtMs: before?.toldAtMs ?? -Infinity,
      waiting: before?.waiting ?? new Set(),
    };
    pairs.delete(key);
    pairs.set(key, pair);
    if (state === "known") release(pair);
    dropOldest();
    return pair;
  }

  function dropOldest(): void {
    if (pairs.size <= MAX_PAIRS) return;
    const [key, pair] = pairs.entries().next().value!;
    pairs.delete(key);
    release(pair);
  }

  function drop(serverId: string, objectName: string): void {
    const key = keyOf(serverId, objectName);
    const pair = pairs.get(key);
    if (pair?.state !== "learning") return;
    pairs.delete(key);
    release(pair);
  }

  function tell(serverId: string, objectName: string, state: ObjectState) {
    if (news.length >= MAX_TOLD_PAIRS) return;
    news.push({ serverId, objectName, state });
    if (news.length === 1) announce();
  }

  function begin(serverId: string, objectName: string): boolean {
    if (find(serverId, objectName) !== undefined) return false;
    put(serverId, objectName, "learning");
    tell(serverId, objectName, "learning");
    return true;
  }

  function note(serverId: string, objectName: string): void {
    const wasKnown = find(serverId, objectName)?.state === "known";
    const pair = put(serverId, objectName, "known");
    const nowMs = clock.monotonicMs();
    if (wasKnown && nowMs - pair.toldAtMs < RETELL_MS) return;
    pair.toldAtMs = nowMs;
    tell(serverId, objectName, "known");
  }

  function fail(serverId: string, objectName: string): void {
    drop(serverId, objectName);
    tell(serverId, objectName, "unknown");
  }

  function waitWhileLearning(
    serverId: string,
    objectName: string,
    maxMs: number,
  ): Promise<void> {
    const pair = find(serverId, objectName);
    if (pair?.state !== "learning") return Promise.resolve();
    return new Promise((resolve) => {
      let timer: Timer | undefined = undefined;
      const end = () => {
        timer?.cancel();
        pair.waiting.delete(end);
        resolve();
      };
      timer = clock.after(maxMs, end);
      pair.waiting.add(end);
    });
  }

  function apply(told: readonly ObjectNews[]): void {
    for (const { serverId, objectName, state } of told) {
      if (state === "unknown") drop(serverId, objectName);
      else if (state === "known") put(serverId, objectName, state);
      else if (find(serverId, objectName) === undefined) {
        put(serverId, objectName, state);
      }
    }
  }

  return {
    begin,
    note,
    fail,
    getState: (serverId, objectName) =>
      find(serverId, objectName)?.state ?? "unknown",
    waitWhileLearning,
    apply,
    onNews: (listener) => void (announce = listener),
    takeNews() {
      const taken = news;
      news = [];
      return taken;
    },
    listKnown: () =>
      [...pairs.values()]
        .filter((pair) => pair.state === "known" && isCurrent(pair))
        .slice(-MAX_TOLD_PAIRS)
        .map(({ serverId, objectName }) => ({
          serverId,
          objectName,
          state: "known" as const,
        })),
  };
}
