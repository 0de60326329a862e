/**
 * Request rates of this VM's clients, by service.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Measures request rates. */
export interface DemandMeter {
  /**
   * Counts a request.
   *
   * @param service Service that the request is for.
   */
  record(service: string): void;
  /** @returns Smoothed rates in requests per second, by service. */
  getRates(): Record<string, number>;
}

/** Time constant of the rates; waves of demand last half a minute. */
const SMOOTHING_MS = 2_000;
const MIN_INTERVAL_MS = 200;

/**
 * @param clock The clock.
 * @returns A meter without requests.
 */
export function createDemandMeter(clock: Clock): DemandMeter {
  const counts = new Map<string, number>();
  const ratesPerS = new Map<string, number>();
  let updatedAtMs = clock.monotonicMs();

  function update(): void {
    const elapsedMs = clock.monotonicMs() - updatedAtMs;
    if (elapsedMs < MIN_INTERVAL_MS) return;
    const weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS);
    for (const [service, count] of counts) {
      const previousPerS = ratesPerS.get(service) ?? 0;
      const currentPerS = count / elapsedMs * 1_000;
      ratesPerS.set(
        service,
        previousPerS + weight * (currentPerS - previousPerS),
      );
      counts.set(service, 0);
    }
    updatedAtMs = clock.monotonicMs();
  }

  return {
    record: (service) =>
      void counts.set(service, (counts.get(service) ?? 0) + 1),
    getRates() {
      update();
      return Object.fromEntries(ratesPerS);
    },
  };
}
