/**
 * Timers for the deadlines of requests. Nearly all of them are cancelled, since
 * requests end long before their deadlines.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";

/** Timers that share one timer of the clock. */
export interface DeadlineTimers {
  /**
   * Runs a function once.
   *
   * @param delayMs Delay in ms.
   * @param run The function to run.
   * @returns The pending timer.
   */
  after(delayMs: number, run: () => void): Timer;
}

interface PendingDeadline {
  dueMs: number;
  run: () => void;
}

/** Timers of Node.js leave out fractions of a millisecond. */
const EARLY_MS = 1;

/**
 * Delays of requests differ by fractions of a millisecond. Node.js keeps a list
 * for each delay and a queue of the lists, so that a timer of its own for each
 * request takes three times as long as adding it here.
 *
 * @param clock The clock.
 * @returns Timers, none pending.
 */
export function createDeadlineTimers(clock: Clock): DeadlineTimers {
  const pending = new Set<PendingDeadline>();
  let timer: Timer | undefined;
  let timerDueMs = Infinity;

  function startTimer(dueMs: number, nowMs: number): void {
    timer?.cancel();
    timerDueMs = dueMs;
    timer = clock.after(Math.max(0, dueMs - nowMs), runDue);
  }

  function runDue(): void {
    const nowMs = clock.monotonicMs();
    const due: PendingDeadline[] = [];
    let nextMs = Infinity;
    for (const deadline of pending) {
      if (deadline.dueMs - nowMs < EARLY_MS) due.push(deadline);
      else nextMs = Math.min(nextMs, deadline.dueMs);
    }
    timer = undefined;
    timerDueMs = Infinity;
    if (nextMs < Infinity) startTimer(nextMs, nowMs);
    due.sort((a, b) => a.dueMs - b.dueMs);
    for (const deadline of due) {
      // One that ran before it may have cancelled it.
      if (pending.delete(deadline)) deadline.run();
    }
  }

  return {
    after(delayMs, run) {
      const nowMs = clock.monotonicMs();
      const deadline = { dueMs: nowMs + delayMs, run };
      pending.add(deadline);
      if (deadline.dueMs < timerDueMs) startTimer(deadline.dueMs, nowMs);
      return { cancel: () => void pending.delete(deadline) };
    },
  };
}
