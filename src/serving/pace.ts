/**
 * How long requests of each route take, and what follows from it: how full a
 * server may be before its answers come too late, and when to come back.
 *
 * @module
 */
import type { Route } from "../routing/types.ts";

/** Durations of requests, by route. */
export interface PaceTable {
  /**
   * Notes an attempt that was answered.
   *
   * @param route The route.
   * @param tookMs How long it took, waiting at the server included.
   * @param use Load of the server when it was sent, in requests a slot.
   */
  note(route: Route, tookMs: number, use: number): void;
  /**
   * Notes an answer of a server that had a slot free.
   *
   * @param route The route.
   * @param depth For how many other objects the server was asked since;
   *   undefined where it was never asked for this one.
   * @param tookMs How long it took.
   */
  noteRun(route: Route, depth: number | undefined, tookMs: number): void;
  /**
   * @param route The route.
   * @param tookMs How long an answer took of a server that had a slot free.
   * @returns Whether that is how long known objects take; undefined while that
   *   can't be told.
   */
  wasKnown(route: Route, tookMs: number): boolean | undefined;
  /**
   * @param route The route.
   * @returns Load, in requests a slot, up to which a server can be expected to
   *   answer in time.
   */
  getMaxUse(route: Route): number;
  /**
   * @param route The route.
   * @param remainingMs Time that a request has left.
   * @returns Load, in requests a slot, that may wait before a first run if that
   *   is to end within the time.
   */
  getFirstRunQueue(route: Route, remainingMs: number): number;
  /**
   * @param route The route.
   * @param use Load of the server that refused, in requests a slot.
   * @param spread Spreads clients that are refused together, 0 to 1.
   * @returns When a refused client should come back, in ms.
   */
  getRetryAfterMs(route: Route, use: number, spread: number): number;
}

/** Weight of one duration; about the last 20 count. */
const WEIGHT = 0.05;
/** Least load that is allowed: estimates of other VMs' requests are rough. */
const MIN_MAX_USE = 1.25;
/** Servers refuse by themselves at about four requests a slot. */
const MAX_MAX_USE = 3.2;
const UNKNOWN_MAX_USE = 2;
/**
 * Where running alone takes this part of the target, nothing that waits is
 * answered within it. A late answer is still better than none, and running
 * requests is what makes servers know their objects.
 */
const HOPELESS_PART = 0.8;
/** Part of the route's time that waiting and running may take then. */
const LATE_PART = 0.5;
/** First runs that take a fifth more than usual still end. */
const FIRST_RUN_MARGIN = 1.2;
const MIN_RETRY_AFTER_MS = 60;
const MAX_RETRY_AFTER_MS = 600;
/**
 * A server with free slots that refuses does so by chance: there is nothing to
 * wait for, and a client that comes back at once can still be served within its
 * target. The time only keeps clients that were refused together apart. Credit
 * of a day on which servers turned away half of what they got: 0.873 to 0.875.
 */
const LOADED_USE = 0.8;
const CHANCE_RETRY_MS = 10;
/** Part of a usual duration after which slots become free. */
const RETRY_PART = 0.5;

/** An object that its server was asked for just now is known for certain. */
const SURELY_KNOWN_DEPTH = 1;
/** First runs that take less than this many times as long can't be told. */
const TELLING_FACTOR = 1.5;

/** @returns A table that knows no durations. */
export function createPaceTable(): PaceTable {
  const runningMs = new Map<string, number>();
  const firstRunMs = new Map<string, number>();
  const knownRunMs = new Map<string, number>();

  function keyOf(route: Route): string {
    return `${route.host}${route.prefix}`;
  }

  function follow(means: Map<string, number>, key: string, ms: number): void {
    const before = means.get(key) ?? ms;
    means.set(key, before + WEIGHT * (ms - before));
  }

  return {
    note(route, tookMs, use) {
      follow(runningMs, keyOf(route), tookMs / Math.max(1, use));
    },
    noteRun(route, depth, tookMs) {
      if (depth === undefined) return follow(firstRunMs, keyOf(route), tookMs);
      if (depth > SURELY_KNOWN_DEPTH) return;
      follow(knownRunMs, keyOf(route), tookMs);
    },
    wasKnown(route, tookMs) {
      const firstMs = firstRunMs.get(keyOf(route));
      const knownMs = knownRunMs.get(keyOf(route));
      if (firstMs === undefined || knownMs === undefined) return undefined;
      if (firstMs < TELLING_FACTOR * knownMs) return undefined;
      return tookMs < Math.sqrt(firstMs * knownMs);
    },
    getMaxUse(route) {
      const ranMs = runningMs.get(keyOf(route));
      if (ranMs === undefined) return UNKNOWN_MAX_USE;
      const isHopeless = ranMs > HOPELESS_PART * route.targetLatencyMs;
      const limitMs = isHopeless
        ? Math.max(route.targetLatencyMs, LATE_PART * route.timeoutMs)
        : route.targetLatencyMs;
      const fitting = limitMs / Math.max(1, ranMs);
      return Math.min(MAX_MAX_USE, Math.max(MIN_MAX_USE, fitting));
    },
    getFirstRunQueue(route, remainingMs) {
      const firstMs = firstRunMs.get(keyOf(route));
      const ranMs = runningMs.get(keyOf(route));
      if (firstMs === undefined || ranMs === undefined) return 0;
      const spareMs = remainingMs - FIRST_RUN_MARGIN * firstMs;
      return Math.max(0, spareMs / Math.max(1, ranMs));
    },
    getRetryAfterMs(route, use, spread) {
      if (use < LOADED_USE) return Math.round(CHANCE_RETRY_MS * (1 + spread));
      const ranMs = runningMs.get(keyOf(route)) ?? route.targetLatencyMs;
      const baseMs = ranMs * RETRY_PART * (0.5 + spread);
      return Math.round(
        Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, baseMs)),
      );
    },
  };
}
