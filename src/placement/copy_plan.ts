/**
 * Applies the decision on copies to what this VM knows of caches, servers and
 * demand.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { ServerRegistry } from "../servers/registry.ts";
import type { RunTimes } from "../servers/run_times.ts";
import type { CacheSizeEstimator } from "./cache_size.ts";
import {
  type CacheCapacity,
  computeCopies,
  computeRoomCopies,
  MIN_COPIES,
} from "./copies.ts";
import type { ObjectDemand } from "./object_demand.ts";

/** Numbers of copies by object. */
export interface CopyPlan {
  /**
   * @param service The name of the service.
   * @param region The region in which the object is served.
   * @param objectName The name of the object in the servers' caches.
   * @returns Number of the region's servers that may hold the object.
   */
  getCopies(service: string, region: string, objectName: string): number;
  /**
   * @param service The name of the service.
   * @param region A region.
   * @returns Whether its caches have room for a copy of an object that is
   *   served in another region.
   */
  hasRoom(service: string, region: string): boolean;
  /** @returns The caches by service and region, for the state dump. */
  list(): RegionCaches[];
}

/** The caches of one region's servers of a service. */
export interface RegionCaches extends CacheCapacity {
  service: string;
  region: string;
  /** Copies of all objects that the caches have room for. */
  roomCopies: number;
}

/** Dependencies of a copy plan. */
export interface CopyPlanOptions {
  clock: Clock;
  ownRegion: string;
  registry: Pick<ServerRegistry, "listUsable" | "listAll">;
  cacheSizeEstimator: Pick<CacheSizeEstimator, "getLearnedCacheSize">;
  demand: ObjectDemand;
  runTimes: RunTimes;
}

/** Capacities are computed again after this time. */
const UPDATE_INTERVAL_MS = 500;

/** Caches of a region with the size of its servers. */
interface CachedCapacity {
  atMs: number;
  capacity: CacheCapacity;
  slotsPerServer: number;
}

/**
 * @param options Dependencies.
 * @returns A copy plan.
 */
export function createCopyPlan(options: CopyPlanOptions): CopyPlan {
  const { clock, ownRegion, registry, demand, runTimes } = options;
  const capacities = new Map<string, CachedCapacity>();

  /**
   * VMs of other regions may not report what they request from servers there.
   * Their callers are assumed to request as many different objects as those of
   * this region.
   */
  function countObjects(service: string, region: string): number {
    const heard = demand.countObjects(service, region);
    return region === ownRegion ? heard : heard + demand.countObjects(service);
  }

  function getCapacity(service: string, region: string): CachedCapacity {
    const key = `${service} ${region}`;
    const nowMs = clock.monotonicMs();
    const cached = capacities.get(key);
    if (cached !== undefined && nowMs - cached.atMs < UPDATE_INTERVAL_MS) {
      return cached;
    }
    const servers = registry.listUsable(service).filter((server) =>
      server.region === region && !server.health.isDown()
    );
    const slots = servers.reduce((sum, { load }) => sum + load.getSlots(), 0);
    const updated = {
      atMs: nowMs,
      capacity: {
        cacheSize: options.cacheSizeEstimator.getLearnedCacheSize(service),
        servers: servers.length,
        objects: countObjects(service, region),
      },
      slotsPerServer: slots / Math.max(1, servers.length),
    };
    capacities.set(key, updated);
    return updated;
  }

  function list(): RegionCaches[] {
    const keys = new Map(
      registry.listAll().map(({ listed: { service }, region }) => [
        `${service} ${region}`,
        { service, region },
      ]),
    );
    return [...keys.values()].map(({ service, region }) => {
      const { capacity } = getCapacity(service, region);
      const roomCopies = computeRoomCopies(capacity);
      return { service, region, ...capacity, roomCopies };
    });
  }

  return {
    getCopies(service, region, objectName) {
      const meanRunMs = runTimes.getMeanMs(service);
      if (meanRunMs === undefined) return MIN_COPIES;
      const { capacity, slotsPerServer } = getCapacity(service, region);
      const ratePerS = demand.getRatePerS(service, region, objectName);
      const concurrency = ratePerS * meanRunMs / 1_000;
      return computeCopies(capacity, { concurrency, slotsPerServer });
    },
    hasRoom: (service, region) =>
      computeRoomCopies(getCapacity(service, region).capacity) > MIN_COPIES,
    list,
  };
}
