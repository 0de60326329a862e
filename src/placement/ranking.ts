/**
 * Order of preference of a service's backend servers for one object: the same
 * on every VM, from the list of servers alone.
 *
 * @module
 */
import { hashToUnit } from "../runtime/hash.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";

/** Orders servers for objects. */
export interface Ranking {
  /**
   * @param service The service.
   * @param region The region whose servers are wanted.
   * @param objectKey The object that the request concerns.
   * @returns The region's usable servers, best first.
   */
  rank(
    service: string,
    region: string,
    objectKey: string,
  ): readonly KnownServer[];
}

/** Orders kept; an order takes about 100 bytes and a server 8 more. */
const MAX_CACHED_ORDERS = 20_000;

/**
 * @param registry The servers.
 * @returns Their ranking, worked out once for each object and list of servers.
 */
export function createRanking(registry: ServerRegistry): Ranking {
  let revision = -1;
  const orders = new Map<string, KnownServer[]>();

  function forgetOutdated(): void {
    const isOutdated = revision !== registry.getRevision();
    if (!isOutdated && orders.size < MAX_CACHED_ORDERS) return;
    orders.clear();
    revision = registry.getRevision();
  }

  return {
    rank(service, region, objectKey) {
      forgetOutdated();
      const cacheKey = `${service} ${region} ${objectKey}`;
      const cached = orders.get(cacheKey);
      if (cached !== undefined) return cached;
      const order = registry.listUsable(service)
        .filter((server) => server.region === region)
        .map((server) => ({ server, score: scoreOf(server, objectKey) }))
        .sort((a, b) => b.score - a.score)
        .map(({ server }) => server);
      orders.set(cacheKey, order);
      return order;
    },
  };
}

/**
 * Weighted rendezvous hashing by slots (Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", 2005): a server that comes or goes moves only its
 * own objects, and one that starts again under its name keeps them.
 */
function scoreOf(server: KnownServer, objectKey: string): number {
  const { registeredName, slots } = server.listed;
  return -slots / Math.log(hashToUnit(`${objectKey}\u0000${registeredName}`));
}
