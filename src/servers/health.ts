/**
 * Passive health checks: a backend server's health is derived from the outcome
 * of requests. It is not probed, since a probe would take up a slot like any
 * other request.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Outcome of a request, as far as the server is responsible for it. */
export type ServerOutcome =
  /** A complete answer without a server error. */
  | "answered"
  /** Rejected for lack of capacity; not a failure. */
  | "shed"
  /** A 5xx of its own, or an answer truncated, garbled or of another request. */
  | "failed"
  /** No connection, or no response on any connection. */
  | "unreachable";

/** This VM's view of one server's health. */
export interface ServerHealth {
  /** Records the outcome of a request. */
  recordOutcome(outcome: ServerOutcome): void;
  /**
   * @param sinceMs A time on the monotonic clock.
   * @returns Whether the server has responded in any way since then.
   */
  hasRespondedSince(sinceMs: number): boolean;
  /** @returns Whether the server gets no requests for now. */
  isEjected(): boolean;
  /** @returns Whether it was ejected and has not answered since. */
  isDown(): boolean;
  /** Ends an ejection, and forgets the outcomes that led to it. */
  forgive(): void;
  /** @returns Share of recent requests that failed, 0 to 1. */
  getFailureShare(): number;
}

/** Consecutive unreachable outcomes after which a server is ejected. */
const UNREACHABLE_LIMIT = 2;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/** Weight of one outcome in the moving average of about eight requests. */
const OUTCOME_WEIGHT = 0.12;

/**
 * @param clock The clock.
 * @returns The health of a server without requests so far.
 */
export function createServerHealth(clock: Clock): ServerHealth {
  let failureShare = 0;
  let consecutiveUnreachable = 0;
  let ejections = 0;
  let ejectedUntilMs = 0;
  let respondedAtMs = -Infinity;

  function eject(): void {
    const durationMs = FIRST_EJECTION_MS * 2 ** Math.min(ejections, 8);
    ejections++;
    ejectedUntilMs = clock.monotonicMs() +
      Math.min(durationMs, MAX_EJECTION_MS);
  }

  function recordOutcome(outcome: ServerOutcome): void {
    if (outcome !== "unreachable") respondedAtMs = clock.monotonicMs();
    if (outcome === "shed") return;
    const isFailure = outcome !== "answered";
    failureShare += OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - failureShare);
    if (outcome !== "unreachable") {
      consecutiveUnreachable = 0;
      if (outcome === "answered") ejections = 0;
      return;
    }
    consecutiveUnreachable++;
    if (consecutiveUnreachable >= UNREACHABLE_LIMIT) eject();
  }

  return {
    recordOutcome,
    hasRespondedSince: (sinceMs) => respondedAtMs >= sinceMs,
    isEjected: () => clock.monotonicMs() < ejectedUntilMs,
    isDown: () => ejections > 0,
    forgive() {
      failureShare = 0;
      consecutiveUnreachable = 0;
      ejections = 0;
      ejectedUntilMs = 0;
    },
    getFailureShare: () => failureShare,
  };
}
