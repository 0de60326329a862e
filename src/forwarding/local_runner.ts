/**
 * Runs requests on the backend servers of the own failure domain. Each service
 * has a p-queue whose concurrency is this entry's share of the servers' slots.
 *
 * @module
 */
import type PQueue from "p-queue";
import { createFairQueue, type FairQueue } from "../admission/fair_queue.ts";
import { decideAdmission } from "../admission/admission_control.ts";
import type { ServiceDocument } from "../config/schema.ts";
import { createMovingMean, type MovingMean } from "../measurement/rate.ts";
import type { Clock } from "../runtime/clock.ts";
import { createLogger } from "../runtime/logger.ts";
import type { Random } from "../runtime/random.ts";
import type { BackendClient } from "./backend_client.ts";
import type { BalancingPolicy, Candidate } from "./balancing_policy.ts";
import { createExchangeCancellation } from "./exchange_cancellation.ts";
import type { PoisonRequestTracker } from "./poison_requests.ts";
import { createOutcomeFactory } from "./outcomes.ts";
import { createRetryBudget, decideRetry, type RetryBudget } from "./retry.ts";
import {
  getConcurrencyLimit,
  getMedianLatencyMs,
  getTotalConcurrencyLimit,
  listEligibleServers,
} from "./server_limits.ts";
import {
  beginRequest,
  createServerSet,
  endRequest,
  markBackoff,
  markLeaving,
  type ServerSet,
  type ServerState,
} from "./server_set.ts";
import type { ExchangeResult, ForwardRequest, Outcome } from "./types.ts";

const log = createLogger("forwarding");

/** Weight of the newest service time in the moving mean. */
const SERVICE_TIME_SMOOTHING_FACTOR = 0.05;

/** Dependencies of a local runner. */
export interface LocalRunnerOptions {
  clock: Clock;
  random: Random;
  backends: BackendClient;
  policy: BalancingPolicy;
  poisonRequests: PoisonRequestTracker;
}

/** Queue and backend servers of one service. */
export interface ServiceQueue {
  set: ServerSet;
  queue: PQueue<FairQueue>;
  /** Waiting requests of `queue`. */
  waiting: FairQueue;
  /** Mean time of an answered request at a backend server, in ms. */
  serviceMs: MovingMean;
  /** @returns Number of requests at backend servers. */
  inFlight(): number;
  /** @returns Maximum number of requests at backend servers. */
  limit(): number;
}

/** Runs requests in the own failure domain. */
export interface LocalRunner {
  /** @returns The queue of a service, created on first use. */
  getServiceQueue(document: ServiceDocument): ServiceQueue;
  /** @returns The queues of all services used so far. */
  listServiceQueues(): ServiceQueue[];
  /** @returns Whether a request of the service would start without waiting. */
  hasFreeSlot(document: ServiceDocument): boolean;
  /**
   * Runs a request if it can be answered in time, with retries.
   *
   * @param document Document of the service.
   * @param request The request.
   * @returns How the request ended.
   */
  run(document: ServiceDocument, request: ForwardRequest): Promise<Outcome>;
  /** Sets the queues' concurrency to the current limits of their servers. */
  updateConcurrency(): void;
}

/**
 * @param options Dependencies.
 * @returns A runner without any service queue.
 */
export function createLocalRunner(options: LocalRunnerOptions): LocalRunner {
  const { clock, random, backends, policy, poisonRequests } = options;
  const { notRun, unknown } = createOutcomeFactory(random);
  const serviceQueues = new Map<string, ServiceQueue>();
  const retryBudget: RetryBudget = createRetryBudget();

  function getServiceQueue(document: ServiceDocument): ServiceQueue {
    const existing = serviceQueues.get(document.service);
    if (existing) return existing;
    const { queue, waiting } = createFairQueue();
    const set = createServerSet(document);
    const created: ServiceQueue = {
      set,
      queue,
      waiting,
      serviceMs: createMovingMean(SERVICE_TIME_SMOOTHING_FACTOR),
      inFlight: () => sumInFlight(set),
      limit: () => getTotalConcurrencyLimit(set, clock.monotonicMs()),
    };
    serviceQueues.set(document.service, created);
    return created;
  }

  function updateConcurrency(): void {
    for (const { queue, limit } of serviceQueues.values()) {
      queue.concurrency = Math.max(1, limit());
    }
  }

  function getServiceMs({ serviceMs, set }: ServiceQueue): number {
    return serviceMs.value() || set.document.expectedServiceMs;
  }

  function run(
    document: ServiceDocument,
    request: ForwardRequest,
  ): Promise<Outcome> {
    const serviceQueue = getServiceQueue(document);
    retryBudget.recordRequest();
    const fingerprint = poisonRequests.name(request);
    const retryAfterMs = poisonRequests.getRetryAfterMs(fingerprint);
    if (retryAfterMs !== undefined) {
      const reason = "Backend servers ended while they ran this request";
      return Promise.resolve(notRun(reason, retryAfterMs));
    }
    const { weight } = request.requestClass;
    const serviceMs = getServiceMs(serviceQueue);
    const admission = decideAdmission({
      remainingMs: request.deadlineMs - clock.monotonicMs(),
      serviceMs,
      limit: serviceQueue.limit(),
      inFlight: serviceQueue.queue.pending,
      waitingInClass: serviceQueue.waiting.countWaiting(weight),
      classShare: serviceQueue.waiting.getClassShare(weight),
    });
    if (admission.decision === "refuse") {
      return Promise.resolve(notRun(admission.reason, admission.waitMs));
    }
    return waitForSlot(serviceQueue, request, { name: fingerprint, serviceMs });
  }

  /** Refuses the request as soon as too little time is left to run it. */
  async function waitForSlot(
    serviceQueue: ServiceQueue,
    request: ForwardRequest,
    { name: fingerprint, serviceMs }: { name: string; serviceMs: number },
  ): Promise<Outcome> {
    const waitAbort = new AbortController();
    const maxWaitMs = request.deadlineMs - clock.monotonicMs() - serviceMs;
    const timer = clock.after(
      Math.max(0, maxWaitMs),
      () => waitAbort.abort(),
    );
    const onDisconnect = () => waitAbort.abort();
    request.signal.addEventListener("abort", onDisconnect, { once: true });
    const releaseWait = () => {
      timer.cancel();
      request.signal.removeEventListener("abort", onDisconnect);
    };
    try {
      return await serviceQueue.queue.add(() => {
        releaseWait();
        return runOnServers(serviceQueue, request, fingerprint);
      }, {
        priority: request.requestClass.weight,
        id: request.id,
        signal: waitAbort.signal,
      });
    } catch (cause) {
      if (!waitAbort.signal.aborted) throw cause;
      return notRun("Its time ran out before a slot was free", serviceMs);
    } finally {
      releaseWait();
    }
  }

  async function runOnServers(
    serviceQueue: ServiceQueue,
    request: ForwardRequest,
    fingerprint: string,
  ): Promise<Outcome> {
    const triedIds = new Set<string>();
    let mayHaveRun = false;
    for (let attempts = 1;; attempts++) {
      const state = selectServer(serviceQueue, triedIds);
      if (state === undefined) {
        const reason = "No backend server has a free slot";
        return mayHaveRun
          ? unknown(reason)
          : notRun(reason, getServiceMs(serviceQueue));
      }
      triedIds.add(state.server.id);
      const result = await exchange(serviceQueue, state, request);
      if (result.kind === "answer") {
        poisonRequests.recordAnswer(fingerprint);
        return result;
      }
      if (result.kind === "failed") {
        const recorded = poisonRequests.recordFailure(
          fingerprint,
          state.server,
        );
        // Other requests are not retried, so they need not wait for the check.
        if (request.requestClass.idempotent) await recorded;
      }
      const decision = decideRetry({
        result,
        idempotent: request.requestClass.idempotent,
        attempts,
        mayHaveRun,
        hasBudget: retryBudget.hasBudget() &&
          poisonRequests.mayRetry(fingerprint),
        hasTime: hasTime(serviceQueue, request),
      });
      mayHaveRun ||= result.kind === "failed";
      if (decision === "retry") {
        retryBudget.recordRetry();
        continue;
      }
      const reason = describeResult(result);
      if (decision === "unknown") return unknown(reason);
      return notRun(reason, getServiceMs(serviceQueue));
    }
  }

  function hasTime(
    serviceQueue: ServiceQueue,
    request: ForwardRequest,
  ): boolean {
    const remainingMs = request.deadlineMs - clock.monotonicMs();
    return !request.signal.aborted && remainingMs > getServiceMs(serviceQueue);
  }

  function selectServer(
    { set }: ServiceQueue,
    triedIds: ReadonlySet<string>,
  ): ServerState | undefined {
    const nowMs = clock.monotonicMs();
    const eligible = listEligibleServers(set, nowMs);
    const medianMs = getMedianLatencyMs(
      eligible,
      set.document.expectedServiceMs,
    );
    const candidates = eligible.flatMap((state): Candidate[] => {
      const limit = getConcurrencyLimit(set, state, { medianMs, nowMs });
      const isFree = state.inFlight < limit && !triedIds.has(state.server.id);
      return isFree ? [{ state, limit }] : [];
    });
    if (candidates.length === 0) return undefined;
    return policy.choose(candidates, { medianMs, nowMs }).state;
  }

  /** Runs one exchange and records its result in the server's state. */
  async function exchange(
    serviceQueue: ServiceQueue,
    state: ServerState,
    request: ForwardRequest,
  ): Promise<ExchangeResult> {
    const startMs = clock.monotonicMs();
    const cancellation = createExchangeCancellation(request, clock);
    beginRequest(state);
    const result = await backends.exchange({
      document: serviceQueue.set.document,
      server: state.server,
      request,
      remainingMs: cancellation.remainingMs,
      signal: cancellation.signal,
    });
    cancellation.release();
    const nowMs = clock.monotonicMs();
    const durationMs = nowMs - startMs;
    const ok = result.kind === "answer" || result.kind === "shed" ||
      cancellation.isCallerDisconnected();
    endRequest(state, { ok, durationMs, nowMs });
    applyServerSignals(state, result);
    if (result.kind === "answer") serviceQueue.serviceMs.add(durationMs);
    else logFailure(state, result);
    return result;
  }

  /** Applies a server's own signals: that it is leaving, or its backoff time. */
  function applyServerSignals(
    state: ServerState,
    result: ExchangeResult,
  ): void {
    if (result.kind !== "answer" && result.kind !== "shed") return;
    const nowMs = clock.monotonicMs();
    if (result.leaving) markLeaving(state, "answer", nowMs);
    if (result.kind === "shed" && result.backoffMs !== undefined) {
      markBackoff(state, result.backoffMs, nowMs);
    }
  }

  function logFailure(state: ServerState, result: ExchangeResult): void {
    log.info("Exchange ended without an answer", {
      step: "backend.exchange",
      peer: state.server.id,
      result,
    });
  }

  return {
    getServiceQueue,
    listServiceQueues: () => [...serviceQueues.values()],
    hasFreeSlot(document) {
      const { queue, limit } = getServiceQueue(document);
      return queue.size === 0 && queue.pending < limit();
    },
    run,
    updateConcurrency,
  };
}

function sumInFlight(set: ServerSet): number {
  let sum = 0;
  for (const { inFlight } of set.servers.values()) sum += inFlight;
  return sum;
}

function describeResult(
  result: Exclude<ExchangeResult, { kind: "answer" }>,
): string {
  switch (result.kind) {
    case "shed":
      return "The backend server refused it before running it";
    case "not_sent":
    case "failed":
      return result.reason;
  }
}
