/**
 * Logs when the configuration becomes too old to accept API keys, and when it is
 * recent enough again.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import type { FreshnessTracker } from "./freshness.ts";

/** Dependencies of a freshness monitor. */
export interface FreshnessMonitorOptions {
  clock: Clock;
  log: Log;
  freshness: FreshnessTracker;
  /** Maximum age of the configuration at which API keys are accepted, in ms. */
  maxAgeMs: number;
}

/** Limits the log to two lines a second, however often the state changes. */
const CHECK_INTERVAL_MS = 500;

/**
 * Starts to check the age of the configuration.
 *
 * @param options Dependencies of the monitor.
 * @returns The timer; cancel it to stop the monitor.
 */
export function startFreshnessMonitor(
  options: FreshnessMonitorOptions,
): Timer {
  const { clock, log, freshness, maxAgeMs } = options;
  let isFresh = false;

  return clock.every(CHECK_INTERVAL_MS, () => {
    const ageMs = freshness.getAgeMs();
    const isFreshNow = ageMs <= maxAgeMs;
    if (isFreshNow === isFresh) return;
    isFresh = isFreshNow;
    const fields = { ageMs: Math.round(ageMs), maxAgeMs };
    if (isFresh) log.info(fields, "configuration recent enough for API keys");
    else log.warn(fields, "configuration too old for API keys");
  });
}
