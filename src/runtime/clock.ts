/**
 * Time behind an interface, so that tests can run all time-dependent code with
 * a fake clock.
 *
 * @module
 */

/** A pending timer. */
export interface Timer {
  /** Stops the timer; repeated calls have no effect. */
  cancel(): void;
}

/** Longest delay of Node's timers; they fire at once for a longer one. */
export const MAX_TIMER_MS = 2_147_483_647;

/** Source of wall-clock time, monotonic time and timers. */
export interface Clock {
  /** @returns The wall-clock time. */
  now(): Date;
  /** @returns Time in ms since an arbitrary start; never decreases. */
  monotonicMs(): number;
  /**
   * Runs a function once.
   *
   * @param delayMs Delay in ms; longer ones than {@link MAX_TIMER_MS} end then.
   * @param run The function to run.
   * @returns The pending timer.
   */
  after(delayMs: number, run: () => void): Timer;
  /**
   * Runs a function periodically.
   *
   * @param periodMs Interval between two runs, in ms.
   * @param run The function to run.
   * @returns The timer.
   */
  every(periodMs: number, run: () => void): Timer;
}

/**
 * @returns The clock of the running process.
 */
export function createSystemClock(): Clock {
  return {
    now: () => new Date(),
    monotonicMs: () => performance.now(),
    after(delayMs, run) {
      const handle = setTimeout(run, Math.min(delayMs, MAX_TIMER_MS));
      return { cancel: () => clearTimeout(handle) };
    },
    every(periodMs, run) {
      const handle = setInterval(run, Math.min(periodMs, MAX_TIMER_MS));
      return { cancel: () => clearInterval(handle) };
    },
  };
}

/**
 * Waits for some time.
 *
 * @param clock The clock.
 * @param durationMs Time to wait, in ms.
 * @returns A promise that resolves after that time.
 */
export function pause(clock: Clock, durationMs: number): Promise<void> {
  return new Promise((resolve) => void clock.after(durationMs, resolve));
}

/** A clock whose time changes only by `advance`. */
export interface FakeClock extends Clock {
  /**
   * Advances the time and runs the timers that become due, in order of time.
   *
   * @param durationMs Time to advance by, in ms.
   */
  advance(durationMs: number): void;
}

/**
 * @param startMs Initial wall-clock time, in ms since the Unix epoch.
 * @returns A clock that is advanced explicitly.
 */
export function createFakeClock(startMs = 1_700_000_000_000): FakeClock {
  interface PendingTimer {
    dueMs: number;
    periodMs: number | undefined;
    run: () => void;
  }
  const pending = new Set<PendingTimer>();
  let elapsedMs = 0;

  function add(delayMs: number, periodMs: number | undefined, run: () => void) {
    const timer: PendingTimer = { dueMs: elapsedMs + delayMs, periodMs, run };
    pending.add(timer);
    return { cancel: () => void pending.delete(timer) };
  }

  function findNextDue(limitMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined;
    for (const timer of pending) {
      if (timer.dueMs > limitMs) continue;
      if (next === undefined || timer.dueMs < next.dueMs) next = timer;
    }
    return next;
  }

  return {
    now: () => new Date(startMs + elapsedMs),
    monotonicMs: () => elapsedMs,
    after: (delayMs, run) => add(delayMs, undefined, run),
    every: (periodMs, run) => add(periodMs, periodMs, run),
    advance(durationMs) {
      const limitMs = elapsedMs + durationMs;
      for (let due = findNextDue(limitMs); due; due = findNextDue(limitMs)) {
        elapsedMs = due.dueMs;
        if (due.periodMs === undefined) pending.delete(due);
        else due.dueMs += due.periodMs;
        due.run();
      }
      elapsedMs = limitMs;
    },
  };
}
