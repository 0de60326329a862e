/**
 * Tells in the log when keys can't be trusted any more, and when again.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import type { FreshnessTracker } from "./freshness.ts";

/** What a watch needs. */
export interface FreshnessMonitorOptions {
  clock: Clock;
  log: Log;
  freshness: FreshnessTracker;
  /** Age up to which knowledge is trusted. */
  maxAgeMs: number;
}

/** Two lines a second at the most, however often trust is lost. */
const CHECK_MS = 500;

/**
 * @param parts What the watch needs.
 * @returns The running watch.
 */
export function startFreshnessMonitor(parts: FreshnessMonitorOptions): Timer {
  const { clock, log, freshness: knowledge, maxAgeMs } = parts;
  let isTrusted = false;

  return clock.every(CHECK_MS, () => {
    const ageMs = knowledge.getAgeMs();
    const isTrustedNow = ageMs <= maxAgeMs;
    if (isTrustedNow === isTrusted) return;
    isTrusted = isTrustedNow;
    const fields = { ageMs: Math.round(ageMs), maxAgeMs };
    if (isTrusted) log.info(fields, "knowledge proven");
    else log.warn(fields, "knowledge too old for keys");
  });
}
