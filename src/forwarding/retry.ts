/**
 * Decides whether a request may be sent again, and keeps retries a small share
 * of the traffic. Pure.
 *
 * Source of the budget: "Handling Overload" in the SRE book, and Finagle's
 * retry budget.
 *
 * @module
 */
import type { ExchangeResult } from "./types.ts";

/** Exchanges that one request may take. */
export const MAX_ATTEMPTS = 3;
/** Retries allowed for each request. */
const RETRY_SHARE = 0.1;
/** Retries that may be saved up. */
const MAX_SAVED_RETRIES = 50;

/** What to do after an exchange. */
export type RetryDecision = "retry" | "not_run" | "unknown";

/** An exchange and its circumstances. */
export interface RetryInput {
  result: Exclude<ExchangeResult, { kind: "answer" }>;
  idempotent: boolean;
  /** Exchanges so far, this one included. */
  attempts: number;
  /** Whether an earlier exchange may have run the request. */
  mayHaveRun: boolean;
  hasBudget: boolean;
  hasTime: boolean;
}

/**
 * @param input See there.
 * @returns What to do.
 */
export function decideRetry(input: RetryInput): RetryDecision {
  const provenNotRun = input.result.kind !== "failed";
  const isSafeToRetry = provenNotRun || input.idempotent;
  const canRetry = input.attempts < MAX_ATTEMPTS && input.hasBudget &&
    input.hasTime;
  if (isSafeToRetry && canRetry) return "retry";
  return provenNotRun && !input.mayHaveRun ? "not_run" : "unknown";
}

/** Retries as a share of requests. */
export interface RetryBudget {
  /** Counts a request. */
  recordRequest(): void;
  hasBudget(): boolean;
  /** Counts a retry. */
  recordRetry(): void;
}

/** @returns A full budget. */
export function createRetryBudget(): RetryBudget {
  let availableRetries = MAX_SAVED_RETRIES;
  return {
    recordRequest() {
      availableRetries = Math.min(
        MAX_SAVED_RETRIES,
        availableRetries + RETRY_SHARE,
      );
    },
    hasBudget: () => availableRetries >= 1,
    recordRetry() {
      availableRetries -= 1;
    },
  };
}
