/**
 * What a backend server says of itself with its answers.
 *
 * @module
 */
import type { LoadReport } from "./load.ts";

/** What one answer says of the server that gave it. */
export interface ServerSignals {
  load: LoadReport | undefined;
  /** Requests a second that it takes from all VMs together. */
  limitPerS: number | undefined;
  /** Whether this start of the server takes no new work any more. */
  isDraining: boolean;
  /** How long this VM is to send it nothing, from the answer on. */
  backoffMs: number | undefined;
}

/** What an answer says that speaks of no server, or not of the one asked. */
export const NO_SIGNALS: ServerSignals = {
  load: undefined,
  limitPerS: undefined,
  isDraining: false,
  backoffMs: undefined,
};
