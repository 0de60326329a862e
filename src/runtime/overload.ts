/**
 * Detects overload of this process from the utilization of its event loop.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.ts";

/** Measures the utilization of the event loop. */
export interface OverloadMonitor {
  /** @returns Whether the process is overloaded. */
  isOverloaded(): boolean;
  /** Stops the measurements. */
  stop(): void;
}

const MEASUREMENT_INTERVAL_MS = 250;
/**
 * Event loop utilization from which connections wait to be read, since the loop
 * is hardly ever idle. The delay of timers doesn't show this: they fire on time
 * while connections wait for two seconds.
 */
const OVERLOAD_UTILIZATION = 0.95;
/**
 * Consecutive measurements that signal overload; startup alone causes one or
 * two.
 */
const MIN_OVERLOAD_MEASUREMENTS = 3;
/** Event loop utilization below which the process recovers from overload. */
const RECOVERY_UTILIZATION = 0.8;
/** Consecutive measurements that end overload: 2 s, as long as clients wait. */
const MIN_RECOVERY_MEASUREMENTS = 8;

/**
 * Starts to measure the utilization of the event loop.
 *
 * @param clock The clock.
 * @param onChange Called when overload begins or ends, with the event loop
 *   utilization, 0 to 1.
 * @param readUtilization Returns the event loop utilization since the previous
 *   call, 0 to 1.
 * @returns The running monitor.
 */
export function startOverloadMonitor(
  clock: Clock,
  onChange: (isOverloaded: boolean, utilization: number) => void,
  readUtilization: () => number = createUtilizationReader(),
): OverloadMonitor {
  let isOverloaded = false;
  let consecutiveCount = 0;

  function measure(): void {
    const utilization = readUtilization();
    const isChanging = isOverloaded
      ? utilization < RECOVERY_UTILIZATION
      : utilization >= OVERLOAD_UTILIZATION;
    consecutiveCount = isChanging ? consecutiveCount + 1 : 0;
    if (
      consecutiveCount <
        (isOverloaded ? MIN_RECOVERY_MEASUREMENTS : MIN_OVERLOAD_MEASUREMENTS)
    ) return;
    isOverloaded = !isOverloaded;
    consecutiveCount = 0;
    onChange(isOverloaded, utilization);
  }

  const timer = clock.every(MEASUREMENT_INTERVAL_MS, measure);
  return { isOverloaded: () => isOverloaded, stop: () => timer.cancel() };
}

function createUtilizationReader(): () => number {
  let previous = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, previous);
    previous = now;
    return utilization;
  };
}
