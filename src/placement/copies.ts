/**
 * Decides how many servers of a region share an object.
 *
 * Load pattern: servers have three to five slots, so that the two servers of a
 * hot object are saturated, while the caches of the region could hold eight
 * copies of each object. Where memory is short, a third copy evicts another
 * object from its server, and more requests are cache misses than before.
 *
 * @module
 */

/** Copies of each object, whatever the memory. */
export const MIN_COPIES = 2;
/** Maximum number of copies; each costs one cache miss. */
export const MAX_COPIES = 8;
/**
 * Share of the caches that copies may fill. Hashing distributes objects
 * unevenly, so that some servers hold more than the mean.
 */
const MAX_FILL_SHARE = 0.8;
/**
 * Requests per slot above which an object needs a further copy. Demand varies
 * from second to second, so its servers queue well before a mean of 1.
 */
const TARGET_UTILIZATION = 0.7;

/** The caches of one region's servers of a service. */
export interface CacheCapacity {
  /** Objects that each server caches; undefined until that is learned. */
  cacheSize: number | undefined;
  /** Usable servers of the region. */
  servers: number;
  /** Distinct objects that were requested from them lately. */
  objects: number;
}

/** The demand for one object in a region. */
export interface ObjectLoad {
  /** Requests for the object that are in progress on average. */
  concurrency: number;
  /** Mean number of slots of the region's servers. */
  slotsPerServer: number;
}

/**
 * @param capacity The caches of a region.
 * @returns Number of copies of all its objects that the caches have room for;
 *   0 until the cache size is learned.
 */
export function computeRoomCopies(
  { cacheSize, servers, objects }: CacheCapacity,
): number {
  if (cacheSize === undefined) return 0;
  const room = MAX_FILL_SHARE * cacheSize * servers / Math.max(1, objects);
  return Math.min(servers, Math.floor(room));
}

/**
 * @param capacity The caches of a region.
 * @param load The demand for an object there.
 * @returns Number of servers that may hold the object.
 */
export function computeCopies(
  capacity: CacheCapacity,
  { concurrency, slotsPerServer }: ObjectLoad,
): number {
  const needed = Math.ceil(
    concurrency / (TARGET_UTILIZATION * Math.max(1, slotsPerServer)),
  );
  return Math.max(
    MIN_COPIES,
    Math.min(needed, computeRoomCopies(capacity), MAX_COPIES),
  );
}
