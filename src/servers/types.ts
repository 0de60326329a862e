/**
 * Backend servers as the platform's register lists them.
 *
 * @module
 */

/** Whether a backend server takes new requests. */
export type ServerState = "ready" | "draining";

/** One start of a backend server; a restart has another id. */
export interface ListedServer {
  id: string;
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
