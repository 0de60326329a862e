/**
 * Distributes the requests of a split route over its services.
 *
 * Uses smooth weighted round robin instead of a random choice per request: over
 * any 100 requests each service is within one request of its weight, where
 * random choices would differ by about five.
 *
 * @module
 */
import type { Route } from "./types.ts";

/** Distributes requests, route by route. */
export interface Splitter {
  /**
   * @param route The route of a request.
   * @returns The name of the service that the request goes to.
   */
  pickService(route: Route): string;
}

/** Routes whose credits are kept; beyond that the oldest is evicted. */
const MAX_ROUTES = 4_096;

/** @returns A splitter that has distributed no requests yet. */
export function createSplitter(): Splitter {
  /** Credits of each service, by route and weights. */
  const creditsByRoute = new Map<string, number[]>();

  function getCredits(route: Route): number[] {
    const key = getSplitKey(route);
    const existing = creditsByRoute.get(key);
    if (existing !== undefined) return existing;
    const oldest = creditsByRoute.keys().next().value;
    if (creditsByRoute.size >= MAX_ROUTES && oldest !== undefined) {
      creditsByRoute.delete(oldest);
    }
    const credits = route.shares.map(() => 0);
    creditsByRoute.set(key, credits);
    return credits;
  }

  function pickService(route: Route): string {
    if (route.shares.length === 1) return route.shares[0].service;
    const credits = getCredits(route);
    let totalWeight = 0;
    let best = 0;
    route.shares.forEach((share, index) => {
      totalWeight += share.weight;
      credits[index] += share.weight;
      if (credits[index] > credits[best]) best = index;
    });
    credits[best] -= totalWeight;
    return route.shares[best].service;
  }

  return { pickService };
}

/** A change of the weights resets the credits; other changes don't. */
function getSplitKey(route: Route): string {
  const shares = route.shares.map((share) =>
    `${share.service}=${share.weight}`
  );
  return `${route.host}${route.prefix} ${shares.join(",")}`;
}
