/**
 * Ranks a service's backend servers for an object. The order depends on the
 * list of servers alone, so it is the same on every VM.
 *
 * @module
 */
import { hashToUint32, mixToUnit } from "../runtime/hash.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";

/** Ranks servers for objects. */
export interface Ranking {
  /**
   * @param service The name of the service.
   * @param region The region whose servers are ranked.
   * @param objectKey The object that the request concerns.
   * @returns The region's usable servers, best first.
   */
  rank(
    service: string,
    region: string,
    objectKey: string,
  ): readonly KnownServer[];
}

/** A server and the hash of its registered name. */
interface HashedServer {
  server: KnownServer;
  hash: number;
}

/** Cached orders; each takes about 100 bytes and 8 more per server. */
const MAX_CACHED_ORDERS = 20_000;

/**
 * @param registry The servers to rank.
 * @returns A ranking that caches orders until the list of servers changes.
 */
export function createRanking(registry: ServerRegistry): Ranking {
  let revision = -1;
  const orders = new Map<string, KnownServer[]>();
  const hashedServers = new Map<string, HashedServer[]>();

  /** Clears the caches if the list of servers changed or they are full. */
  function clearOutdated(): void {
    const isOutdated = revision !== registry.getRevision();
    if (!isOutdated && orders.size < MAX_CACHED_ORDERS) return;
    orders.clear();
    hashedServers.clear();
    revision = registry.getRevision();
  }

  function listServers(service: string, region: string): HashedServer[] {
    const cacheKey = `${service} ${region}`;
    const cached = hashedServers.get(cacheKey);
    if (cached !== undefined) return cached;
    const servers = registry.listUsable(service)
      .filter((server) => server.region === region)
      .map((server) => ({
        server,
        hash: hashToUint32(server.listed.registeredName),
      }));
    hashedServers.set(cacheKey, servers);
    return servers;
  }

  return {
    rank(service, region, objectKey) {
      clearOutdated();
      const cacheKey = `${service} ${region} ${objectKey}`;
      const cached = orders.get(cacheKey);
      if (cached !== undefined) return cached;
      const objectHash = hashToUint32(objectKey);
      const order = listServers(service, region)
        .map(({ server, hash }) => ({
          server,
          score: computeScore(server, mixToUnit(hash, objectHash)),
        }))
        .sort((a, b) => b.score - a.score)
        .map(({ server }) => server);
      orders.set(cacheKey, order);
      return order;
    },
  };
}

/**
 * Weighted rendezvous hashing by slots (Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", 2005): a server that joins or leaves moves only its
 * own objects, and one that restarts under the same name keeps them.
 */
function computeScore({ listed }: KnownServer, unit: number): number {
  return -listed.slots / Math.log(unit);
}
