/**
 * How long requests of each route take, and what follows from it: how full a
 * server may be before its answers come too late, and when to come back.
 *
 * @module
 */
import type { Route } from "../routing/types.ts";

/** Durations of requests, by route. */
export interface PaceTable {
  /** Notes how long an attempt took that was answered. */
  note(route: Route, tookMs: number): void;
  /**
   * @param route The route.
   * @returns Load, in requests a slot, up to which a server can be expected to
   *   answer in time.
   */
  getMaxUse(route: Route): number;
  /**
   * @param route The route.
   * @param spread Spreads clients that are refused together, 0 to 1.
   * @returns When a refused client should come back, in ms.
   */
  getRetryAfterMs(route: Route, spread: number): number;
}

/** Weight of one duration; about the last 20 count. */
const WEIGHT = 0.05;
/** Least load that is allowed: estimates of other VMs' requests are rough. */
const MIN_MAX_USE = 1.25;
/** Servers refuse by themselves at about four requests a slot. */
const MAX_MAX_USE = 2.5;
const UNKNOWN_MAX_USE = 1.5;
const MIN_RETRY_AFTER_MS = 60;
const MAX_RETRY_AFTER_MS = 600;
/** Part of a usual duration after which slots become free. */
const RETRY_PART = 0.5;

/** @returns A table that knows no durations. */
export function createPaceTable(): PaceTable {
  const usualMs = new Map<string, number>();

  function keyOf(route: Route): string {
    return `${route.host}${route.prefix}`;
  }

  return {
    note(route, tookMs) {
      const key = keyOf(route);
      const before = usualMs.get(key) ?? tookMs;
      usualMs.set(key, before + WEIGHT * (tookMs - before));
    },
    getMaxUse(route) {
      const tookMs = usualMs.get(keyOf(route));
      if (tookMs === undefined) return UNKNOWN_MAX_USE;
      const fitting = route.targetLatencyMs / Math.max(1, tookMs);
      return Math.min(MAX_MAX_USE, Math.max(MIN_MAX_USE, fitting));
    },
    getRetryAfterMs(route, spread) {
      const tookMs = usualMs.get(keyOf(route)) ?? route.targetLatencyMs;
      const baseMs = tookMs * RETRY_PART * (0.5 + spread);
      return Math.round(
        Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, baseMs)),
      );
    },
  };
}
