/**
 * Requests that wait in this VM because all their servers are full. None of
 * them was sent, so all are lost without effect if the VM crashes.
 *
 * @module
 */
import PQueue from "p-queue";
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import type { ServerRegistry } from "../servers/registry.ts";
import type { RunTimes } from "../servers/run_times.ts";
import {
  type LatencyModel,
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
} from "../serving/latency_model.ts";
import type { RequestProgress } from "../serving/request_progress.ts";
import type { Log } from "../telemetry/log.ts";
import {
  decideWait,
  estimateWaitMs,
  getMaxWaitMs,
  type WaitDenial,
  type WaitInput,
} from "./wait_decision.ts";
import { type WaitEntry, WaitingLine } from "./waiting_line.ts";

/** How a wait ends for the caller of `wait`. */
export type WaitOutcome = "try_again" | "refused" | "client_left";

/** How a request that waited goes on. */
export type WaitEnd = "placed" | "refused" | "client_left";

/** Waiting requests, and counts of those that waited. */
export interface WaitStats {
  waiting: number;
  waitingBytes: number;
  /** Waiting requests by service, then by priority. */
  byService: Record<string, Record<string, number>>;
  ended: Record<WaitEnd, number>;
  /** Requests that were refused at once. */
  notAdmitted: number;
  /** Requests that more urgent ones displaced. */
  displaced: number;
}

/** Dependencies of a wait queue. */
export interface WaitQueueOptions {
  clock: Clock;
  log: Log;
  random: Random;
  registry: Pick<ServerRegistry, "listUsable">;
  runTimes: RunTimes;
  latencyModel: LatencyModel;
  /** Returns the priorities that compete for a service. */
  getCompetingPriorities: (service: string) => readonly number[];
}

/** Requests that wait for a slot. */
export interface WaitQueue {
  /**
   * Lets a request wait that has found all its servers full, if its response is
   * expected within its target.
   *
   * @param progress The request; it must not have run.
   * @returns Whether to select a server again; never rejects.
   */
  wait(progress: RequestProgress): Promise<WaitOutcome>;
  /**
   * Lets the requests that wait for a service try again, in order.
   *
   * @param service A service of which a slot may be free.
   */
  notify(service: string): void;
  /** Lets all waiting requests try again. */
  notifyAll(): void;
  /**
   * Records how a request that waited goes on.
   *
   * @param progress The request; ignored if it doesn't wait.
   * @param end How it goes on.
   */
  recordEnd(progress: RequestProgress, end: WaitEnd): void;
  /**
   * @param progress A request that is refused.
   * @returns When its client should retry; undefined where that is unknown.
   */
  getRetryAfterMs(progress: RequestProgress): number | undefined;
  /** @returns Waiting requests and counts. */
  getStats(): WaitStats;
  /** Refuses all waiting requests, and from now on all that would wait. */
  stop(): void;
}

/**
 * Bounds of all waiting requests of the VM. At eight requests per second, one
 * arrives in the eighth of the longest target of the shortage deployment, and
 * eight while an account sends 7.5 times its load. The bytes are eleven of its
 * largest uploads, 2% of the memory of its smallest VM.
 */
const MAX_WAITING = 32;
const MAX_WAITING_BYTES = 4 * 1_024 * 1_024;
/**
 * Number of times that a request tries again by the timer. Slots that become
 * free by requests of other VMs cause no event here.
 */
const TIMED_TRIES = 4;
/**
 * Minimum time from one try of all waiting requests to one by the timer. With 32
 * of them and 0.1 ms of CPU time a try, that is a sixth of a core; an urgent read
 * alone would cause a try every 7.5 ms.
 */
const MIN_TRY_INTERVAL_MS = 20;

interface QueuedRequest extends WaitEntry {
  bytes: number;
  /** Takes it from the queue before its turn. */
  leave(outcome: WaitOutcome): void;
}

interface ServiceQueue {
  queue: PQueue<
    WaitingLine<QueuedRequest>,
    { entry: QueuedRequest; signal?: AbortSignal }
  >;
  line: WaitingLine<QueuedRequest>;
  /** When all waiting requests were tried last. */
  triedAtMs: number;
}

/**
 * @param options Dependencies.
 * @returns An empty queue.
 */
export function createWaitQueue(options: WaitQueueOptions): WaitQueue {
  const { clock, log, latencyModel, runTimes } = options;
  const queues = new Map<string, ServiceQueue>();
  const ended: Record<WaitEnd, number> = {
    placed: 0,
    refused: 0,
    client_left: 0,
  };
  let notAdmitted = 0;
  let displaced = 0;
  let isStopping = false;

  function listWaiting(): QueuedRequest[] {
    return [...queues.values()].flatMap(({ line }) => line.list());
  }

  function getQueue(service: string): ServiceQueue {
    const existing = queues.get(service);
    if (existing !== undefined) return existing;
    const created = createServiceQueue();
    queues.set(service, created);
    return created;
  }

  function isInForce(service: string): boolean {
    return options.getCompetingPriorities(service).length > 1;
  }

  function assess(progress: RequestProgress): WaitInput {
    const { request, service, prospect, wait } = progress;
    const { route, arrivedAtMs } = request;
    const nowMs = clock.monotonicMs();
    const kind = prospect?.isCached ? "hit" : "miss";
    const endsAtMs = wait?.endsAtMs ??
      nowMs + getMaxWaitMs(route.targetLatencyMs);
    const ahead = queues.get(service)?.line.countAhead(makeEntry(progress));
    return {
      prospect,
      meanRunMs: runTimes.getMeanMs(service),
      expectedRunMs: latencyModel.getExpectedMs(
        route,
        progress.usesObjectCache ? kind : "any",
      ) ?? latencyModel.getExpectedMs(route, "any"),
      serviceSlots: options.registry.listUsable(service).reduce(
        (sum, { load }) => sum + load.getSlots(),
        0,
      ),
      ahead: ahead ?? 0,
      targetLeftMs: Math.min(
        arrivedAtMs + route.targetLatencyMs,
        progress.deadlineAtMs,
      ) - nowMs,
      waitLeftMs: endsAtMs - nowMs,
      isWaiting: wait?.isWaiting ?? false,
    };
  }

  function refuse(
    progress: RequestProgress,
    denial: WaitDenial,
    input: WaitInput,
  ): WaitOutcome {
    // The end of a wait is logged by `recordEnd`.
    if (input.isWaiting) return "refused";
    notAdmitted++;
    log.info({
      requestId: progress.request.metadata.requestId,
      service: progress.service,
      priority: progress.priority,
      denial,
      ahead: input.ahead,
      expectedWaitMs: roundMs(estimateWaitMs(input)),
      targetLeftMs: roundMs(input.targetLeftMs),
    }, "no wait");
    return "refused";
  }

  /** Removes the least urgent requests until the rest is within the bounds. */
  function enforceBounds(): void {
    let waiting = listWaiting();
    while (
      waiting.length > MAX_WAITING || sumBytes(waiting) > MAX_WAITING_BYTES
    ) {
      // Of several services, the one whose last request is the least urgent.
      const last = [...queues.values()]
        .flatMap(({ line }) => line.list().slice(-1))
        .reduce((a, b) => b.priority > a.priority ? b : a);
      last.leave("refused");
      displaced++;
      waiting = listWaiting();
    }
  }

  async function wait(progress: RequestProgress): Promise<WaitOutcome> {
    const { request, service } = progress;
    if (request.signal.aborted) return "client_left";
    if (!isInForce(service)) return "refused";
    const input = assess(progress);
    if (isStopping) return refuse(progress, "stopping", input);
    const decision = decideWait(input);
    if (decision.kind === "refuse") {
      return refuse(progress, decision.denial, input);
    }
    const nowMs = clock.monotonicMs();
    const entry = makeEntry(progress);
    const state = progress.wait ??= {
      startedAtMs: nowMs,
      endsAtMs: nowMs + input.waitLeftMs,
      tries: 0,
      isWaiting: false,
    };
    state.isWaiting = true;
    state.tries++;
    return await enqueue(progress, entry, input);
  }

  async function enqueue(
    progress: RequestProgress,
    waitEntry: WaitEntry,
    { waitLeftMs, targetLeftMs }: WaitInput,
  ): Promise<WaitOutcome> {
    const { request, service } = progress;
    const { targetLatencyMs } = request.route;
    const controller = new AbortController();
    let outcome: WaitOutcome = "try_again";
    const entry: QueuedRequest = {
      ...waitEntry,
      bytes: request.body.length,
      leave(reason) {
        outcome = reason;
        controller.abort();
      },
    };
    const onClientLeft = () => entry.leave("client_left");
    request.signal.addEventListener("abort", onClientLeft);
    const retryMs = getMaxWaitMs(targetLatencyMs) / TIMED_TRIES;
    const queued = getQueue(service);
    const endsAtMs = clock.monotonicMs() + Math.min(waitLeftMs, targetLeftMs);
    let timer = clock.after(
      Math.min(retryMs, waitLeftMs, targetLeftMs),
      tryWhenDue,
    );
    function tryWhenDue(): void {
      const nowMs = clock.monotonicMs();
      const dueInMs = queued.triedAtMs + MIN_TRY_INTERVAL_MS - nowMs;
      if (dueInMs <= 0) return notify(service);
      if (nowMs >= endsAtMs) return entry.leave("try_again");
      timer = clock.after(Math.min(dueInMs, endsAtMs - nowMs), tryWhenDue);
    }
    const { signal } = controller;
    const added = queued.queue.add(() => {}, { entry, signal });
    enforceBounds();
    try {
      await added;
    } catch {
      // Aborted by `leave`, which has set the outcome.
    }
    timer.cancel();
    request.signal.removeEventListener("abort", onClientLeft);
    return outcome;
  }

  function notify(service: string): void {
    const queued = queues.get(service);
    if (queued === undefined || queued.queue.size === 0) return;
    const { queue } = queued;
    queued.triedAtMs = clock.monotonicMs();
    // Starts all waiting requests in order; those that find no slot return.
    queue.start();
    queue.pause();
  }

  function recordEnd(progress: RequestProgress, end: WaitEnd): void {
    const state = progress.wait;
    if (state === undefined || !state.isWaiting) return;
    state.isWaiting = false;
    ended[end]++;
    log.info({
      requestId: progress.request.metadata.requestId,
      service: progress.service,
      priority: progress.priority,
      end,
      waitedMs: roundMs(clock.monotonicMs() - state.startedAtMs),
      tries: state.tries,
    }, "wait ended");
  }

  function getRetryAfterMs(progress: RequestProgress): number | undefined {
    if (!isInForce(progress.service)) return undefined;
    const waitMs = estimateWaitMs(assess(progress));
    if (waitMs === undefined) return undefined;
    // Spreads the retries of clients that are refused together.
    const spreadMs = waitMs * (0.75 + 0.5 * options.random());
    return Math.round(
      Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, spreadMs)),
    );
  }

  function getStats(): WaitStats {
    const waiting = listWaiting();
    const byService: WaitStats["byService"] = {};
    for (const [service, { line }] of queues) {
      const counts: Record<string, number> = {};
      for (const { priority } of line.list()) {
        counts[priority] = (counts[priority] ?? 0) + 1;
      }
      byService[service] = counts;
    }
    return {
      waiting: waiting.length,
      waitingBytes: sumBytes(waiting),
      byService,
      ended: { ...ended },
      notAdmitted,
      displaced,
    };
  }

  return {
    wait,
    notify,
    notifyAll: () => [...queues.keys()].forEach(notify),
    recordEnd,
    getRetryAfterMs,
    getStats,
    stop() {
      isStopping = true;
      for (const entry of listWaiting()) entry.leave("refused");
    },
  };
}

/** Paused, so that requests only start when a slot may be free. */
function createServiceQueue(): ServiceQueue {
  const lines: WaitingLine<QueuedRequest>[] = [];
  class ServiceLine extends WaitingLine<QueuedRequest> {
    constructor() {
      super();
      lines.push(this);
    }
  }
  const queue = new PQueue<
    WaitingLine<QueuedRequest>,
    { entry: QueuedRequest; signal?: AbortSignal }
  >({ queueClass: ServiceLine, autoStart: false });
  return { queue, line: lines[0], triedAtMs: -Infinity };
}

function makeEntry({ request, priority, wait }: RequestProgress): WaitEntry {
  return {
    priority,
    account: request.account?.name ?? "",
    targetAtMs: request.arrivedAtMs + request.route.targetLatencyMs,
    isReturning: wait?.isWaiting ?? false,
  };
}

function sumBytes(entries: readonly QueuedRequest[]): number {
  return entries.reduce((sum, { bytes }) => sum + bytes, 0);
}

function roundMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
