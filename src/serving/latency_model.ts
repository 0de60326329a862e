/**
 * Estimates how long requests of each route take, and derives from it how
 * utilized a server may be before its answers are late, and when refused
 * clients should retry.
 *
 * @module
 */
import type { Route } from "../routing/types.ts";
import { createBoundedMeans } from "../servers/bounded_mean.ts";

/** Answers from the cache of a server, the others, or all. */
export type AnswerKind = "hit" | "miss" | "any";

/** Estimated durations of requests, by route. */
export interface LatencyModel {
  /**
   * Records an attempt that was answered.
   *
   * @param route The route.
   * @param tookMs Duration of the attempt, including queueing at the server.
   * @param utilization Utilization of the server when the attempt was sent, in
   *   requests per slot.
   */
  recordAnswer(route: Route, tookMs: number, utilization: number): void;
  /**
   * Records an answer of a server that had a free slot.
   *
   * @param route The route.
   * @param depth Number of other objects requested from the server since its
   *   last request for this one; undefined where there was none.
   * @param tookMs Duration of the attempt.
   */
  recordUnloadedAnswer(
    route: Route,
    depth: number | undefined,
    tookMs: number,
  ): void;
  /**
   * @param route The route.
   * @param tookMs Duration of an attempt at a server that had a free slot.
   * @returns Whether the duration is that of a cache hit; undefined for outliers,
   *   and while hits and misses can't be distinguished.
   */
  wasCached(route: Route, tookMs: number): boolean | undefined;
  /**
   * @param route The route.
   * @param kind Which answers to consider.
   * @returns Expected duration at a server with a free slot; undefined before
   *   the first such answer.
   */
  getExpectedMs(route: Route, kind: AnswerKind): number | undefined;
  /**
   * @param route The route.
   * @returns Utilization, in requests per slot, up to which a server is
   *   expected to answer in time.
   */
  getMaxUtilization(route: Route): number;
  /**
   * @param route The route.
   * @param remainingMs Time that a request has left.
   * @returns Largest load, in requests per slot, that may be queued ahead of a
   *   cache miss for it to end within the remaining time.
   */
  getMaxCacheMissQueue(route: Route, remainingMs: number): number;
  /**
   * @param route The route.
   * @param utilization Utilization of the server that refused, in requests per
   *   slot.
   * @param spread Random number from 0 to 1; spreads the retries of clients
   *   that are refused together.
   * @returns When a refused client should retry, in ms.
   */
  getRetryAfterMs(route: Route, utilization: number, spread: number): number;
}

/** Weight of one duration in a moving mean; about the last 20 count. */
const SMOOTHING_WEIGHT = 0.05;
/** Lower bound, since estimates of other VMs' requests are rough. */
const MIN_MAX_UTILIZATION = 1.25;
/** Servers shed requests by themselves at about four requests per slot. */
const MAX_MAX_UTILIZATION = 3.2;
/** Used before the first answer of a route. */
const DEFAULT_MAX_UTILIZATION = 2;
/**
 * Where running alone takes this share of the target latency, no request that
 * has to queue is answered within the target. Such requests are still accepted:
 * a late answer is better than none, and running them fills the servers'
 * caches.
 */
const UNREACHABLE_TARGET_SHARE = 0.8;
/** Share of the route's timeout that queueing and running may take then. */
const LATE_TIMEOUT_SHARE = 0.5;
/** Allows for cache misses that take a fifth longer than the mean. */
const CACHE_MISS_MARGIN = 1.2;
/** Bounds of `Retry-After` where servers are full. */
export const MIN_RETRY_AFTER_MS = 60;
export const MAX_RETRY_AFTER_MS = 600;
/**
 * A server with free slots refuses only by chance: no capacity has to become
 * free, and a client that retries at once can still be served within its target
 * latency. The short delay only separates clients that were refused together.
 * On a day on which servers shed half of their requests, it raised the credit
 * from 0.873 to 0.875.
 */
const MIN_LOADED_UTILIZATION = 0.8;
const UNLOADED_RETRY_MS = 10;
/** Share of the mean duration after which slots become free. */
const RETRY_DURATION_SHARE = 0.5;

/** Depth up to which an object is certain to be in its server's cache. */
const MAX_CERTAIN_HIT_DEPTH = 1;
/** Hits and misses can't be distinguished below this ratio of durations. */
const MIN_MISS_TO_HIT_RATIO = 1.5;

/**
 * A longer run is an outlier, which says nothing about the cache: a hit that
 * took seven times as long counted as a miss, and one such answer let a VM of a
 * large fleet take all objects of a service for evicted.
 */
const MAX_MISS_RATIO = 1.6;

/** @returns A model without any durations. */
export function createLatencyModel(): LatencyModel {
  /** Mean service time: the duration divided by the utilization, if above 1. */
  const serviceMs = createBoundedMeans(SMOOTHING_WEIGHT);
  const cacheMissMs = createBoundedMeans(SMOOTHING_WEIGHT);
  const cacheHitMs = createBoundedMeans(SMOOTHING_WEIGHT);

  function makeRouteKey(route: Route): string {
    return `${route.host}${route.prefix}`;
  }

  return {
    recordAnswer(route, tookMs, utilization) {
      const ms = tookMs / Math.max(1, utilization);
      serviceMs.record(makeRouteKey(route), ms);
    },
    recordUnloadedAnswer(route, depth, tookMs) {
      if (depth === undefined) {
        return cacheMissMs.record(makeRouteKey(route), tookMs);
      }
      if (depth > MAX_CERTAIN_HIT_DEPTH) return;
      cacheHitMs.record(makeRouteKey(route), tookMs);
    },
    wasCached(route, tookMs) {
      const missMs = cacheMissMs.get(makeRouteKey(route));
      const hitMs = cacheHitMs.get(makeRouteKey(route));
      if (missMs === undefined || hitMs === undefined) return undefined;
      if (missMs < MIN_MISS_TO_HIT_RATIO * hitMs) return undefined;
      if (tookMs > MAX_MISS_RATIO * missMs) return undefined;
      return tookMs < Math.sqrt(missMs * hitMs);
    },
    getExpectedMs(route, kind) {
      const means = { hit: cacheHitMs, miss: cacheMissMs, any: serviceMs };
      return means[kind].get(makeRouteKey(route));
    },
    getMaxUtilization(route) {
      const meanMs = serviceMs.get(makeRouteKey(route));
      if (meanMs === undefined) return DEFAULT_MAX_UTILIZATION;
      const isTargetUnreachable =
        meanMs > UNREACHABLE_TARGET_SHARE * route.targetLatencyMs;
      const limitMs = isTargetUnreachable
        ? Math.max(route.targetLatencyMs, LATE_TIMEOUT_SHARE * route.timeoutMs)
        : route.targetLatencyMs;
      const utilization = limitMs / Math.max(1, meanMs);
      return Math.min(
        MAX_MAX_UTILIZATION,
        Math.max(MIN_MAX_UTILIZATION, utilization),
      );
    },
    getMaxCacheMissQueue(route, remainingMs) {
      const missMs = cacheMissMs.get(makeRouteKey(route));
      const meanMs = serviceMs.get(makeRouteKey(route));
      if (missMs === undefined || meanMs === undefined) return 0;
      const spareMs = remainingMs - CACHE_MISS_MARGIN * missMs;
      return Math.max(0, spareMs / Math.max(1, meanMs));
    },
    getRetryAfterMs(route, utilization, spread) {
      if (utilization < MIN_LOADED_UTILIZATION) {
        return Math.round(UNLOADED_RETRY_MS * (1 + spread));
      }
      const meanMs = serviceMs.get(makeRouteKey(route)) ??
        route.targetLatencyMs;
      const baseMs = meanMs * RETRY_DURATION_SHARE * (0.5 + spread);
      return Math.round(
        Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, baseMs)),
      );
    },
  };
}
