/**
 * Cancels an exchange at its deadline or when the caller disconnects. Requests
 * that must run at most once go on after a disconnect and for some time after the
 * deadline, so that a late answer can still be stored under their key.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { ForwardRequest } from "./types.ts";

/** Time after its deadline until an at-most-once request is cancelled. */
const LATE_ANSWER_GRACE_MS = 10_000;

/** Cancellation of one exchange. */
export interface ExchangeCancellation {
  /** Aborts when the exchange is cancelled. */
  signal: AbortSignal;
  /** Time from the start of the exchange to the request's deadline, in ms. */
  remainingMs: number;
  /** @returns Whether it was cancelled because the caller disconnected. */
  isCallerDisconnected(): boolean;
  /** Removes the timer and the listener; call it once the exchange has ended. */
  release(): void;
}

/**
 * Creates the cancellation of an exchange that starts now.
 *
 * @param request The request of the exchange.
 * @param clock Clock for the timer and the remaining time.
 * @returns The cancellation.
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
