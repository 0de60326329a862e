/**
 * Rounds figures, so that those which hardly change need not travel. Pure.
 *
 * @module
 */
import type { EntryLoad } from "./types.ts";

/** Significant digits kept. */
const SIGNIFICANT_DIGITS = 2;
/** Steps of a utilization. */
const UTILIZATION_STEPS = 20;

/**
 * @param value Any figure.
 * @returns It, rounded to two significant digits.
 */
export function roundToSignificantDigits(value: number): number {
  return value === 0 ? 0 : Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

/**
 * @param load An entry's figures.
 * @returns The same, rounded.
 */
export function quantiseLoad(load: EntryLoad): EntryLoad {
  return {
    ...load,
    utilization: Math.round(load.utilization * UTILIZATION_STEPS) /
      UTILIZATION_STEPS,
    services: load.services.map((service) => ({
      ...service,
      inFlight: roundToSignificantDigits(service.inFlight),
      serviceMs: roundToSignificantDigits(service.serviceMs),
      bytesPerRequest: roundToSignificantDigits(service.bytesPerRequest),
      arrivals: service.arrivals.map(({ region, requestsPerS }) => ({
        region,
        requestsPerS: roundToSignificantDigits(requestsPerS),
      })),
    })),
  };
}
