/**
 * Backend servers as the platform's register lists them.
 *
 * @module
 */

/** Whether a backend server takes new requests. */
export type ServerState = "ready" | "draining";

/**
 * An instance of a backend server, which lasts until the server restarts. The
 * next instance has the same registered name and another id, and none of the
 * state of the one before.
 */
export interface ListedServer {
  /** Identifies the instance; unlike the name, it changes with each restart. */
  id: string;
  /** The server's name in the register, which it also uses for itself. */
  registeredName: string;
  service: string;
  /** `host:port`; may later belong to a server of another service. */
  address: string;
  failureDomain: string;
  /** Requests that it runs at once. */
  slots: number;
  state: ServerState;
  /** Remaining time as a cold server, from when the register was updated. */
  coldLeftMs: number;
}
