/**
 * Counts the distinct objects that are requested from each region's servers of
 * a service, and the rate of requests for each, from the requests of this VM
 * and those that other VMs report.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { hashToUint32 } from "../runtime/hash.ts";
import type { ServerRegistry } from "../servers/registry.ts";
import type { ObjectPairs } from "./object_cache_model.ts";

/** Requests for objects by service and region. */
export interface ObjectDemand {
  /**
   * Records requests.
   *
   * @param requests Hashes of servers' ids and of objects' names, alternating.
   */
  record(requests: ObjectPairs): void;
  /**
   * @param service The name of the service.
   * @param region A region; undefined for all regions.
   * @returns Number of distinct objects requested lately, the sum of the
   *   regions' numbers for all regions; infinite where there are too many to
   *   track.
   */
  countObjects(service: string, region?: string): number;
  /**
   * @param service The name of the service.
   * @param region A region.
   * @param objectName The name of the object.
   * @returns Requests per second for the object in the last seconds.
   */
  getRatePerS(service: string, region: string, objectName: string): number;
}

/** Dependencies of the object demand. */
export interface ObjectDemandOptions {
  clock: Clock;
  registry: Pick<ServerRegistry, "listAll" | "getRevision">;
}

/** Length of the windows over which rates are computed; bursts last seconds. */
const RATE_WINDOW_MS = 2_000;
/**
 * Objects are counted for 32 s after their last request, about the length of
 * one wave of demand: objects that are requested in its peak keep their room.
 */
const OBJECT_WINDOWS = 16;
/** Objects that were not requested lately are removed at this interval. */
const PURGE_WINDOWS = 4;
/**
 * Maximum objects tracked by service and region; each takes about 100 bytes.
 */
const MAX_OBJECTS = 8_000;

/** Requests for one object. */
interface ObjectRequests {
  /** Window of the last request. */
  window: number;
  count: number;
  /** Requests in the window before. */
  previousCount: number;
}

/** Objects requested from one region's servers of a service. */
interface RegionObjects {
  service: string;
  region: string;
  objects: Map<number, ObjectRequests>;
}

/** Counts a request for an object. */
function countRequest(
  objects: Map<number, ObjectRequests>,
  objectKey: number,
  window: number,
): void {
  const requests = objects.get(objectKey);
  if (requests === undefined) {
    if (objects.size >= MAX_OBJECTS) return;
    objects.set(objectKey, { window, count: 1, previousCount: 0 });
    return;
  }
  if (requests.window !== window) {
    requests.previousCount = requests.window === window - 1
      ? requests.count
      : 0;
    requests.count = 0;
    requests.window = window;
  }
  requests.count++;
}

/**
 * @param options Dependencies.
 * @returns Demand without any objects.
 */
export function createObjectDemand(
  { clock, registry }: ObjectDemandOptions,
): ObjectDemand {
  const regions = new Map<string, RegionObjects>();
  let regionsByServer = new Map<number, RegionObjects>();
  let revision = -1;
  let purgedWindow = 0;

  function getWindow(): number {
    return Math.floor(clock.monotonicMs() / RATE_WINDOW_MS);
  }

  function getRegionObjects(service: string, region: string): RegionObjects {
    const key = `${service} ${region}`;
    const existing = regions.get(key);
    if (existing !== undefined) return existing;
    const created = { service, region, objects: new Map() };
    regions.set(key, created);
    return created;
  }

  function updateServers(): void {
    if (revision === registry.getRevision()) return;
    revision = registry.getRevision();
    regionsByServer = new Map(
      registry.listAll().map(({ listed, region }) => [
        hashToUint32(listed.id),
        getRegionObjects(listed.service, region),
      ]),
    );
  }

  function purge(window: number): void {
    if (window - purgedWindow < PURGE_WINDOWS) return;
    purgedWindow = window;
    for (const { objects } of regions.values()) {
      for (const [key, requests] of objects) {
        if (window - requests.window > OBJECT_WINDOWS) objects.delete(key);
      }
    }
  }

  function record(requests: ObjectPairs): void {
    updateServers();
    const window = getWindow();
    purge(window);
    for (let index = 0; index + 1 < requests.length; index += 2) {
      const objects = regionsByServer.get(requests[index])?.objects;
      if (objects === undefined) continue;
      countRequest(objects, requests[index + 1], window);
    }
  }

  function countObjects(service: string, region?: string): number {
    purge(getWindow());
    let count = 0;
    for (const entry of regions.values()) {
      if (entry.service !== service) continue;
      if (region !== undefined && entry.region !== region) continue;
      count += entry.objects.size < MAX_OBJECTS ? entry.objects.size : Infinity;
    }
    return count;
  }

  function getRatePerS(
    service: string,
    region: string,
    objectName: string,
  ): number {
    const requests = regions.get(`${service} ${region}`)?.objects.get(
      hashToUint32(objectName),
    );
    if (requests === undefined) return 0;
    const window = getWindow();
    const age = window - requests.window;
    if (age > 1) return 0;
    const count = age === 0
      ? requests.count + requests.previousCount
      : requests.count;
    const elapsedMs = clock.monotonicMs() - (window - 1) * RATE_WINDOW_MS;
    return count / elapsedMs * 1_000;
  }

  return { record, countObjects, getRatePerS };
}
