/**
 * Counters, gauges and timings, sent by `hot-shots` over UDP.
 *
 * @module
 */
import { StatsD } from "hot-shots";
import type { HostPort } from "./address.ts";

/** What a slice may report. */
export interface Metrics {
  /** Adds one to a counter. */
  count(name: string, tags?: Record<string, string>): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: Record<string, string>): void;
  /** Records a duration in ms. */
  timing(name: string, durationMs: number, tags?: Record<string, string>): void;
  /** Flushes and closes the socket. */
  close(): void;
}

/**
 * @param sink Where a StatsD server listens; absent, nothing is sent.
 * @param processTags Tags on every metric of this process.
 * @returns The process's metrics.
 */
export function createMetrics(
  sink: HostPort | undefined,
  processTags: Record<string, string> = {},
): Metrics {
  if (sink === undefined) return createSilentMetrics();
  const client = new StatsD({
    host: sink.host,
    port: sink.port,
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

/** @returns Metrics that go nowhere. */
export function createSilentMetrics(): Metrics {
  return { count() {}, gauge() {}, timing() {}, close() {} };
}
