/**
 * Which backend servers know which objects: what this VM saw, and what the VMs
 * of its region told.
 *
 * A server knows an object from the start of its first request; that request
 * takes three times as long as those after it.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Names of objects, by the server that was asked for them. */
export type ObjectsByServer = Record<string, string[]>;

/** What changed in servers' memories. */
export interface ObjectNews {
  known: ObjectsByServer;
  /** First requests failed that were told of before. */
  forgotten: ObjectsByServer;
}

/** What is known of servers' memories. */
export interface ObjectMemory {
  /**
   * Notes a request that is sent.
   *
   * @returns Whether it is the first for its object.
   */
  note(serverId: string, objectName: string): boolean;
  /** Notes that the first request for an object failed. */
  forget(serverId: string, objectName: string): void;
  /** @returns Whether a server was asked for an object not long ago. */
  knows(serverId: string, objectName: string): boolean;
  /** Takes in what another VM told. */
  apply(news: ObjectNews): void;
  /** Registers who is called when there is news to take. */
  onNews(listener: () => void): void;
  /** @returns What changed here since the last call, to tell other VMs. */
  takeNews(): ObjectNews;
  /** @returns What servers know, for a VM that just started. */
  listKnown(): ObjectNews;
}

/** A server may have forgotten an object that it was not asked for so long. */
const FORGET_MS = 30_000;
/** What is still known is told again before others forget it. */
const RETELL_MS = 15_000;
/** Pairs kept; the oldest go first. A pair takes about 150 bytes. */
const MAX_PAIRS = 20_000;
/** Most pairs that are told at once, about 15 bytes each. */
const MAX_TOLD_PAIRS = 2_000;

interface Pair {
  serverId: string;
  objectName: string;
  askedAtMs: number;
  toldAtMs: number;
}

/**
 * @param clock The clock.
 * @returns A memory of nothing.
 */
export function createObjectMemory(clock: Clock): ObjectMemory {
  const pairs = new Map<string, Pair>();
  let news = makeNews();
  let newsPairs = 0;
  let announce = () => {};

  function keyOf(serverId: string, objectName: string): string {
    return `${serverId} ${objectName}`;
  }

  function isCurrent(pair: Pair | undefined): boolean {
    return pair !== undefined &&
      clock.monotonicMs() - pair.askedAtMs < FORGET_MS;
  }

  function knows(serverId: string, objectName: string): boolean {
    return isCurrent(pairs.get(keyOf(serverId, objectName)));
  }

  function put(serverId: string, objectName: string): Pair {
    const key = keyOf(serverId, objectName);
    const nowMs = clock.monotonicMs();
    const pair = pairs.get(key) ??
      { serverId, objectName, askedAtMs: nowMs, toldAtMs: -Infinity };
    pair.askedAtMs = nowMs;
    pairs.delete(key);
    pairs.set(key, pair);
    if (pairs.size > MAX_PAIRS) pairs.delete(pairs.keys().next().value!);
    return pair;
  }

  function tell(
    objects: ObjectsByServer,
    serverId: string,
    objectName: string,
  ): void {
    if (newsPairs >= MAX_TOLD_PAIRS) return;
    addObject(objects, serverId, objectName);
    newsPairs++;
    if (newsPairs === 1) announce();
  }

  function learn(serverId: string, objectName: string): void {
    put(serverId, objectName).toldAtMs = clock.monotonicMs();
  }

  return {
    note(serverId, objectName) {
      const isFirst = !knows(serverId, objectName);
      const pair = put(serverId, objectName);
      if (isFirst || pair.askedAtMs - pair.toldAtMs > RETELL_MS) {
        pair.toldAtMs = pair.askedAtMs;
        tell(news.known, serverId, objectName);
      }
      return isFirst;
    },
    forget(serverId, objectName) {
      if (!pairs.delete(keyOf(serverId, objectName))) return;
      tell(news.forgotten, serverId, objectName);
    },
    knows,
    apply({ known, forgotten }) {
      forEachObject(known, learn);
      forEachObject(forgotten, (serverId, objectName) => {
        pairs.delete(keyOf(serverId, objectName));
      });
    },
    onNews: (listener) => void (announce = listener),
    takeNews() {
      const taken = news;
      news = makeNews();
      newsPairs = 0;
      return taken;
    },
    listKnown() {
      const all = makeNews();
      const current = [...pairs.values()].filter(isCurrent);
      for (const { serverId, objectName } of current.slice(-MAX_TOLD_PAIRS)) {
        addObject(all.known, serverId, objectName);
      }
      return all;
    },
  };
}

function makeNews(): ObjectNews {
  return { known: {}, forgotten: {} };
}

function addObject(
  objects: ObjectsByServer,
  serverId: string,
  objectName: string,
): void {
  objects[serverId] ??= [];
  objects[serverId].push(objectName);
}

function forEachObject(
  objects: ObjectsByServer,
  visit: (serverId: string, objectName: string) => void,
): void {
  for (const [serverId, names] of Object.entries(objects)) {
    for (const name of names) visit(serverId, name);
  }
}
