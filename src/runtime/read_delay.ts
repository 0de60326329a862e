/**
 * Bounds how long bytes that this process reads now have waited for it.
 *
 * While the event loop is busy, or the process gets no processor time, requests
 * wait in their connections, and nothing tells when they arrived. But each poll of
 * the event loop reads all connections that have bytes: what is read now arrived
 * after the last poll that ended before.
 *
 * @module
 */
import { setImmediate } from "node:timers";
import type { Clock } from "./clock.ts";

/** Measures how long bytes wait to be read. */
export interface ReadDelay {
  /**
   * @returns Time for which bytes that are read now have waited, in ms: the longest
   *   possible one less a tolerance, since a request that is given up too early
   *   costs its caller more than one that is held a little too long.
   */
  getMs(): number;
  /** @returns The longest such time since the previous call, in ms. */
  takeMaxMs(): number;
  /** Stops the measurements. */
  stop(): void;
}

/** Options of {@link startReadDelay}. */
export interface ReadDelayOptions {
  clock: Clock;
  /**
   * Called when bytes may have waited for over a quarter of a second; at most once
   * a second.
   *
   * @param delayMs The longest time since the previous call, in ms.
   */
  onHeldUp: (delayMs: number) => void;
  /** Runs a function after the next poll of the event loop. */
  afterPoll?: (run: () => void) => void;
}

const TURN_INTERVAL_MS = 50;
/** Half of the time for which a request may be held past its route's timeout. */
const TOLERANCE_MS = 250;
const REPORT_INTERVAL_MS = 1_000;

/**
 * @param options Dependencies.
 * @returns The running measurement.
 */
export function startReadDelay(
  { clock, onHeldUp, afterPoll = (run) => void setImmediate(run) }:
    ReadDelayOptions,
): ReadDelay {
  /** Start of the last poll that has ended. */
  let polledAtMs = clock.monotonicMs();
  let reportedAtMs = -Infinity;
  let unreportedMs = 0;
  let maxMs = 0;

  function recordTurn(): void {
    const nowMs = clock.monotonicMs();
    const delayMs = nowMs - polledAtMs;
    maxMs = Math.max(maxMs, delayMs);
    unreportedMs = Math.max(unreportedMs, delayMs);
    // What this poll reads may have waited since the one before it.
    afterPoll(() => void (polledAtMs = nowMs));
    if (unreportedMs < TOLERANCE_MS) return void (unreportedMs = 0);
    if (nowMs - reportedAtMs < REPORT_INTERVAL_MS) return;
    reportedAtMs = nowMs;
    onHeldUp(unreportedMs);
    unreportedMs = 0;
  }

  const timer = clock.every(TURN_INTERVAL_MS, recordTurn);
  return {
    getMs() {
      return Math.max(0, clock.monotonicMs() - polledAtMs - TOLERANCE_MS);
    },
    takeMaxMs() {
      const takenMs = maxMs;
      maxMs = 0;
      return takenMs;
    },
    stop: timer.cancel,
  };
}
