/**
 * Mean run time of requests, by service.
 *
 * @module
 */

import { createBoundedMeans } from "./bounded_mean.ts";

/** Mean run times of requests, by service. */
export interface RunTimes {
  /**
   * Records a request that was answered.
   *
   * @param service The service.
   * @param tookMs Time from sending the request to its answer, at the usual
   *   speed of its server.
   */
  record(service: string, tookMs: number): void;
  /** @returns The mean run time in ms; undefined before the first answer. */
  getMeanMs(service: string): number | undefined;
}

/** Weight of one run time in the moving average of about 30 requests. */
const WEIGHT = 0.03;

/** @returns An empty table of run times. */
export function createRunTimes(): RunTimes {
  const means = createBoundedMeans(WEIGHT);
  return { record: means.record, getMeanMs: means.get };
}
