/**
 * Metrics of a gateway in the Prometheus text format.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Route } from "../routing/types.ts";
import type { ServeResult } from "../serving/types.ts";

/** Metrics of one process. */
export interface ServingMetrics {
  /**
   * Records the result of a request.
   *
   * @param route The route of the request.
   * @param result The result.
   * @param durationMs Time from its headers to the final answer, in ms.
   */
  recordRequest(route: Route, result: ServeResult, durationMs: number): void;
  /** @returns All metrics in the text format. */
  render(): Promise<string>;
  /** Value of the `content-type` header for the text. */
  contentType: string;
}

/**
 * Gauges or counters by name without prefix, with a function that reads the
 * current value.
 */
export type GaugeDefinitions = Record<
  string,
  { help: string; read: () => number }
>;

/** Upper bounds of the buckets, chosen for latency targets of 0.2 to 1.2 s. */
const LATENCY_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.3,
  0.4,
  0.6,
  0.8,
  1.2,
  2,
  4,
];

/**
 * @param gauges Gauges to expose besides the metrics of requests.
 * @param counters Counters to expose, whose values only rise.
 * @returns The metrics, with all counters at zero.
 */
export function createServingMetrics(
  gauges: GaugeDefinitions,
  counters: GaugeDefinitions = {},
): ServingMetrics {
  const registry = new Registry();
  // Gauges come first: some collectors truncate long texts, and histograms are
  // long.
  for (const [name, { help, read }] of Object.entries(gauges)) {
    new Gauge({
      name: `hawthorngw_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
  for (const [name, { help, read }] of Object.entries(counters)) {
    new Counter({
      name: `hawthorngw_${name}`,
      help,
      registers: [registry],
      collect() {
        this.reset();
        this.inc(read());
      },
    });
  }
  const requestCounter = new Counter({
    name: "hawthorngw_requests_total",
    help: "Requests by kind, outcome and reason",
    labelNames: ["kind", "outcome", "reason"],
    registers: [registry],
  });
  const latencyHistogram = new Histogram({
    name: "hawthorngw_request_seconds",
    help: "Time from a request's headers to its final answer",
    labelNames: ["kind", "outcome"],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });
  return {
    recordRequest(route, result, durationMs) {
      const { kind } = route;
      const reason = "reason" in result ? result.reason : "";
      requestCounter.inc({ kind, outcome: result.kind, reason });
      latencyHistogram.observe(
        { kind, outcome: result.kind },
        durationMs / 1_000,
      );
    },
    render: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
