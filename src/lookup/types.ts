/**
 * Types of lookups, which tell a caller the entries to use.
 *
 * @module
 */

/** An entry that a caller may use. */
export interface EntryChoice {
  /** Id of the entry's VM. */
  id: string;
  /** Address for callers, `host:port`. */
  address: string;
  failureDomain: string;
  region: string;
  /** Relative preference, in the order of the list. */
  weight: number;
  /** Prefix of the idempotency keys that this entry accepts as its own. */
  keyPrefix: string;
}

/** The answer to a lookup. */
export interface LookupAnswer {
  service: string;
  /** The client's block, to be sent back with each request. */
  clientBlock: string;
  clientRegion: string;
  /** Time for which the answer may be cached, in ms. */
  ttlMs: number;
  /** Number of the plan in force; 0 if there is none. */
  planNumber: number;
  /** Version number of the service document in force. */
  configNumber: number;
  /** Entries in order of preference; the rest are fallbacks for the first. */
  entries: EntryChoice[];
}
