/**
 * When an exchange is cut off: at its deadline, or when the caller hangs up. One
 * that must run at most once is not cut off by either: its late answer is kept.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { ForwardRequest } from "./types.ts";

/** How much longer than its deadline an at-most-once request is waited for. */
const LATE_ANSWER_GRACE_MS = 10_000;

/** The end of an exchange. */
export interface ExchangeCancellation {
  /** Aborts when the exchange must end. */
  signal: AbortSignal;
  /** Time that the exchange has until the request's deadline, in ms. */
  remainingMs: number;
  /** Whether the caller's hanging up ended it. */
  isCallerDisconnected(): boolean;
  /** To be called when the exchange has ended. */
  release(): void;
}

/**
 * @param request The request of the exchange.
 * @param clock The clock.
 * @returns The end of the exchange that starts now.
 */
export function createExchangeCancellation(
  request: ForwardRequest,
  clock: Clock,
): ExchangeCancellation {
  const { idempotent } = request.requestClass;
  const remainingMs = request.deadlineMs - clock.monotonicMs();
  const timeoutMs = idempotent
    ? remainingMs
    : remainingMs + LATE_ANSWER_GRACE_MS;
  const controller = new AbortController();
  const abort = () => controller.abort();
  const timer = clock.after(Math.max(1, timeoutMs), abort);
  if (idempotent) request.signal.addEventListener("abort", abort);
  return {
    signal: controller.signal,
    remainingMs,
    isCallerDisconnected: () => idempotent && request.signal.aborted,
    release() {
      timer.cancel();
      request.signal.removeEventListener("abort", abort);
    },
  };
}
