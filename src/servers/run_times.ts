/**
 * How long requests at servers of each service last.
 *
 * @module
 */

/** Mean durations, by service. */
export interface RunTimes {
  /** Notes a request that was answered. */
  record(service: string, tookMs: number): void;
  /** @returns How long requests last; undefined before the first answer. */
  getMeanMs(service: string): number | undefined;
}

/** Weight of one duration; about the last 30 count. */
const WEIGHT = 0.03;

/** @returns A table that knows no durations. */
export function createRunTimes(): RunTimes {
  const means = new Map<string, number>();
  return {
    record(service, tookMs) {
      const before = means.get(service) ?? tookMs;
      means.set(service, before + WEIGHT * (tookMs - before));
    },
    getMeanMs: (service) => means.get(service),
  };
}
