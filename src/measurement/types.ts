/**
 * What entries measure and steers plan with.
 *
 * @module
 */

/** One entry's figures of one service, over its last report period. */
export interface ServiceLoad {
  service: string;
  /** Slots of this entry's share on backend servers that take new work. */
  usableSlots: number;
  /** Requests at backend servers now. */
  inFlight: number;
  /** Time that a backend server takes, in ms; 0 where none was seen yet. */
  serviceMs: number;
  /** Requests a second by the caller's region, refused ones included. */
  requestsPerS: Record<string, number>;
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
