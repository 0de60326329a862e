/**
 * Whether this process gets too little processor time for what it has to do.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.ts";

/** Watches how much of its time the loop is busy. */
export interface OverloadWatch {
  /** @returns Whether the process falls behind. */
  isOverloaded(): boolean;
  stop(): void;
}

/** How often the loop's use is measured. */
const PERIOD_MS = 250;
/**
 * Part of the time above which connections wait to be read: the loop hardly
 * ever finds nothing to do. Timers tell nothing of it, they fire on time while
 * connections wait for two seconds.
 */
const BUSY_PART = 0.95;
/** Measurements in a row that make an overload; a start takes one or two. */
const BUSY_LIMIT = 3;
/** Part of the time below which an overload is over. */
const CALM_PART = 0.8;
/** Calm measurements in a row that end it: two seconds, as long as clients wait. */
const CALM_LIMIT = 8;

/**
 * @param clock The clock.
 * @param onChange Called with each change and the use of the loop, 0 to 1.
 * @param readUse Use of the loop since the last reading.
 * @returns The running watch.
 */
export function watchOverload(
  clock: Clock,
  onChange: (isOverloaded: boolean, use: number) => void,
  readUse: () => number = createUseReader(),
): OverloadWatch {
  let isOverloaded = false;
  let inRow = 0;

  function measure(): void {
    const use = readUse();
    const isChanging = isOverloaded ? use < CALM_PART : use >= BUSY_PART;
    inRow = isChanging ? inRow + 1 : 0;
    if (inRow < (isOverloaded ? CALM_LIMIT : BUSY_LIMIT)) return;
    isOverloaded = !isOverloaded;
    inRow = 0;
    onChange(isOverloaded, use);
  }

  const timer = clock.every(PERIOD_MS, measure);
  return { isOverloaded: () => isOverloaded, stop: () => timer.cancel() };
}

function createUseReader(): () => number {
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    return utilization;
  };
}
