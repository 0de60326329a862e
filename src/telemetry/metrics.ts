/**
 * Counters and histograms in the Prometheus text format.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Route } from "../routing/types.ts";
import type { ServeResult } from "../serving/types.ts";

/** Figures of one process. */
export interface ServingMetrics {
  /** Notes how a request ended. */
  noteRequest(route: Route, result: ServeResult, tookMs: number): void;
  /** @returns All figures as text. */
  render(): Promise<string>;
  contentType: string;
}

/** Values that are read when the figures are asked for. */
export type GaugeReaders = Record<
  string,
  { help: string; read: () => number }
>;

/** Upper bounds in seconds: around the latency targets of 0.2 to 1.2 s. */
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
 * @param gauges Values to expose beside the requests' figures.
 * @returns Figures that start at zero.
 */
export function createServingMetrics(gauges: GaugeReaders): ServingMetrics {
  const registry = new Registry();
  // First, since some collectors cut long texts and histograms are long.
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
  const requests = new Counter({
    name: "hawthorngw_requests_total",
    help: "Requests by kind, outcome and reason",
    labelNames: ["kind", "outcome", "reason"],
    registers: [registry],
  });
  const latency = new Histogram({
    name: "hawthorngw_request_seconds",
    help: "Time from a request's headers to its final answer",
    labelNames: ["kind", "outcome"],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });
  return {
    noteRequest(route, result, tookMs) {
      const { kind } = route;
      const reason = "reason" in result ? result.reason : "";
      requests.inc({ kind, outcome: result.kind, reason });
      latency.observe({ kind, outcome: result.kind }, tookMs / 1_000);
    },
    render: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
