/**
 * Mean run time of requests, by service.
 *
 * @module
 */

/** Mean run times of requests, by service. */
export interface RunTimes {
  /**
   * Records a request that was answered.
   *
   * @param service The service.
   * @param tookMs Time from sending the request to its answer.
   */
  record(service: string, tookMs: number): void;
  /** @returns The mean run time in ms; undefined before the first answer. */
  getMeanMs(service: string): number | undefined;
}

/** Weight of one run time in the moving average of about 30 requests. */
const WEIGHT = 0.03;

/** @returns An empty table of run times. */
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
