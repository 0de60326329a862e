/**
 * When this process ends, so that it accepts only what it can finish.
 *
 * @module
 */
import type { Route } from "../routing/types.ts";
import type { RequestMetadata } from "./types.ts";

/** The end of this process. */
export interface ProcessEnd {
  /**
   * Sets the end, unless it is already set to an earlier time. What began before
   * is not affected.
   *
   * @param atMs When it is, on the monotonic clock.
   */
  schedule(atMs: number): void;
  /** @returns When it is, on the monotonic clock; infinite while none is set. */
  getMs(): number;
  /**
   * @param untilMs When some work ends at the latest, on the monotonic clock.
   * @returns Whether its result can still be passed on before the end.
   */
  isAfter(untilMs: number): boolean;
}

/** Timers fire late on a busy VM, and the last response has to be written. */
const RESPONSE_MARGIN_MS = 100;

/** @returns An end that is not set yet. */
export function createProcessEnd(): ProcessEnd {
  let endsAtMs = Infinity;
  return {
    schedule: (atMs) => void (endsAtMs = Math.min(endsAtMs, atMs)),
    getMs: () => endsAtMs,
    isAfter: (untilMs) => untilMs + RESPONSE_MARGIN_MS <= endsAtMs,
  };
}

/**
 * @param route Route of a request.
 * @param metadata Metadata of the request.
 * @param arrivedAtMs When its headers had arrived, on the monotonic clock.
 * @returns When its client has the whole response at the latest, on the
 *   monotonic clock.
 */
export function computeResponseEndMs(
  route: Route,
  metadata: RequestMetadata,
  arrivedAtMs: number,
): number {
  const { deadlineMs = route.timeoutMs } = metadata;
  // The route's timeout bounds the run, and not how long a large answer takes to
  // send.
  const limitMs = route.transfer === "download"
    ? deadlineMs
    : Math.min(route.timeoutMs, deadlineMs);
  return arrivedAtMs + limitMs;
}
