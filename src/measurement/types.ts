/**
 * Measurements that entries report and steers plan with.
 *
 * @module
 */

/** Request rate of one region's callers. */
export interface Arrivals {
  /** The callers' region. */
  region: string;
  requestsPerS: number;
}

/** One entry's measurements of one service over its last report period. */
export interface ServiceLoad {
  service: string;
  /** The entry's share of the slots of backend servers that accept requests. */
  usableSlots: number;
  /** Requests that backend servers are running now. */
  inFlight: number;
  /**
   * Mean time a backend server takes for a request, in ms; 0 before the first.
   */
  serviceMs: number;
  /** Request rates by the callers' regions, refused requests included. */
  arrivals: Arrivals[];
  /** Mean size of a request and its answer together, in bytes. */
  bytesPerRequest: number;
}

/** One entry's measurements. */
export interface EntryLoad {
  /** Member id. */
  entryId: string;
  failureDomain: string;
  /**
   * Running and queued requests as a share of the entry's slots; above 1 where
   * requests queue, 1 where it has no slots.
   */
  utilization: number;
  services: ServiceLoad[];
}

/** An entry's measurements and the time of their receipt. */
export interface ReceivedLoad {
  load: EntryLoad;
  /** Monotonic time, in ms. */
  receivedMs: number;
}
