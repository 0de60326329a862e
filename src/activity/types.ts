/**
 * Messages in which VMs report their activity at backend servers.
 *
 * @module
 */
import type { ObjectCacheUpdates } from "../placement/object_cache_model.ts";

/** Flattened pairs of a server's hash and a count: `server, requests, ...`. */
export type RequestPairs = number[];

/**
 * The requests that a message covers.
 *
 * - `vm`: those of the sender.
 * - `region`: those of all VMs of the sender's region; sent to other regions.
 * - `all`: all that are relevant to the sender's region, including those of the
 *   receiver.
 * - `past`: the objects requested from servers before the receiver started.
 */
export type ActivityScope = "vm" | "region" | "all" | "past";

/**
 * Activity at backend servers: objects requested since the last message, and
 * requests that run now.
 */
export interface Activity extends ObjectCacheUpdates {
  /** Requests that run or wait now; servers without any are left out. */
  running: RequestPairs;
}
