/**
 * Runs requests on the backend servers of the own failure domain: one p-queue
 * for each service, whose concurrency is this entry's share of their slots.
 *
 * @module
 */
import type PQueue from "p-queue";
import { createFairQueue, type FairQueue } from "../admission/fair_queue.ts";
import { decideAdmission } from "../admission/logic.ts";
import type { ServiceDocument } from "../config/schema.ts";
import { createMovingMean, type MovingMean } from "../measurement/rate.ts";
import type { Clock } from "../runtime/clock.ts";
import { createLogger } from "../runtime/logger.ts";
import type { Random } from "../runtime/random.ts";
import type { BackendClient } from "./backend_client.ts";
import type { Candidate, ChoicePolicy } from "./choice.ts";
import { createCutOff } from "./cut_off.ts";
import type { DeadlyRequests } from "./deadly_requests.ts";
import { createOutcomeMaker } from "./outcomes.ts";
import { createRetryBudget, decideRetry, type RetryBudget } from "./retry.ts";
import {
  getLimit,
  getMedianLatency,
  getTotalLimit,
  listEligible,
} from "./server_judgement.ts";
import {
  beginRequest,
  createServerSet,
  endRequest,
  markBackoff,
  markLeaving,
  type ServerSet,
  type ServerState,
} from "./servers.ts";
import type { ExchangeResult, ForwardRequest, Outcome } from "./types.ts";

const log = createLogger("forwarding");

/** Weight of the newest service time in the mean. */
const SERVICE_TIME_WEIGHT = 0.05;

/** What the runner needs. */
export interface RunnerOptions {
  clock: Clock;
  random: Random;
  backends: BackendClient;
  policy: ChoicePolicy;
  deadly: DeadlyRequests;
}

/** One service's waiting line and servers. */
export interface ServiceLine {
  set: ServerSet;
  queue: PQueue<FairQueue>;
  waiting: FairQueue;
  serviceMs: MovingMean;
  /** Requests at backend servers. */
  inFlight(): number;
  limit(): number;
}

/** Runs requests in the own failure domain. */
export interface LocalRunner {
  /** @returns The line of a service; made on first use. */
  line(document: ServiceDocument): ServiceLine;
  lines(): ServiceLine[];
  /** @returns Whether a request could be started at once. */
  hasRoom(document: ServiceDocument): boolean;
  run(document: ServiceDocument, request: ForwardRequest): Promise<Outcome>;
  /** Brings the queues' concurrency in line with the servers. */
  refresh(): void;
}

/**
 * @param options See there.
 * @returns A runner that knows no service yet.
 */
export function createLocalRunner(options: RunnerOptions): LocalRunner {
  const { clock, random, backends, policy, deadly } = options;
  const { notRun, unknown } = createOutcomeMaker(random);
  const lines = new Map<string, ServiceLine>();
  const budget: RetryBudget = createRetryBudget();

  function line(document: ServiceDocument): ServiceLine {
    const known = lines.get(document.service);
    if (known) return known;
    const { queue, waiting } = createFairQueue();
    const set = createServerSet(document);
    const made: ServiceLine = {
      set,
      queue,
      waiting,
      serviceMs: createMovingMean(SERVICE_TIME_WEIGHT),
      inFlight: () => sumInFlight(set),
      limit: () => getTotalLimit(set, clock.monotonicMs()),
    };
    lines.set(document.service, made);
    return made;
  }

  function refresh(): void {
    for (const { queue, limit } of lines.values()) {
      queue.concurrency = Math.max(1, limit());
    }
  }

  function getServiceMs({ serviceMs, set }: ServiceLine): number {
    return serviceMs.value() || set.document.expectedServiceMs;
  }

  function run(
    document: ServiceDocument,
    request: ForwardRequest,
  ): Promise<Outcome> {
    const own = line(document);
    budget.noteRequest();
    const name = deadly.name(request);
    const pauseMs = deadly.getPauseMs(name);
    if (pauseMs !== undefined) {
      const reason = "Backend servers ended while they ran this request";
      return Promise.resolve(notRun(reason, pauseMs));
    }
    const { weight } = request.requestClass;
    const serviceMs = getServiceMs(own);
    const admission = decideAdmission({
      remainingMs: request.deadlineMs - clock.monotonicMs(),
      serviceMs,
      limit: own.limit(),
      inFlight: own.queue.pending,
      waitingInClass: own.waiting.countWaiting(weight),
      turnShare: own.waiting.getTurnShare(weight),
    });
    if (admission.decision === "refuse") {
      return Promise.resolve(notRun(admission.reason, admission.waitMs));
    }
    return waitAndRun(own, request, { name, serviceMs });
  }

  /** A request whose time runs out in the line is refused at that moment. */
  async function waitAndRun(
    own: ServiceLine,
    request: ForwardRequest,
    { name, serviceMs }: { name: string; serviceMs: number },
  ): Promise<Outcome> {
    const lineExit = new AbortController();
    const patienceMs = request.deadlineMs - clock.monotonicMs() - serviceMs;
    const timer = clock.after(
      Math.max(0, patienceMs),
      () => lineExit.abort(),
    );
    const onHangUp = () => lineExit.abort();
    request.signal.addEventListener("abort", onHangUp, { once: true });
    const stopWaiting = () => {
      timer.cancel();
      request.signal.removeEventListener("abort", onHangUp);
    };
    try {
      return await own.queue.add(() => {
        stopWaiting();
        return runOnServers(own, request, name);
      }, {
        priority: request.requestClass.weight,
        id: request.id,
        signal: lineExit.signal,
      });
    } catch (cause) {
      if (!lineExit.signal.aborted) throw cause;
      return notRun("Its time ran out before a slot was free", serviceMs);
    } finally {
      stopWaiting();
    }
  }

  async function runOnServers(
    own: ServiceLine,
    request: ForwardRequest,
    name: string,
  ): Promise<Outcome> {
    const tried = new Set<string>();
    let mayHaveRun = false;
    for (let attempts = 1;; attempts++) {
      const state = chooseServer(own, tried);
      if (state === undefined) {
        const reason = "No backend server has a free slot";
        return mayHaveRun ? unknown(reason) : notRun(reason, getServiceMs(own));
      }
      tried.add(state.server.id);
      const result = await exchange(own, state, request);
      if (result.kind === "answer") {
        deadly.noteAnswer(name);
        return result;
      }
      if (result.kind === "failed") {
        const isNoted = deadly.noteFailure(name, state.server);
        // What must not run twice waits for nothing more.
        if (request.requestClass.idempotent) await isNoted;
      }
      const decision = decideRetry({
        result,
        idempotent: request.requestClass.idempotent,
        attempts,
        mayHaveRun,
        hasBudget: budget.hasBudget() && deadly.mayGoOn(name),
        hasTime: hasTime(own, request),
      });
      mayHaveRun ||= result.kind === "failed";
      if (decision === "retry") {
        budget.spend();
        continue;
      }
      const reason = describeResult(result);
      if (decision === "unknown") return unknown(reason);
      return notRun(reason, getServiceMs(own));
    }
  }

  function hasTime(own: ServiceLine, request: ForwardRequest): boolean {
    const remainingMs = request.deadlineMs - clock.monotonicMs();
    return !request.signal.aborted && remainingMs > getServiceMs(own);
  }

  function chooseServer(
    { set }: ServiceLine,
    tried: ReadonlySet<string>,
  ): ServerState | undefined {
    const nowMs = clock.monotonicMs();
    const eligible = listEligible(set, nowMs);
    const medianMs = getMedianLatency(eligible, set.document.expectedServiceMs);
    const candidates = eligible.flatMap((state): Candidate[] => {
      const limit = getLimit(set, state, { medianMs, nowMs });
      const isFree = state.inFlight < limit && !tried.has(state.server.id);
      return isFree ? [{ state, limit }] : [];
    });
    if (candidates.length === 0) return undefined;
    return policy.choose(candidates, { medianMs, nowMs }).state;
  }

  /** An at-most-once request is not cut off: its late answer is kept. */
  async function exchange(
    own: ServiceLine,
    state: ServerState,
    request: ForwardRequest,
  ): Promise<ExchangeResult> {
    const startMs = clock.monotonicMs();
    const cutOff = createCutOff(request, clock);
    beginRequest(state);
    const result = await backends.exchange({
      document: own.set.document,
      server: state.server,
      request,
      remainingMs: cutOff.remainingMs,
      signal: cutOff.signal,
    });
    cutOff.release();
    const nowMs = clock.monotonicMs();
    const durationMs = nowMs - startMs;
    const ok = result.kind === "answer" || result.kind === "shed" ||
      cutOff.isHungUp();
    endRequest(state, { ok, durationMs, nowMs });
    noteSignals(state, result);
    if (result.kind === "answer") own.serviceMs.add(durationMs);
    else logTrouble(state, result);
    return result;
  }

  /** Takes in what a server says of itself. */
  function noteSignals(state: ServerState, result: ExchangeResult): void {
    if (result.kind !== "answer" && result.kind !== "shed") return;
    const nowMs = clock.monotonicMs();
    if (result.leaving) markLeaving(state, "answer", nowMs);
    if (result.kind === "shed" && result.backoffMs !== undefined) {
      markBackoff(state, result.backoffMs, nowMs);
    }
  }

  function logTrouble(state: ServerState, result: ExchangeResult): void {
    log.info("Exchange without answer", {
      step: "backend.exchange",
      peer: state.server.id,
      result,
    });
  }

  return {
    line,
    lines: () => [...lines.values()],
    hasRoom(document) {
      const { queue, limit } = line(document);
      return queue.size === 0 && queue.pending < limit();
    },
    run,
    refresh,
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
