/**
 * Which backend servers know which objects: what this VM saw, and what other
 * VMs told.
 *
 * A server remembers so many objects, and forgets the one that it was not asked
 * for longest. So what counts is not how long ago it was asked for an object,
 * but for how many others since: with time alone, 105 objects were taken for
 * known at servers that keep 17. It knows an object from the start of its first
 * request; that request takes three to four times as long as those after it.
 *
 * @module
 */
import { hashToUint32 } from "../runtime/hash.ts";

/**
 * Pairs of a server and an object that it was asked for, both hashed, one after
 * the other: `server, object, server, object`. A pair takes 10 bytes on a link.
 */
export type ObjectPairs = number[];

/** What changed in servers' memories, in the order in which it happened. */
export interface ObjectCacheUpdates {
  asked: ObjectPairs;
  /** First requests that failed and were told of before. */
  forgotten: ObjectPairs;
}

/** What is known of servers' memories. */
export interface ObjectCacheModel {
  /**
   * Notes a request that is sent.
   *
   * @returns For how many other objects the server was asked since it was last
   *   asked for this one; undefined where it never was.
   */
  recordRequest(serverId: string, objectName: string): number | undefined;
  /** Notes that the first request for an object failed. */
  forget(serverId: string, objectName: string): void;
  /** @returns The same as `note`, without noting anything. */
  getDepth(serverId: string, objectName: string): number | undefined;
  /** Takes in what other VMs told. */
  apply(news: ObjectCacheUpdates): void;
  /** @returns What changed here since the last call, to tell other VMs. */
  takeUpdates(): ObjectCacheUpdates;
  /** @returns What servers were asked for, for a VM that just started. */
  getSnapshot(): ObjectCacheUpdates;
}

/** Objects followed for a server; more than servers were seen to keep. */
export const MAX_TRACKED_OBJECTS = 128;
/** Servers followed; those not asked longest go first. One takes 1 KB. */
const MAX_SERVERS = 4_096;
/** Most numbers told at once: a tenth of a second of 10,000 requests a second. */
const MAX_TOLD = 2_000;

/** @returns A memory of nothing. */
export function createObjectCacheModel(): ObjectCacheModel {
  /** Objects of each server, the one asked for last at the end. */
  const orders = new Map<number, number[]>();
  let news = makeNews();

  function getOrder(serverKey: number): number[] {
    const order = orders.get(serverKey) ?? [];
    orders.delete(serverKey);
    orders.set(serverKey, order);
    if (orders.size > MAX_SERVERS) orders.delete(orders.keys().next().value!);
    return order;
  }

  function put(serverKey: number, objectKey: number): number | undefined {
    const order = getOrder(serverKey);
    const depth = findDepth(order, objectKey);
    if (depth !== undefined) order.splice(order.length - 1 - depth, 1);
    order.push(objectKey);
    if (order.length > MAX_TRACKED_OBJECTS) order.shift();
    return depth;
  }

  function drop(serverKey: number, objectKey: number): boolean {
    const order = orders.get(serverKey) ?? [];
    const depth = findDepth(order, objectKey);
    if (depth === undefined) return false;
    order.splice(order.length - 1 - depth, 1);
    return true;
  }

  return {
    recordRequest(serverId, objectName) {
      const serverKey = hashToUint32(serverId);
      const objectKey = hashToUint32(objectName);
      tell(news.asked, serverKey, objectKey);
      return put(serverKey, objectKey);
    },
    forget(serverId, objectName) {
      const serverKey = hashToUint32(serverId);
      const objectKey = hashToUint32(objectName);
      if (drop(serverKey, objectKey)) {
        tell(news.forgotten, serverKey, objectKey);
      }
    },
    getDepth(serverId, objectName) {
      const order = orders.get(hashToUint32(serverId));
      return order === undefined
        ? undefined
        : findDepth(order, hashToUint32(objectName));
    },
    apply({ asked, forgotten }) {
      forEachPair(asked, put);
      forEachPair(forgotten, drop);
    },
    takeUpdates() {
      const taken = news;
      news = makeNews();
      return taken;
    },
    getSnapshot() {
      const all = makeNews();
      for (const [serverKey, order] of orders) {
        for (const objectKey of order) all.asked.push(serverKey, objectKey);
      }
      return all;
    },
  };
}

/**
 * @param pairs Pairs of numbers.
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

function makeNews(): ObjectCacheUpdates {
  return { asked: [], forgotten: [] };
}

function tell(pairs: ObjectPairs, serverKey: number, objectKey: number): void {
  if (pairs.length < MAX_TOLD) pairs.push(serverKey, objectKey);
}

function findDepth(
  order: readonly number[],
  objectKey: number,
): number | undefined {
  const index = order.lastIndexOf(objectKey);
  return index < 0 ? undefined : order.length - 1 - index;
}
