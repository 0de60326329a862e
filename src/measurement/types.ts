/**
 * What entries measure and steers plan with.
 *
 * @module
 */

/** Requests of one region's callers. */
export interface Arrivals {
  region: string;
  requestsPerS: number;
}

/** One entry's figures of one service, over its last report period. */
export interface ServiceLoad {
  service: string;
  /** Slots of this entry's share on backend servers that take new work. */
  usableSlots: number;
  /** Requests at backend servers now. */
  inFlight: number;
  /** Time that a backend server takes, in ms; 0 where none was seen yet. */
  serviceMs: number;
  /** Requests by the callers' regions, refused ones included. */
  arrivals: Arrivals[];
  /** Mean bytes of a request and its answer. */
  bytesPerRequest: number;
}

/** One entry's figures. */
export interface EntryLoad {
  /** Member id. */
  entryId: string;
  failureDomain: string;
  /** Share of its slots in use, 0 to 1. */
  utilization: number;
  services: ServiceLoad[];
}

/** An entry's figures and when they came. */
export interface ReceivedLoad {
  load: EntryLoad;
  receivedMs: number;
}
