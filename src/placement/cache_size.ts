/**
 * Estimates how many objects the servers of a service cache, from the latency
 * of their answers.
 *
 * Load pattern: a server that caches 8, 13 or 17 objects receives requests for
 * a hundred. If all of these were taken to be cached, cache misses, which take
 * four times as long, would go to servers that have no free slot for them.
 *
 * @module
 */
import { MAX_TRACKED_OBJECTS } from "./object_cache_model.ts";

/** Estimates the cache size of each service's servers. */
export interface CacheSizeEstimator {
  /**
   * Records an answer for an object that its server was asked for before.
   *
   * @param service The name of the service.
   * @param depth Number of other objects requested from the server since.
   * @param wasCached Whether the latency was that of a cached object.
   */
  record(service: string, depth: number, wasCached: boolean): void;
  /**
   * @param service The name of the service.
   * @returns The estimated number of objects that each of its servers caches.
   */
  getCacheSize(service: string): number;
  /**
   * @param service The name of the service.
   * @returns The number of objects that answers show each of its servers to
   *   cache, and up to 1.6 times as many where none shows a miss; undefined until
   *   there are enough answers.
   */
  getLearnedCacheSize(service: string): number | undefined;
}

/**
 * Number of answers after which the weight of earlier ones is halved. One VM of
 * a large fleet records as many in about 30 s, so the estimate follows a
 * release that changes the cache size within a minute.
 */
const HALF_LIFE_ANSWERS = 256;
/** Lower bound: the object requested last is cached whatever latencies suggest. */
const MIN_CACHE_SIZE = 2;
/** Answers from which a size counts as learned. */
const MIN_LEARNED_ANSWERS = 64;
/**
 * Ratio of the learned size to the largest one that cache hits show. Servers
 * whose caches are not full never show a miss; without a margin, they would
 * never be given the further copies that show that they cache more. With a
 * ratio of 1.5, caches with room for eight copies were never given a third; with
 * 1.75, caches with room for 2.2 copies were.
 */
const MAX_UNPROVEN_RATIO = 1.6;

/** Recorded answers of one service. */
interface Evidence {
  /** Cache hits minus misses by depth; recent answers weigh more. */
  balance: Float64Array;
  answers: number;
  cacheSize: number;
  /** Largest size that cache hits show. */
  provenSize: number;
}

/**
 * @returns An estimator that starts with the number of tracked objects, its
 *   upper bound.
 */
export function createCacheSizeEstimator(): CacheSizeEstimator {
  const evidenceByService = new Map<string, Evidence>();

  function getEvidence(service: string): Evidence {
    const existing = evidenceByService.get(service);
    if (existing !== undefined) return existing;
    const evidence = {
      balance: new Float64Array(MAX_TRACKED_OBJECTS),
      answers: 0,
      cacheSize: MAX_TRACKED_OBJECTS,
      provenSize: 0,
    };
    evidenceByService.set(service, evidence);
    return evidence;
  }

  return {
    record(service, depth, wasCached) {
      if (depth >= MAX_TRACKED_OBJECTS) return;
      const evidence = getEvidence(service);
      evidence.balance[depth] += wasCached ? 1 : -1;
      evidence.answers++;
      if (evidence.answers % HALF_LIFE_ANSWERS === 0) halve(evidence.balance);
      evidence.provenSize = findProvenSize(evidence.balance);
      evidence.cacheSize = estimateCacheSize(
        evidence.balance,
        evidence.provenSize,
      );
    },
    getCacheSize: (service) =>
      evidenceByService.get(service)?.cacheSize ?? MAX_TRACKED_OBJECTS,
    getLearnedCacheSize(service) {
      const evidence = evidenceByService.get(service);
      if (evidence === undefined || evidence.answers < MIN_LEARNED_ANSWERS) {
        return undefined;
      }
      const { cacheSize, provenSize } = evidence;
      return Math.min(cacheSize, MAX_UNPROVEN_RATIO * provenSize);
    },
  };
}

function halve(balance: Float64Array): void {
  balance.forEach((value, depth) => balance[depth] = value / 2);
}

/**
 * Returns the cache size that contradicts the fewest answers: most objects
 * below that depth were cached, and most from there on were not.
 */
function findProvenSize(balance: Float64Array): number {
  let sum = 0;
  let bestSum = 0;
  let best = 0;
  for (let size = 1; size <= balance.length; size++) {
    sum += balance[size - 1];
    if (sum <= bestSum) continue;
    bestSum = sum;
    best = size;
  }
  return best;
}

/**
 * Extends the proven size over depths without evidence of misses, so that no
 * object is taken to be evicted unless an answer shows it.
 */
function estimateCacheSize(balance: Float64Array, provenSize: number): number {
  let best = provenSize;
  while (best < balance.length && balance[best] >= 0) best++;
  return Math.max(MIN_CACHE_SIZE, best);
}
