/**
 * Backend servers as the platform's register lists them.
 *
 * @module
 */

/** Whether a backend server takes new requests. */
export type ServerState = "ready" | "draining";

/**
 * One start of a backend server. A server may start again under the name that
 * it had; that is another start, which holds and knows nothing of before.
 */
export interface ListedServer {
  /** Tells starts apart, also those of one name. */
  id: string;
  /** Its name in the register, by which it knows itself. */
  registeredName: string;
  service: string;
  /** `host:port`; may pass on to a server of another service later. */
  address: string;
  failureDomain: string;
  /** Requests that it runs at once. */
  slots: number;
  state: ServerState;
  /** How long it stays cold, counted from when the register was told. */
  coldLeftMs: number;
}
