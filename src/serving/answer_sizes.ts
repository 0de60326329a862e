/**
 * Expected sizes of answers by route, learned from answers.
 *
 * @module
 */
import type { Route } from "../routing/types.ts";
import { LARGE_BODY_BYTES } from "./body_budget.ts";

/** Expected sizes of answers. */
export interface AnswerSizes {
  /**
   * @param route The route of a request.
   * @returns Expected size of its answer, in bytes; 0 where it is small.
   */
  getExpectedBytes(route: Route): number;
  /**
   * @param route The route of an answered request.
   * @param bytes Size of the answer.
   */
  record(route: Route, bytes: number): void;
}

/** Expected for a download before the first answer. */
const INITIAL_DOWNLOAD_BYTES = 65_536;
/** Weight of the newest answer in the mean. */
const NEWEST_WEIGHT = 0.1;

/** @returns Sizes, none learned. */
export function createAnswerSizes(): AnswerSizes {
  // Routes are new objects after each change of the configuration.
  const meanBytes = new WeakMap<Route, number>();

  function getMean(route: Route): number {
    return meanBytes.get(route) ??
      (route.transfer === "download" ? INITIAL_DOWNLOAD_BYTES : 0);
  }

  return {
    getExpectedBytes(route) {
      const mean = getMean(route);
      return mean < LARGE_BODY_BYTES ? 0 : Math.ceil(mean);
    },
    record(route, bytes) {
      const mean = getMean(route);
      // Small answers of routes that have no others leave nothing to learn.
      if (mean === 0 && bytes < LARGE_BODY_BYTES) return;
      meanBytes.set(route, mean + NEWEST_WEIGHT * (bytes - mean));
    },
  };
}
