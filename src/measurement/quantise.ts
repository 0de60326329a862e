/**
 * Rounds figures, so that those which hardly change need not travel. Pure.
 *
 * @module
 */
import type { EntryLoad } from "./types.ts";

/** Significant digits kept. */
const DIGITS = 2;
/** Steps of a utilization. */
const UTILIZATION_STEPS = 20;

/**
 * @param value Any figure.
 * @returns It, rounded to two significant digits.
 */
export function roundFigure(value: number): number {
  return value === 0 ? 0 : Number(value.toPrecision(DIGITS));
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
      inFlight: roundFigure(service.inFlight),
      serviceMs: roundFigure(service.serviceMs),
      bytesPerRequest: roundFigure(service.bytesPerRequest),
      arrivals: service.arrivals.map(({ region, requestsPerS }) => ({
        region,
        requestsPerS: roundFigure(requestsPerS),
      })),
    })),
  };
}
