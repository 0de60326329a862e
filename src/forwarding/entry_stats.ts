/**
 * Traffic statistics of an entry, reported to the steers and as metrics.
 *
 * @module
 */
import type { EntryLoad, ServiceLoad } from "../measurement/types.ts";
import {
  createMovingMean,
  createRateCounter,
  type MovingMean,
  type RateCounter,
} from "../measurement/rate.ts";
import type { Member } from "../membership/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Metrics } from "../runtime/metrics.ts";
import type { LocalRunner } from "./local_runner.ts";
import type { ForwardRequest, Outcome } from "./types.ts";

/** Weight of the newest request in the mean number of bytes. */
const BYTES_SMOOTHING_FACTOR = 0.05;

interface ServiceStats {
  /** Request rate by the caller's region. */
  arrivals: Map<string, RateCounter>;
  /** Bytes of a request body and its answer body. */
  bytes: MovingMean;
}

/** Number of outcomes by kind since the process started. */
export type OutcomeCounts = Record<Outcome["kind"], number>;

/** Traffic statistics of an entry. */
export interface EntryStats {
  /**
   * Counts a request, refused ones included.
   *
   * @param service Name of the service.
   * @param callerRegion Region of the caller.
   */
  recordArrival(service: string, callerRegion: string): void;
  /**
   * Counts an outcome, and the bytes of an answered request.
   *
   * @param request The request.
   * @param outcome How it ended.
   */
  recordOutcome(request: ForwardRequest, outcome: Outcome): void;
  /** @returns The entry's load; updates its rates by the arrivals since the last call. */
  read(): EntryLoad;
  /** @returns Outcomes by kind. */
  counts(): OutcomeCounts;
}

/** Dependencies of the statistics. */
export interface EntryStatsOptions {
  self: Member;
  runner: LocalRunner;
  clock: Clock;
  metrics: Metrics;
}

/**
 * @param options Dependencies.
 * @returns Statistics with all counts at 0.
 */
export function createEntryStats(options: EntryStatsOptions): EntryStats {
  const { self, runner, clock, metrics } = options;
  const services = new Map<string, ServiceStats>();
  const counts: OutcomeCounts = { answer: 0, not_run: 0, unknown: 0 };

  function getServiceStats(service: string): ServiceStats {
    const existing = services.get(service);
    if (existing) return existing;
    const created: ServiceStats = {
      arrivals: new Map(),
      bytes: createMovingMean(BYTES_SMOOTHING_FACTOR),
    };
    services.set(service, created);
    return created;
  }

  function getArrivalCounter(service: string, region: string): RateCounter {
    const { arrivals } = getServiceStats(service);
    const existing = arrivals.get(region);
    if (existing) return existing;
    const created = createRateCounter(clock.monotonicMs());
    arrivals.set(region, created);
    return created;
  }

  function readServiceStats(service: string): Pick<
    ServiceLoad,
    "arrivals" | "bytesPerRequest"
  > {
    const { arrivals, bytes } = getServiceStats(service);
    const nowMs = clock.monotonicMs();
    return {
      arrivals: [...arrivals].map(([region, counter]) => ({
        region,
        requestsPerS: counter.read(nowMs),
      })),
      bytesPerRequest: bytes.value(),
    };
  }

  return {
    recordArrival: (service, region) =>
      getArrivalCounter(service, region).add(1),
    recordOutcome(request, outcome) {
      counts[outcome.kind] += 1;
      metrics.count(`requests.${outcome.kind}`, { service: request.service });
      if (outcome.kind !== "answer") return;
      const bytes = request.body.length + outcome.answer.body.length;
      getServiceStats(request.service).bytes.add(bytes);
    },
    read() {
      let usedSlots = 0;
      let totalSlots = 0;
      const loads = runner.listServiceQueues().map(
        (serviceQueue): ServiceLoad => {
          const { service } = serviceQueue.set.document;
          const limit = serviceQueue.limit();
          usedSlots += serviceQueue.queue.pending + serviceQueue.queue.size;
          totalSlots += limit;
          return {
            service,
            usableSlots: limit,
            inFlight: serviceQueue.inFlight(),
            serviceMs: serviceQueue.serviceMs.value(),
            ...readServiceStats(service),
          };
        },
      );
      return {
        entryId: self.id,
        failureDomain: self.failureDomain,
        utilization: totalSlots > 0 ? usedSlots / totalSlots : 1,
        services: loads,
      };
    },
    counts: () => counts,
  };
}
