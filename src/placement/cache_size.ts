/**
 * How many objects servers of a service remember, learned from how long their
 * answers took.
 *
 * Load pattern: a server that keeps 8, 13 or 17 objects is asked for a hundred.
 * Whoever takes all of them for known sends first runs, which take four times
 * as long, to servers that have no slot for them.
 *
 * @module
 */
import { MAX_TRACKED_OBJECTS } from "./object_cache_model.ts";

/** What servers of each service keep. */
export interface CacheSizeEstimator {
  /**
   * Notes an answer for an object that its server was asked for before.
   *
   * @param service The service.
   * @param depth For how many other objects the server was asked since.
   * @param wasKnown Whether it took as long as known objects take.
   */
  record(service: string, depth: number, wasKnown: boolean): void;
  /**
   * @param service The service.
   * @returns How many objects its servers are taken to keep.
   */
  getCacheSize(service: string): number;
}

/**
 * Answers after which older ones lose half of their weight: some 30 s of one
 * VM's requests on a large fleet, so that what differs after a release is
 * learned anew within a minute.
 */
const HALVED_AFTER = 256;
/** What a server was asked for just now it knows, whatever answers seem to say. */
const MIN_KEPT = 2;

interface Evidence {
  /** For each depth, answers of known objects less those of forgotten ones. */
  balance: Float64Array;
  notes: number;
  kept: number;
}

/** @returns A table that takes servers to keep all that is followed. */
export function createCacheSizeEstimator(): CacheSizeEstimator {
  const byService = new Map<string, Evidence>();

  function getEvidence(service: string): Evidence {
    const known = byService.get(service);
    if (known !== undefined) return known;
    const evidence = {
      balance: new Float64Array(MAX_TRACKED_OBJECTS),
      notes: 0,
      kept: MAX_TRACKED_OBJECTS,
    };
    byService.set(service, evidence);
    return evidence;
  }

  return {
    record(service, depth, wasKnown) {
      if (depth >= MAX_TRACKED_OBJECTS) return;
      const evidence = getEvidence(service);
      evidence.balance[depth] += wasKnown ? 1 : -1;
      evidence.notes++;
      if (evidence.notes % HALVED_AFTER === 0) halve(evidence.balance);
      evidence.kept = findSplit(evidence.balance);
    },
    getCacheSize: (service) =>
      byService.get(service)?.kept ?? MAX_TRACKED_OBJECTS,
  };
}

function halve(balance: Float64Array): void {
  balance.forEach((value, depth) => balance[depth] = value / 2);
}

/**
 * The depth below which most were known and from which most were forgotten:
 * the split that is wrong about the fewest answers. It reaches on to where the
 * first answers of forgotten objects lie, so that nothing is believed forgotten
 * without an answer that says so.
 */
function findSplit(balance: Float64Array): number {
  let sum = 0;
  let bestSum = 0;
  let best = 0;
  for (let kept = 1; kept <= balance.length; kept++) {
    sum += balance[kept - 1];
    if (sum <= bestSum) continue;
    bestSum = sum;
    best = kept;
  }
  while (best < balance.length && balance[best] >= 0) best++;
  return Math.max(MIN_KEPT, best);
}
