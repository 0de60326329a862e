/**
 * Judges a backend server by how requests to it end; nothing is probed, since
 * a health check takes a slot like any other request.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** How a request to a server ended, as far as the server is to blame. */
export type ServerOutcome =
  /** A whole answer that is no error. */
  | "answered"
  /** It said that it is full; says nothing about faults. */
  | "shed"
  /** A 5xx of its own, or an answer that was cut, spoiled or crossed. */
  | "failed"
  /** No connection, or silence on all its connections. */
  | "unreachable";

/** What this VM believes of one server's health. */
export interface ServerHealth {
  /** Notes the end of a request. */
  recordOutcome(outcome: ServerOutcome): void;
  /**
   * @param sinceMs A time on the monotonic clock.
   * @returns Whether anything came from the server since then.
   */
  hasRespondedSince(sinceMs: number): boolean;
  /** @returns Whether it is kept out of the choice for now. */
  isEjected(): boolean;
  /** @returns Whether it was kept out and has not answered since. */
  isDown(): boolean;
  /** @returns Share of recent requests that failed, 0 to 1. */
  getFailureShare(): number;
}

/** Failures in a row after which a server is taken out. */
const UNREACHABLE_LIMIT = 2;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/** Weight of one outcome; about the last eight requests count. */
const OUTCOME_WEIGHT = 0.12;

/**
 * @param clock The clock.
 * @returns The health of a server that nothing is known of.
 */
export function createServerHealth(clock: Clock): ServerHealth {
  let failureShare = 0;
  let unreachableInRow = 0;
  let ejections = 0;
  let ejectedUntilMs = 0;
  let heardAtMs = -Infinity;

  function eject(): void {
    const durationMs = FIRST_EJECTION_MS * 2 ** Math.min(ejections, 8);
    ejections++;
    ejectedUntilMs = clock.monotonicMs() +
      Math.min(durationMs, MAX_EJECTION_MS);
  }

  function note(outcome: ServerOutcome): void {
    if (outcome !== "unreachable") heardAtMs = clock.monotonicMs();
    if (outcome === "shed") return;
    const isFailure = outcome !== "answered";
    failureShare += OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - failureShare);
    if (outcome !== "unreachable") {
      unreachableInRow = 0;
      if (outcome === "answered") ejections = 0;
      return;
    }
    unreachableInRow++;
    if (unreachableInRow >= UNREACHABLE_LIMIT) eject();
  }

  return {
    recordOutcome: note,
    hasRespondedSince: (sinceMs) => heardAtMs >= sinceMs,
    isEjected: () => clock.monotonicMs() < ejectedUntilMs,
    isDown: () => ejections > 0,
    getFailureShare: () => failureShare,
  };
}
