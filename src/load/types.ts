/**
 * What the load measures.
 *
 * @module
 */
import type { CallResult } from "../caller/types.ts";

/** One call as its caller saw it. */
export interface CallRecord {
  service: string;
  /** Class of the request. */
  className: string;
  weight: number;
  idempotent: boolean;
  clientIp: string;
  path: string;
  deadlineMs: number;
  /** When it was due by the open-loop schedule, in ms since the epoch. */
  dueMs: number;
  /** From when it was due until its result, in ms. */
  latencyMs: number;
  result: CallResult;
}

/** The promises of the brief, counted where they were broken. */
export interface Invariants {
  /** Keys that backend servers ran more than once. */
  duplicateRuns: number;
  /** Answers that were not whole or belonged to another request. */
  crossedAnswers: number;
  /** Requests called not run that a backend server ran. */
  falselyNotRun: number;
  /** Connections of callers that broke while a request was under way. */
  cutOffInFlight: number;
  /** Windows in which more traffic changed region than the cap allows. */
  overCapShifts: number;
  /** Regions in which a backend server held more requests than its slots. */
  overloadedRegions: number;
  /** Requests begun at a backend server 2 s or more after its drain. */
  workAfterLeaving: number;
  /** Times that a daemon's version in force fell. */
  configReverts: number;
}

/** The report of a run. */
export interface Report {
  deployment: string;
  durationS: number;
  requests: number;
  outcomes: { answer: number; notRun: number; unknown: number };
  /** Weighted by class. */
  answeredInTimeShare: number;
  latencyMs: { p50: number; p99: number; p999: number };
  minRegionHeadroomShare: number;
  minLinkHeadroomShare: number;
  maxDrainMs: number;
  configInForceMs: number;
  /** Largest shift in a window, as a multiple of the service's cap. */
  largestShiftOverCap: number;
  /** How often each reason was given for a result without an answer. */
  reasons: Record<string, number>;
  invariants: Invariants;
}
