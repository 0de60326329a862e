/**
 * Time as an interface, so that every decision can run under a fake clock.
 *
 * @module
 */

/** A pending timer. */
export interface Timer {
  /** Stops the timer; stopping twice does no harm. */
  cancel(): void;
}

/** Source of wall-clock time, monotonic time and timers. */
export interface Clock {
  /** @returns The wall-clock time. */
  now(): Date;
  /** @returns Milliseconds that never run backwards, from an arbitrary start. */
  monotonicMs(): number;
  /**
   * Runs a function once.
   *
   * @param delayMs Milliseconds from now.
   * @param run What to run.
   * @returns The pending timer.
   */
  after(delayMs: number, run: () => void): Timer;
  /**
   * Runs a function again and again.
   *
   * @param periodMs Milliseconds between two runs.
   * @param run What to run.
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
      const handle = setTimeout(run, delayMs);
      return { cancel: () => clearTimeout(handle) };
    },
    every(periodMs, run) {
      const handle = setInterval(run, periodMs);
      return { cancel: () => clearInterval(handle) };
    },
  };
}

/**
 * @param clock The clock.
 * @param durationMs Milliseconds to wait.
 * @returns Resolves when the time is over.
 */
export function pause(clock: Clock, durationMs: number): Promise<void> {
  return new Promise((resolve) => void clock.after(durationMs, resolve));
}

/** A clock that stands still until it is told to advance. */
export interface FakeClock extends Clock {
  /**
   * Advances time and runs the timers that fall due, in order.
   *
   * @param durationMs Milliseconds to advance by.
   */
  advance(durationMs: number): void;
}

/**
 * @param startMs Wall-clock time at the start, in ms since the epoch.
 * @returns A clock driven by hand.
 */
export function createFakeClock(startMs = 1_700_000_000_000): FakeClock {
  interface Pending {
    dueMs: number;
    periodMs: number | undefined;
    run: () => void;
  }
  const pending = new Set<Pending>();
  let elapsedMs = 0;

  function add(delayMs: number, periodMs: number | undefined, run: () => void) {
    const entry: Pending = { dueMs: elapsedMs + delayMs, periodMs, run };
    pending.add(entry);
    return { cancel: () => void pending.delete(entry) };
  }

  function nextDue(limitMs: number): Pending | undefined {
    let next: Pending | undefined;
    for (const entry of pending) {
      if (entry.dueMs > limitMs) continue;
      if (next === undefined || entry.dueMs < next.dueMs) next = entry;
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
      for (let due = nextDue(limitMs); due; due = nextDue(limitMs)) {
        elapsedMs = due.dueMs;
        if (due.periodMs === undefined) pending.delete(due);
        else due.dueMs += due.periodMs;
        due.run();
      }
      elapsedMs = limitMs;
    },
  };
}
