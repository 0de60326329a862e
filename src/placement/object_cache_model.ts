/**
 * Predicts which backend servers have which objects cached, from the requests
 * that this VM sent and those that other VMs reported.
 *
 * A server caches a fixed number of objects and evicts the least recently used.
 * The prediction therefore counts the other objects requested from the server
 * since, not the time that has passed: by time alone, 105 objects were taken to
 * be cached on servers that keep 17. An object counts as cached from the start
 * of its first request, which takes three to four times as long as later ones.
 *
 * @module
 */
import { hashToUint32 } from "../runtime/hash.ts";

/**
 * Hashes of servers and of objects requested from them, alternating: `server,
 * object, server, object`. A pair takes 10 bytes on a link between VMs.
 */
export type ObjectPairs = number[];

/** Changes of the servers' predicted caches, each list in order of occurrence. */
export interface ObjectCacheUpdates {
  /** Requests that were sent. */
  asked: ObjectPairs;
  /** First requests that were reported before and then failed. */
  forgotten: ObjectPairs;
}

/** Predicts the cached objects of each server. */
export interface ObjectCacheModel {
  /**
   * Records that a request is sent.
   *
   * @returns The object's depth before this request: the number of other
   *   objects requested from the server since this one; undefined if it is not
   *   tracked for the server.
   */
  recordRequest(serverId: string, objectName: string): number | undefined;
  /** Removes an object whose first request failed. */
  forget(serverId: string, objectName: string): void;
  /**
   * @returns The object's depth: the number of other objects requested from the
   *   server since this one; undefined if it is not tracked for the server.
   */
  getDepth(serverId: string, objectName: string): number | undefined;
  /** Applies updates from another VM. */
  apply(updates: ObjectCacheUpdates): void;
  /** @returns Local changes since the last call, to be sent to other VMs. */
  takeUpdates(): ObjectCacheUpdates;
  /** @returns All tracked objects, to be sent to a VM that just started. */
  getSnapshot(): ObjectCacheUpdates;
  /**
   * Subscribes to requests, those of this VM and those of others.
   *
   * @param onRequests Called with the pairs of requests that arrived together.
   */
  subscribe(onRequests: RequestListener): void;
}

/** Receives the hashes of servers and of objects requested from them. */
export type RequestListener = (requests: ObjectPairs) => void;

/** Objects tracked per server; more than any observed server caches. */
export const MAX_TRACKED_OBJECTS = 128;
/** Tracked servers, least recently used evicted first; each takes 1 KB. */
const MAX_SERVERS = 4_096;
/**
 * Maximum length of a pending list: the pairs of 0.1 s at 10,000 requests per
 * second.
 */
const MAX_PENDING_NUMBERS = 2_000;

/** @returns A model that predicts empty caches. */
export function createObjectCacheModel(): ObjectCacheModel {
  /** Object hashes by server hash, most recently requested last. */
  const lists = new Map<number, number[]>();
  const listeners: RequestListener[] = [];
  let pending = createEmptyUpdates();

  /** Returns a server's list and makes it the most recently used one. */
  function touchServer(serverKey: number): number[] {
    const objects = lists.get(serverKey) ?? [];
    lists.delete(serverKey);
    lists.set(serverKey, objects);
    if (lists.size > MAX_SERVERS) lists.delete(lists.keys().next().value!);
    return objects;
  }

  /** Makes an object its server's most recent; returns its previous depth. */
  function touchObject(
    serverKey: number,
    objectKey: number,
  ): number | undefined {
    const objects = touchServer(serverKey);
    const depth = findDepth(objects, objectKey);
    if (depth !== undefined) objects.splice(objects.length - 1 - depth, 1);
    objects.push(objectKey);
    if (objects.length > MAX_TRACKED_OBJECTS) objects.shift();
    return depth;
  }

  function notify(requests: ObjectPairs): void {
    for (const onRequests of listeners) onRequests(requests);
  }

  /** Returns whether the object was tracked. */
  function removeObject(serverKey: number, objectKey: number): boolean {
    const objects = lists.get(serverKey) ?? [];
    const depth = findDepth(objects, objectKey);
    if (depth === undefined) return false;
    objects.splice(objects.length - 1 - depth, 1);
    return true;
  }

  return {
    recordRequest(serverId, objectName) {
      const serverKey = hashToUint32(serverId);
      const objectKey = hashToUint32(objectName);
      appendPair(pending.asked, serverKey, objectKey);
      notify([serverKey, objectKey]);
      return touchObject(serverKey, objectKey);
    },
    forget(serverId, objectName) {
      const serverKey = hashToUint32(serverId);
      const objectKey = hashToUint32(objectName);
      if (removeObject(serverKey, objectKey)) {
        appendPair(pending.forgotten, serverKey, objectKey);
      }
    },
    getDepth(serverId, objectName) {
      const objects = lists.get(hashToUint32(serverId));
      return objects === undefined
        ? undefined
        : findDepth(objects, hashToUint32(objectName));
    },
    apply({ asked, forgotten }) {
      notify(asked);
      forEachPair(asked, touchObject);
      forEachPair(forgotten, removeObject);
    },
    takeUpdates() {
      const updates = pending;
      pending = createEmptyUpdates();
      return updates;
    },
    getSnapshot() {
      const all = createEmptyUpdates();
      for (const [serverKey, objects] of lists) {
        for (const objectKey of objects) all.asked.push(serverKey, objectKey);
      }
      return all;
    },
    subscribe: (onRequests) => void listeners.push(onRequests),
  };
}

/**
 * Calls a function for each pair of a flat list.
 *
 * @param pairs Pairs of numbers, one after the other.
 * @param visit Called for each pair, in order.
 */
export function forEachPair(
  pairs: readonly number[],
  visit: (first: number, second: number) => void,
): void {
  for (let index = 0; index + 1 < pairs.length; index += 2) {
    visit(pairs[index], pairs[index + 1]);
  }
}

function createEmptyUpdates(): ObjectCacheUpdates {
  return { asked: [], forgotten: [] };
}

/** Appends a pair, or drops it if the list is full. */
function appendPair(
  pairs: ObjectPairs,
  serverKey: number,
  objectKey: number,
): void {
  if (pairs.length < MAX_PENDING_NUMBERS) pairs.push(serverKey, objectKey);
}

/** Each object is listed once, and `indexOf` is faster than `lastIndexOf`. */
function findDepth(
  objects: readonly number[],
  objectKey: number,
): number | undefined {
  const index = objects.indexOf(objectKey);
  return index < 0 ? undefined : objects.length - 1 - index;
}
