/**
 * Counts what an entry carries, for the steers and for metrics.
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

const BYTES_WEIGHT = 0.05;

interface ServiceFigures {
  /** By the caller's region. */
  arrivals: Map<string, RateCounter>;
  bytes: MovingMean;
}

/** Outcomes since the process started. */
export type OutcomeCounts = Record<Outcome["kind"], number>;

/** What an entry carries. */
export interface EntryFigures {
  noteArrival(service: string, callerRegion: string): void;
  noteOutcome(request: ForwardRequest, outcome: Outcome): void;
  /** @returns Figures since the last call. */
  read(): EntryLoad;
  counts(): OutcomeCounts;
}

/** What the figures need. */
export interface FigureOptions {
  self: Member;
  runner: LocalRunner;
  clock: Clock;
  metrics: Metrics;
}

/**
 * @param options See there.
 * @returns Figures of an entry that has carried nothing.
 */
export function createFigures(options: FigureOptions): EntryFigures {
  const { self, runner, clock, metrics } = options;
  const services = new Map<string, ServiceFigures>();
  const counts: OutcomeCounts = { answer: 0, not_run: 0, unknown: 0 };

  function figuresOf(service: string): ServiceFigures {
    const known = services.get(service);
    if (known) return known;
    const made: ServiceFigures = {
      arrivals: new Map(),
      bytes: createMovingMean(BYTES_WEIGHT),
    };
    services.set(service, made);
    return made;
  }

  function arrivalsOf(service: string, region: string): RateCounter {
    const { arrivals } = figuresOf(service);
    const known = arrivals.get(region);
    if (known) return known;
    const made = createRateCounter(clock.monotonicMs());
    arrivals.set(region, made);
    return made;
  }

  function readService(service: string): Pick<
    ServiceLoad,
    "arrivals" | "bytesPerRequest"
  > {
    const { arrivals, bytes } = figuresOf(service);
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
    noteArrival: (service, region) => arrivalsOf(service, region).add(1),
    noteOutcome(request, outcome) {
      counts[outcome.kind] += 1;
      metrics.count(`requests.${outcome.kind}`, { service: request.service });
      if (outcome.kind !== "answer") return;
      const bytes = request.body.length + outcome.answer.body.length;
      figuresOf(request.service).bytes.add(bytes);
    },
    read() {
      let used = 0;
      let total = 0;
      const loads = runner.lines().map((line): ServiceLoad => {
        const { service } = line.set.document;
        const limit = line.limit();
        used += line.queue.pending + line.queue.size;
        total += limit;
        return {
          service,
          usableSlots: limit,
          inFlight: line.inFlight(),
          serviceMs: line.serviceMs.value(),
          ...readService(service),
        };
      });
      return {
        entryId: self.id,
        failureDomain: self.failureDomain,
        utilization: total > 0 ? used / total : 1,
        services: loads,
      };
    },
    counts: () => counts,
  };
}
