/**
 * Bounds how long the first requests of new connections have waited.
 *
 * Node.js accepts one connection in each turn of the event loop. Where turns take
 * long, connections wait in the queue of the listening socket, each with its
 * request, and nothing tells for how long. Two things show when the queue held
 * none that had come before: a poll that accepts no connection, and one that
 * accepts a connection which this process opened itself.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { setImmediate } from "node:timers";
import type { HostPort } from "./address.ts";
import type { Clock } from "./clock.ts";
import type { ReadDelay } from "./read_delay.ts";

/** Measures how long requests have waited, by connection. */
export interface AcceptDelay {
  /**
   * Records a connection that was just accepted.
   *
   * @param socket The connection.
   * @returns Whether it is a client's; others are to be closed.
   */
  recordAccepted(socket: Socket): boolean;
  /**
   * @param socket A connection of which a request is read now.
   * @returns Longest time for which the request can have waited, in ms; 0 where
   *   that is too short to be told.
   */
  getMs(socket: Socket): number;
}

/** Options of {@link createAcceptDelay}. */
export interface AcceptDelayOptions {
  clock: Clock;
  readDelay: Pick<ReadDelay, "getMs">;
  /**
   * Opens a connection to the listening socket from its own address.
   *
   * @param onFailed Called if it can't be opened.
   */
  openProbe: (onFailed: () => void) => void;
  /** Runs a function after the current poll of the event loop. */
  afterPoll?: (run: () => void) => void;
}

/** Shorter waits are those of calm times. */
const MIN_DELAY_MS = 100;
const PROBE_INTERVAL_MS = 100;
const MAX_PROBES = 8;

/**
 * @param options Dependencies.
 * @returns A measurement without connections.
 */
export function createAcceptDelay(
  { clock, readDelay, openProbe, afterPoll = (run) => void setImmediate(run) }:
    AcceptDelayOptions,
): AcceptDelay {
  /** When each connection whose first request is due may have been opened. */
  const openedAtMs = new WeakMap<Socket, number>();
  /** Opening times of the own connections that wait, in order. */
  let probes: number[] = [];
  /**
   * The connections that wait came later; undefined while none waits.
   */
  let emptyAtMs: number | undefined;
  let hasAccepted = false;

  /** Follows the queue poll by poll until one accepts no connection. */
  function watchQueue(): void {
    hasAccepted = false;
    afterPoll(() => {
      if (!hasAccepted) {
        emptyAtMs = undefined;
        probes = [];
        return;
      }
      probeWhenDue();
      watchQueue();
    });
  }

  function probeWhenDue(): void {
    const nowMs = clock.monotonicMs();
    const sinceMs = nowMs - (probes.at(-1) ?? emptyAtMs ?? nowMs);
    if (sinceMs < PROBE_INTERVAL_MS || probes.length >= MAX_PROBES) return;
    probes.push(nowMs);
    openProbe(() => void (probes = probes.filter((atMs) => atMs !== nowMs)));
  }

  return {
    recordAccepted(socket) {
      hasAccepted = true;
      const nowMs = clock.monotonicMs();
      if (emptyAtMs === undefined) {
        emptyAtMs = nowMs - readDelay.getMs();
        // The rest of this poll accepts no further one.
        afterPoll(watchQueue);
      }
      if (isOwn(socket)) {
        emptyAtMs = probes.shift() ?? emptyAtMs;
        return false;
      }
      if (nowMs - emptyAtMs >= MIN_DELAY_MS) {
        openedAtMs.set(socket, emptyAtMs);
        // What a later poll reads arrived after the connection was accepted.
        afterPoll(() => afterPoll(() => void openedAtMs.delete(socket)));
      }
      return true;
    },
    getMs(socket) {
      const opened = openedAtMs.get(socket);
      const delayMs = readDelay.getMs();
      if (opened === undefined) return delayMs;
      return Math.max(delayMs, clock.monotonicMs() - opened);
    },
  };
}

/** Clients have other addresses than this VM. */
function isOwn({ localAddress, remoteAddress }: Socket): boolean {
  return remoteAddress !== undefined && remoteAddress === localAddress;
}

/**
 * Opens a connection from an address to itself, which is closed as soon as the
 * other side does so.
 *
 * @param address A listening address.
 * @param onFailed Called if the connection can't be opened.
 */
export function openOwnConnection(
  { host, port }: HostPort,
  onFailed: () => void,
): void {
  const socket = connect({ host, port, localAddress: host });
  socket.unref();
  socket.on("error", onFailed);
  socket.resume();
}
