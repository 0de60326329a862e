/**
 * Whether this process gets too little processor time for what it has to do.
 *
 * @module
 */
import type { Clock, Timer } from "./clock.ts";

/** Watches how late the loop runs. */
export interface OverloadWatch {
  /** @returns Whether the process falls behind. */
  isOverloaded(): boolean;
  stop(): void;
}

/** How often the loop's delay is measured. */
const PERIOD_MS = 100;
/**
 * Delay at which the loop falls behind. A request takes about 2 ms of the
 * processor, so that fifty of them wait; a start and the compiling of code
 * delay the loop once for as long.
 */
const LATE_MS = 100;
/** Measurements in a row that make an overload. */
const LATE_LIMIT = 2;
/** Time without a delay of half of that after which an overload is over. */
const CALM_MS = 3_000;

/**
 * @param clock The clock.
 * @param onChange Called with each change.
 * @returns The running watch.
 */
export function watchOverload(
  clock: Clock,
  onChange: (isOverloaded: boolean, delayMs: number) => void,
): OverloadWatch {
  let isOverloaded = false;
  let lateInRow = 0;
  let expectedAtMs = clock.monotonicMs() + PERIOD_MS;
  let lateAtMs = -Infinity;

  function change(next: boolean, delayMs: number): void {
    if (isOverloaded === next) return;
    isOverloaded = next;
    onChange(next, delayMs);
  }

  function measure(): void {
    const nowMs = clock.monotonicMs();
    const delayMs = nowMs - expectedAtMs;
    expectedAtMs = nowMs + PERIOD_MS;
    lateInRow = delayMs >= LATE_MS ? lateInRow + 1 : 0;
    if (delayMs >= LATE_MS / 2) lateAtMs = nowMs;
    if (lateInRow >= LATE_LIMIT) change(true, delayMs);
    if (nowMs - lateAtMs >= CALM_MS) change(false, delayMs);
    timer = clock.after(PERIOD_MS, measure);
  }

  let timer: Timer = clock.after(PERIOD_MS, measure);
  return { isOverloaded: () => isOverloaded, stop: () => timer.cancel() };
}
