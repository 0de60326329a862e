/**
 * Tells how long the first requests of new connections have waited.
 *
 * A connection that came while the event loop was busy is accepted by the first
 * poll after that, but its request is read by the poll after the accept.
 *
 * @module
 */
import type { Socket } from "node:net";
import { setImmediate } from "node:timers";
import type { Clock } from "./clock.ts";
import type { ReadDelay } from "./read_delay.ts";

/** Measures how long requests have waited, by connection. */
export interface AcceptDelay {
  /**
   * Records a connection that was just accepted.
   *
   * @param socket The connection.
   */
  recordAccepted(socket: Socket): void;
  /**
   * @param socket A connection of which a request is read now.
   * @returns Time for which the request has waited, in ms; 0 where that is too
   *   short to be told.
   */
  getMs(socket: Socket): number;
}

/** Options of {@link createAcceptDelay}. */
export interface AcceptDelayOptions {
  clock: Clock;
  readDelay: Pick<ReadDelay, "getMs">;
  /** Runs a function after the current poll of the event loop. */
  afterPoll?: (run: () => void) => void;
}

/**
 * @param options Dependencies.
 * @returns A measurement without connections.
 */
export function createAcceptDelay(
  { clock, readDelay, afterPoll = (run) => void setImmediate(run) }:
    AcceptDelayOptions,
): AcceptDelay {
  /** Opening times of the connections whose first request is due. */
  const openedAtMs = new WeakMap<Socket, number>();
  return {
    recordAccepted(socket) {
      const delayMs = readDelay.getMs();
      if (delayMs === 0) return;
      openedAtMs.set(socket, clock.monotonicMs() - delayMs);
      // What a later poll reads arrived after the connection was accepted.
      afterPoll(() => afterPoll(() => void openedAtMs.delete(socket)));
    },
    getMs(socket) {
      const opened = openedAtMs.get(socket);
      const delayMs = readDelay.getMs();
      if (opened === undefined) return delayMs;
      return Math.max(delayMs, clock.monotonicMs() - opened);
    },
  };
}
