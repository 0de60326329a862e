/**
 * Counters, gauges and timings, sent to a StatsD server over UDP.
 *
 * @module
 */
import { StatsD } from "hot-shots";
import type { HostPort } from "./address.ts";

/** Reports the metrics of one process. */
export interface Metrics {
  /** Increments a counter by one. */
  count(name: string, tags?: Record<string, string>): void;
  /** Sets a gauge; the unit is part of its name. */
  gauge(name: string, value: number, tags?: Record<string, string>): void;
  /** Records a duration, in ms. */
  timing(name: string, durationMs: number, tags?: Record<string, string>): void;
  /** Flushes and closes the socket. */
  close(): void;
}

/**
 * @param statsdAddress Address of the StatsD server; undefined sends nothing.
 * @param processTags Tags of every metric of this process.
 * @returns The metrics of the process.
 */
export function createMetrics(
  statsdAddress: HostPort | undefined,
  processTags: Record<string, string> = {},
): Metrics {
  if (statsdAddress === undefined) return createSilentMetrics();
  const client = new StatsD({
    host: statsdAddress.host,
    port: statsdAddress.port,
    prefix: "hawthorngw.",
    globalTags: processTags,
    errorHandler: () => {},
  });
  return {
    count: (name, tags) => client.increment(name, 1, tags),
    gauge: (name, value, tags) => client.gauge(name, value, tags),
    timing: (name, durationMs, tags) => client.timing(name, durationMs, tags),
    close: () => client.close(() => {}),
  };
}

/** @returns Metrics that are discarded. */
export function createSilentMetrics(): Metrics {
  return { count() {}, gauge() {}, timing() {}, close() {} };
}
