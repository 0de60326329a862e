/**
 * Issues calls on an open-loop schedule: a call starts when it is due, whether
 * or not earlier ones have a result.
 *
 * @module
 */
import type { Caller } from "../caller/mod.ts";
import type { CallResult } from "../caller/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Arrival } from "./arrivals.ts";
import type { CallRecord } from "./types.ts";

/** Interval of the check for due calls. */
const TICK_MS = 1;
/** Time after its deadline at which a call without a result is given up. */
const RESULT_GRACE_MS = 3_000;

/** A running load. */
export interface LoadRun {
  /** Calls with a result, in order of completion. */
  records: CallRecord[];
  /** @returns Calls without a result. */
  getPendingCount(): number;
  /** Resolves once the last call has its result. */
  done: Promise<void>;
}

/** Dependencies of a load run. */
export interface LoadRunOptions {
  /** Endless, in order of `atMs`. */
  arrivals: Iterator<Arrival>;
  /** Calls that are due later aren't issued. */
  durationMs: number;
  clock: Clock;
  /** @returns The caller that sends a client's calls. */
  getCaller(clientIp: string): Caller;
}

/**
 * Starts issuing calls.
 *
 * @param options Arrivals, duration, clock and callers.
 * @returns The running load.
 */
export function startLoad(options: LoadRunOptions): LoadRun {
  const { arrivals, durationMs, clock, getCaller } = options;
  const records: CallRecord[] = [];
  const startMs = clock.monotonicMs();
  const startWallMs = clock.now().getTime();
  let next: Arrival = arrivals.next().value;
  let pending = 0;
  let markDone: () => void = () => {};
  const done = new Promise<void>((resolve) => markDone = resolve);

  /** Issues one call and records its result. */
  async function issueCall(arrival: Arrival): Promise<void> {
    pending += 1;
    const { call } = arrival;
    const result = await withTimeout(
      getCaller(call.clientIp).call(call),
      call.deadlineMs + RESULT_GRACE_MS,
    );
    pending -= 1;
    records.push({
      service: call.service,
      className: arrival.className,
      weight: arrival.weight,
      idempotent: call.idempotent,
      clientIp: call.clientIp,
      path: call.path,
      deadlineMs: call.deadlineMs,
      dueMs: startWallMs + arrival.atMs,
      latencyMs: clock.monotonicMs() - startMs - arrival.atMs,
      result,
    });
    if (pending === 0 && next.atMs > durationMs) markDone();
  }

  /** @returns The result of a call; of kind `unknown` after the time-out. */
  function withTimeout(
    callResult: Promise<CallResult>,
    timeoutMs: number,
  ): Promise<CallResult> {
    return new Promise((resolve) => {
      const timer = clock.after(timeoutMs, () => {
        const reason = "No result long after the deadline";
        resolve({
          kind: "unknown",
          reason,
          requestId: "",
          idempotencyKey: undefined,
        });
      });
      void callResult.then(resolve).finally(() => timer.cancel());
    });
  }

  /** Issues the calls that are due. */
  function tick(): void {
    const elapsedMs = clock.monotonicMs() - startMs;
    while (next.atMs <= elapsedMs && next.atMs <= durationMs) {
      void issueCall(next);
      next = arrivals.next().value;
    }
    if (next.atMs <= durationMs) clock.after(TICK_MS, tick);
    else if (pending === 0) markDone();
  }

  tick();
  return { records, getPendingCount: () => pending, done };
}
