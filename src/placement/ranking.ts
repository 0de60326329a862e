/**
 * Order of preference of a service's backend servers for one object: the same
 * on every VM, from the list of servers alone.
 *
 * @module
 */
import { hashToUint32, mixToUnit } from "../runtime/hash.ts";
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

/** A server with the hash of its name, which doesn't change. */
interface HashedServer {
  server: KnownServer;
  hash: number;
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
  const hashed = new Map<string, HashedServer[]>();

  function forgetOutdated(): void {
    const isOutdated = revision !== registry.getRevision();
    if (!isOutdated && orders.size < MAX_CACHED_ORDERS) return;
    orders.clear();
    hashed.clear();
    revision = registry.getRevision();
  }

  function listRegion(service: string, region: string): HashedServer[] {
    const key = `${service} ${region}`;
    const known = hashed.get(key);
    if (known !== undefined) return known;
    const servers = registry.listUsable(service)
      .filter((server) => server.region === region)
      .map((server) => ({
        server,
        hash: hashToUint32(server.listed.registeredName),
      }));
    hashed.set(key, servers);
    return servers;
  }

  return {
    rank(service, region, objectKey) {
      forgetOutdated();
      const cacheKey = `${service} ${region} ${objectKey}`;
      const cached = orders.get(cacheKey);
      if (cached !== undefined) return cached;
      const objectHash = hashToUint32(objectKey);
      const order = listRegion(service, region)
        .map(({ server, hash }) => ({
          server,
          score: scoreOf(server, mixToUnit(hash, objectHash)),
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
 * distributed hash tables", 2005): a server that comes or goes moves only its
 * own objects, and one that starts again under its name keeps them.
 */
function scoreOf({ listed }: KnownServer, unit: number): number {
  return -listed.slots / Math.log(unit);
}
