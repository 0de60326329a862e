/**
 * Records and report of a load run.
 *
 * @module
 */
import type { CallResult } from "../caller/types.ts";

/** One call as the caller observed it. */
export interface CallRecord {
  service: string;
  /** Request class of the service. */
  className: string;
  /** Weight of the class in `answeredInTimeShare`. */
  weight: number;
  idempotent: boolean;
  clientIp: string;
  path: string;
  deadlineMs: number;
  /** Due time by the open-loop schedule, in ms since the Unix epoch. */
  dueMs: number;
  /** Time from `dueMs` until the result, in ms; includes a late start. */
  latencyMs: number;
  result: CallResult;
}

/** Number of violations of each guarantee of the system. */
export interface Invariants {
  /** Idempotency keys that backend servers ran more than once. */
  duplicateRuns: number;
  /** Answers that were truncated or belonged to another request. */
  crossedAnswers: number;
  /** Requests reported as not run that a backend server did run. */
  falselyNotRun: number;
  /** Caller connections that broke with a request in flight. */
  cutOffInFlight: number;
  /** Windows in which more traffic changed region than the shift cap allows. */
  overCapShifts: number;
  /** Regions in which a backend server held more requests than it has slots. */
  overloadedRegions: number;
  /** Requests that a backend server started more than 2 s after its drain. */
  workAfterLeaving: number;
  /** Times that a daemon reported an older document version than before. */
  configReverts: number;
}

/** Report of a load run. */
export interface Report {
  deployment: string;
  durationS: number;
  requests: number;
  outcomes: { answer: number; notRun: number; unknown: number };
  /**
   * Share of calls answered without error before their deadline, weighted by
   * class.
   */
  answeredInTimeShare: number;
  /** Latency percentiles of answered calls, in ms. */
  latencyMs: { p50: number; p99: number; p999: number };
  /** Lowest share of idle slots of a region in any second. */
  minRegionHeadroomShare: number;
  /** Lowest unused share of the byte limit of a link in any second. */
  minLinkHeadroomShare: number;
  /**
   * Time from the drain edit until the last request on the server ended, in ms.
   */
  maxDrainMs: number;
  /** Time until every daemon had applied the drain edit, in ms. */
  configInForceMs: number;
  /** Largest traffic shift in a window, as a multiple of the service's cap. */
  largestShiftOverCap: number;
  /** Number of results without an answer, by reason. */
  reasons: Record<string, number>;
  invariants: Invariants;
}
