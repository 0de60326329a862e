/**
 * Requests a second that this VM's clients make, by service.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Counts requests. */
export interface DemandMeter {
  /** Notes a request for a service. */
  note(service: string): void;
  /** @returns Requests a second, by service, over the last seconds. */
  getRates(): Record<string, number>;
}

/** Rates follow demand with this time constant; waves last half a minute. */
const SMOOTHING_MS = 2_000;
const MIN_INTERVAL_MS = 200;

/**
 * @param clock The clock.
 * @returns A meter that has counted nothing.
 */
export function createDemandMeter(clock: Clock): DemandMeter {
  const counts = new Map<string, number>();
  const rates = new Map<string, number>();
  let sinceMs = clock.monotonicMs();

  function update(): void {
    const elapsedMs = clock.monotonicMs() - sinceMs;
    if (elapsedMs < MIN_INTERVAL_MS) return;
    const weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
    for (const [service, count] of counts) {
      const before = rates.get(service) ?? 0;
      const ratePerS = count / elapsedMs * 1_000;
      rates.set(service, before + weight * (ratePerS - before));
      counts.set(service, 0);
    }
    sinceMs = clock.monotonicMs();
  }

  return {
    note: (service) => void counts.set(service, (counts.get(service) ?? 0) + 1),
    getRates() {
      update();
      return Object.fromEntries(rates);
    },
  };
}
