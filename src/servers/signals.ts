/**
 * Signals about itself that a backend server sends with its answers.
 *
 * @module
 */
import type { LoadReport } from "./load.ts";

/** Signals in one answer, about the server that sent it. */
export interface ServerSignals {
  load: LoadReport | undefined;
  /** Requests a second that the server takes from all VMs together. */
  limitPerS: number | undefined;
  /** Whether this instance of the server takes no new requests any more. */
  isDraining: boolean;
  /** Time from the answer on in which this VM is to send it no requests. */
  backoffMs: number | undefined;
}

/** For answers without signals, or not from the server that was asked. */
export const NO_SIGNALS: ServerSignals = {
  load: undefined,
  limitPerS: undefined,
  isDraining: false,
  backoffMs: undefined,
};
