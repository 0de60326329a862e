/**
 * Look-ups: which entries a caller should use.
 *
 * @module
 */

/** An entry that a caller may use. */
export interface EntryChoice {
  /** Id of its VM. */
  id: string;
  /** Callers' address, `host:port`. */
  address: string;
  failureDomain: string;
  region: string;
  /** Relative preference; the list is in order of preference already. */
  weight: number;
  /** Start of the idempotency keys that this entry accepts as its own. */
  keyPrefix: string;
}

/** The answer to a look-up. */
export interface LookupAnswer {
  service: string;
  /** The client's block, to be sent back with each request. */
  clientBlock: string;
  clientRegion: string;
  /** How long the answer may be kept, in ms. */
  ttlMs: number;
  /** Number of the plan in force; 0 before any. */
  planNumber: number;
  /** Number of the service document's version in force. */
  configNumber: number;
  /** Entries, best first; the others are for when it fails. */
  entries: EntryChoice[];
}
