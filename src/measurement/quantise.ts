/**
 * Rounds measurements, so that negligible changes cause no message. Pure
 * functions.
 *
 * @module
 */
import type { EntryLoad } from "./types.ts";

/** Significant digits of a rounded value. */
const SIGNIFICANT_DIGITS = 2;
/** Steps between utilization 0 and utilization 1. */
const UTILIZATION_STEPS = 20;

/**
 * Rounds a value to two significant digits.
 *
 * @param value The value, in any unit.
 * @returns The rounded value, in the same unit.
 */
export function roundToSignificantDigits(value: number): number {
  return value === 0 ? 0 : Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

/**
 * Rounds all measurements of an entry but its slots.
 *
 * @param load The measurements.
 * @returns A rounded copy: utilization in steps of 0.05, the other values to
 * two significant digits.
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
