/**
 * Decides whether a request is retried, and limits retries to a small share of
 * the traffic. Pure.
 *
 * The budget follows "Handling Overload" in the SRE book and Finagle's retry
 * budget.
 *
 * @module
 */
import type { ExchangeResult } from "./types.ts";

/** Maximum number of exchanges for one request, retries included. */
export const MAX_ATTEMPTS = 3;
/** Retries allowed per request, on average. */
const RETRY_SHARE = 0.1;
/** Maximum number of retries that can accumulate. */
const MAX_SAVED_RETRIES = 50;

/** What follows an exchange without an answer: a retry, or the outcome. */
export type RetryDecision = "retry" | "not_run" | "unknown";

/** Input of a retry decision. */
export interface RetryInput {
  result: Exclude<ExchangeResult, { kind: "answer" }>;
  idempotent: boolean;
  /** Number of exchanges so far, this one included. */
  attempts: number;
  /** Whether an earlier exchange may have run the request. */
  mayHaveRun: boolean;
  /** Whether the retry budget allows another exchange. */
  hasBudget: boolean;
  /** Whether enough time is left for another exchange. */
  hasTime: boolean;
}

/**
 * @param input The exchange's result and its context.
 * @returns Whether to retry, or else the outcome of the request.
 */
export function decideRetry(input: RetryInput): RetryDecision {
  const provenNotRun = input.result.kind !== "failed";
  const isSafeToRetry = provenNotRun || input.idempotent;
  const canRetry = input.attempts < MAX_ATTEMPTS && input.hasBudget &&
    input.hasTime;
  if (isSafeToRetry && canRetry) return "retry";
  return provenNotRun && !input.mayHaveRun ? "not_run" : "unknown";
}

/** Limits retries to a share of requests. */
export interface RetryBudget {
  /** Counts a request, which adds a fraction of a retry to the budget. */
  recordRequest(): void;
  /** @returns Whether a retry is allowed. */
  hasBudget(): boolean;
  /** Counts a retry, which uses up budget. */
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
