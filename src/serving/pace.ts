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
   * @param route The route.
   * @returns Load, in requests a slot, up to which a server can be expected to
   *   answer in time.
   */
  getMaxUse(route: Route): number;
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

/** @returns A table that knows no durations. */
export function createPaceTable(): PaceTable {
  const runningMs = new Map<string, number>();

  function keyOf(route: Route): string {
    return `${route.host}${route.prefix}`;
  }

  return {
    note(route, tookMs, use) {
      const key = keyOf(route);
      const ranMs = tookMs / Math.max(1, use);
      const before = runningMs.get(key) ?? ranMs;
      runningMs.set(key, before + WEIGHT * (ranMs - before));
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
