/**
 * Makes the calls when they are due, whether or not earlier ones were answered.
 *
 * @module
 */
import type { Caller } from "../caller/mod.ts";
import type { CallResult } from "../caller/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Arrival } from "./arrivals.ts";
import type { CallRecord } from "./types.ts";

/** Time between two looks at what is due. */
const TICK_MS = 1;
/** A caller that is not answered this long after its deadline is given up. */
const LATE_MS = 3_000;

/** A running load. */
export interface LoadRun {
  records: CallRecord[];
  /** Calls without a result. */
  pending(): number;
  /** Resolves when the last call has its result. */
  done: Promise<void>;
}

/** What the run needs. */
export interface LoadRunOptions {
  arrivals: Iterator<Arrival>;
  durationMs: number;
  clock: Clock;
  /** @returns The caller that stands for a client. */
  callerOf(clientIp: string): Caller;
}

/**
 * Starts the load.
 *
 * @param options See there.
 * @returns The running load.
 */
export function startLoad(options: LoadRunOptions): LoadRun {
  const { arrivals, durationMs, clock, callerOf } = options;
  const records: CallRecord[] = [];
  const startMs = clock.monotonicMs();
  const startWallMs = clock.now().getTime();
  let next: Arrival = arrivals.next().value;
  let pending = 0;
  let markDone: () => void = () => {};
  const done = new Promise<void>((resolve) => markDone = resolve);

  async function make(arrival: Arrival): Promise<void> {
    pending += 1;
    const { call } = arrival;
    const result = await withPatience(
      callerOf(call.clientIp).call(call),
      call.deadlineMs + LATE_MS,
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

  function withPatience(
    called: Promise<CallResult>,
    patienceMs: number,
  ): Promise<CallResult> {
    return new Promise((resolve) => {
      const timer = clock.after(patienceMs, () => {
        const reason = "No result long after the deadline";
        resolve({
          kind: "unknown",
          reason,
          requestId: "",
          idempotencyKey: undefined,
        });
      });
      void called.then(resolve).finally(() => timer.cancel());
    });
  }

  function tick(): void {
    const elapsedMs = clock.monotonicMs() - startMs;
    while (next.atMs <= elapsedMs && next.atMs <= durationMs) {
      void make(next);
      next = arrivals.next().value;
    }
    if (next.atMs <= durationMs) clock.after(TICK_MS, tick);
    else if (pending === 0) markDone();
  }

  tick();
  return { records, pending: () => pending, done };
}
