/**
 * What VMs tell each other of their requests at backend servers.
 *
 * @module
 */
import type { ObjectCacheUpdates } from "../placement/object_cache_model.ts";

/** Pairs of a server, hashed, and its requests: `server, requests, ...`. */
export type RequestPairs = number[];

/**
 * Whose requests a message tells of.
 *
 * - `vm`: those of the VM that sends it.
 * - `region`: those of all VMs of the sender's region, for other regions.
 * - `all`: those that a VM of the sender's region has to know, its own included.
 * - `past`: what servers were asked for before a VM started.
 */
export type ActivityScope = "vm" | "region" | "all" | "past";

/** Requests at backend servers, since the last time and now. */
export interface Activity extends ObjectCacheUpdates {
  /** Requests that run or wait now; servers without are left out. */
  running: RequestPairs;
}
