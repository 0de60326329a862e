/**
 * Test fixture: the request handlers of many VMs that share backend servers of
 * one service.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { ClientAccount } from "../accounts/types.ts";
import { addRequests } from "../activity/running.ts";
import {
  makeReachability,
  makeRoute,
  makeServer,
  makeServerUpdate,
  TEST_REGIONS,
} from "../gateway/fixture.ts";
import { EqualShareLimiter } from "../limits/equal_share_limiter.ts";
import { createCacheSizeEstimator } from "../placement/cache_size.ts";
import {
  createObjectCacheModel,
  forEachPair,
} from "../placement/object_cache_model.ts";
import { createRanking } from "../placement/ranking.ts";
import type { Route } from "../routing/types.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { hashToUint32 } from "../runtime/hash.ts";
import { createRandom, drawExponential } from "../runtime/random.ts";
import { createServerRegistry } from "../servers/registry.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { NO_SIGNALS } from "../servers/signals.ts";
import { createAttemptObserver } from "../serving/attempt_observer.ts";
import { createDemandMeter } from "../serving/demand_meter.ts";
import { makeRequest, makeUnlimitedPermits } from "../serving/fixture.ts";
import { createInflightBodies } from "../serving/inflight_bodies.ts";
import { createLatencyModel } from "../serving/latency_model.ts";
import { createPlacer } from "../serving/placer.ts";
import { createProcessEnd } from "../serving/process_end.ts";
import { createRequestHandler } from "../serving/request_handler.ts";
import type { ExchangeResult, ServeResult } from "../serving/types.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createAccountShares } from "./account_shares.ts";
import { MIN_COMPETING_REPORTED_RUN_MS } from "./thresholds.ts";
import { createWaitQueue } from "./wait_queue.ts";
import { createUrgentDemand } from "./urgency.ts";

/** Requests of one kind. */
export interface Load {
  route: Route;
  workMs: number;
  account?: ClientAccount;
  bodyBytes?: number;
  /** @returns Arrivals per second at a time. */
  getRatePerS: (atMs: number) => number;
}

/** A request with fixed work, for tests that send single requests. */
export interface SingleRequest extends Omit<Load, "getRatePerS"> {
  /** Deadline that the client gives; absent if it gives none. */
  deadlineMs?: number;
}

/** What became of the requests of one load. */
export interface Outcome {
  requests: number;
  inTime: number;
  late: number;
  /** Neither answered in time nor late. */
  unanswered: number;
  /** Share of the full value: an answer in time counts 1, a late one 0.2. */
  valueShare: number;
}

interface Job {
  bodyBytes: number;
  workMs: number;
  resolve: (result: ExchangeResult) => void;
  endsAtMs: number;
}

/** Options of a fleet. */
export interface FleetOptions {
  vms: number;
  servers: number;
  slots: number;
  competingPriorities: readonly number[];
  /** Bytes of bodies above which a server crashes; absent if it holds all. */
  memoryBytes?: number;
  /** Seed of arrivals and objects. */
  seed?: number;
}

const DEFAULT_SEED = 20261203;
const STEP_MS = 5;
/** Interval of the reports between the VMs of a large fleet. */
const REPORT_INTERVAL_MS = 200;
const OBJECTS = 500;
/** Share of requests whose server has the object cached, and their work. */
const HIT_SHARE = 0.5;
const HIT_WORK_SHARE = 0.3;
/** Time from the crash of a server until its next instance is listed. */
const RESTART_MS = 2_000;
/** Requests per slot at which a server sheds. */
const SHED_UTILIZATION = 4;

/** The routes of the second service of the shortage deployment. */
export const URGENT_READS = makeRoute({
  name: "urgent reads",
  prefix: "/u/",
  targetLatencyMs: 241,
  timeoutMs: 1_177,
  priority: 0,
  isSticky: false,
});
export const UPLOADS = makeRoute({
  name: "uploads",
  kind: "non_idempotent",
  transfer: "upload",
  targetLatencyMs: 1_106,
  timeoutMs: 3_276,
  priority: 2,
  isSticky: false,
});

/**
 * @param options Sizes of the fleet.
 * @returns A fleet without load.
 */
export function createFleet(options: FleetOptions) {
  const clock = createFakeClock();
  const log = createSilentLog();
  const random = createRandom(options.seed ?? DEFAULT_SEED);
  const servers = new Map<string, Job[]>();
  /** Requests at servers as the VMs last reported them to each other. */
  let reported = new Map<number, number>();
  let crashes = 0;
  const vms = Array.from(
    { length: options.vms },
    (_, index) => createVm(index),
  );

  function createVm(index: number) {
    let ownReported = new Map<number, number>();
    const runTimes = createRunTimes();
    const registry = createServerRegistry({
      clock,
      log,
      regions: TEST_REGIONS,
      getColdDurationMs: () => 0,
      running: {
        getTotal: (id) => {
          const key = hashToUint32(id);
          return (reported.get(key) ?? 0) - (ownReported.get(key) ?? 0);
        },
      },
      runTimes,
    });
    for (let number = 0; number < options.servers; number++) {
      const server = makeServer(`${number}`, { slots: options.slots });
      registry.apply(makeServerUpdate(server, number + 1));
      servers.set(server.id, []);
    }
    const latencyModel = createLatencyModel();
    const cacheModel = createObjectCacheModel();
    const cacheSizeEstimator = createCacheSizeEstimator();
    const permits = makeUnlimitedPermits();
    const inflightBodies = createInflightBodies({ clock, log });
    const reachability = makeReachability(clock, registry);
    const urgentDemand = createUrgentDemand(clock);
    const accountShares = createAccountShares(clock);
    const getCompetingPriorities = () => options.competingPriorities;
    const waitQueue = createWaitQueue({
      clock,
      log,
      random,
      registry,
      runTimes,
      latencyModel,
      getCompetingPriorities,
    });
    const handler = createRequestHandler({
      processEnd: createProcessEnd(),
      clock,
      log,
      random,
      registry,
      placer: createPlacer({
        clock,
        log,
        registry,
        ranking: createRanking(registry),
        copyPlan: { getCopies: () => 2 },
        overflow: {
          find: () => ({ kind: "denied", denial: "no_region" }),
          giveBack() {},
        },
        ownDomain: "oslo-a",
        plan: {
          getShares: () => [{ region: "oslo", share: 1 }],
          getMovedShare: () => 0,
        },
        coldLimit: { take: () => false },
        permits,
        inflightBodies,
        reachability,
        latencyModel,
        cacheModel,
        cacheSizeEstimator,
        urgentDemand,
        accountShares,
        getCompetingPriorities,
        getServiceSettings: () => undefined,
      }),
      observer: createAttemptObserver({
        clock,
        log,
        latencyModel,
        cacheModel,
        cacheSizeEstimator,
        runTimes,
        rateLimits: { record() {} },
        backoffs: { begin() {} },
        registry,
        reachability,
      }),
      budget: { recordRequest() {}, take: () => true },
      splitter: { pickService: () => "s" },
      demand: createDemandMeter(clock),
      urgentDemand,
      accountShares,
      waitQueue,
      latencyModel,
      cacheModel,
      transport: {
        send({ server: { id }, request: { headers, body } }) {
          const attempt = send(id, Number(headers["x-work"]), body.length);
          const result = attempt.result.then((result) => ({ result }));
          return { result, abort: attempt.abort };
        },
      },
      crashCheck: {
        check: ({ id }) => Promise.resolve(servers.has(id) ? "runs" : "ended"),
      },
      suspects: {
        assess: () => ({ kind: "clear" }),
        recordProbe() {},
        recordCrash() {},
        recordAnswer() {},
        apply() {},
        watch: () => () => {},
        list: () => [],
        stop() {},
      },
      permits,
      inflightBodies,
      limiter: new EqualShareLimiter(clock, () => 1),
    });
    return {
      index,
      registry,
      handler,
      waitQueue,
      inflightBodies,
      report: () => {
        ownReported = new Map();
        forEachPair(
          registry.listOwnRequests(() => MIN_COMPETING_REPORTED_RUN_MS),
          (key, own) => void ownReported.set(key, own),
        );
        return ownReported;
      },
    };
  }

  function getSignals(jobs: readonly Job[]) {
    const running = Math.min(options.slots, jobs.length);
    const waiting = jobs.length - running;
    return { ...NO_SIGNALS, load: { running, waiting, slots: options.slots } };
  }

  /** Ends a server; its next instance is listed later under another id. */
  function crash(id: string, jobs: readonly Job[]): void {
    crashes++;
    const version = crashes + options.servers;
    servers.delete(id);
    for (const { resolve } of jobs) {
      resolve({ kind: "lost", reason: "cut", detail: "" });
    }
    clock.after(RESTART_MS, () => {
      const registeredName = id.split(".")[0];
      const next = makeServer(`${registeredName}.${version}`, {
        registeredName,
        slots: options.slots,
      });
      servers.set(next.id, []);
      for (const { registry } of vms) {
        registry.apply(makeServerUpdate(next, version));
      }
    });
  }

  function send(id: string, workMs: number, bodyBytes: number) {
    const jobs = servers.get(id);
    if (jobs === undefined) {
      const result: ExchangeResult = { kind: "not_sent", reason: "" };
      return { result: Promise.resolve(result), abort() {} };
    }
    if (jobs.length >= SHED_UTILIZATION * options.slots) {
      const signals = getSignals(jobs);
      const result: ExchangeResult = {
        kind: "not_run",
        reason: "shed",
        signals,
        answer: { status: 503, headers: {}, body: Buffer.alloc(0) },
      };
      return { result: Promise.resolve(result), abort() {} };
    }
    let job: Job;
    const result = new Promise<ExchangeResult>((resolve) => {
      job = { bodyBytes, workMs, resolve, endsAtMs: Infinity };
      jobs.push(job);
    });
    const heldBytes = jobs.reduce((sum, { bodyBytes }) => sum + bodyBytes, 0);
    if (heldBytes > (options.memoryBytes ?? Infinity)) crash(id, jobs);
    return {
      result,
      abort: (reason: "timeout" | "client_left") => {
        const index = jobs.indexOf(job);
        if (index >= 0) jobs.splice(index, 1);
        job.resolve({ kind: "lost", reason, detail: "" });
      },
    };
  }

  /** Ends the work that is due and starts what has a slot. */
  function advanceServer(jobs: Job[]): void {
    const nowMs = clock.monotonicMs();
    for (const job of jobs.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      const signals = getSignals(jobs);
      jobs.splice(jobs.indexOf(job), 1);
      const answer = { status: 200, headers: {}, body: Buffer.alloc(0) };
      job.resolve({ kind: "answer", answer, signals });
    }
    for (const job of jobs.slice(0, options.slots)) {
      if (job.endsAtMs === Infinity) job.endsAtMs = nowMs + job.workMs;
    }
  }

  function exchangeReports(): void {
    reported = new Map();
    for (const vm of vms) addRequests(reported, vm.report());
  }

  async function advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      clock.advance(STEP_MS);
      if (clock.monotonicMs() % REPORT_INTERVAL_MS === 0) exchangeReports();
      for (const jobs of servers.values()) advanceServer(jobs);
      await nextTurn();
    }
  }

  /** Gives a request to a VM. */
  function request(vm: number, load: SingleRequest, signal?: AbortSignal) {
    return vms[vm].handler.handle(makeRequest({
      route: load.route,
      account: load.account,
      body: Buffer.alloc(load.bodyBytes ?? 0),
      headers: { "x-work": `${load.workMs}` },
      metadata: {
        requestId: "q",
        deadlineMs: load.deadlineMs,
        objectKey: `${Math.floor(random() * OBJECTS)}`,
        callerKey: undefined,
        apiKey: undefined,
      },
      arrivedAtMs: clock.monotonicMs(),
      ...(signal === undefined ? {} : { signal }),
    }));
  }

  /**
   * Sends loads to random VMs and waits for all answers.
   *
   * @param loads The loads.
   * @param durationMs Time for which requests arrive.
   * @returns The outcome of each load.
   */
  async function run(loads: Load[], durationMs: number): Promise<Outcome[]> {
    const outcomes = loads.map(() => ({
      requests: 0,
      inTime: 0,
      late: 0,
      unanswered: 0,
      valueShare: 0,
    }));
    const startMs = clock.monotonicMs();
    const dueMs = loads.map(() => startMs);

    function record(index: number, sentAtMs: number, result: ServeResult) {
      const tookMs = clock.monotonicMs() - sentAtMs;
      const { targetLatencyMs } = loads[index].route;
      if (result.kind !== "answer") outcomes[index].unanswered++;
      else if (tookMs <= targetLatencyMs) outcomes[index].inTime++;
      else outcomes[index].late++;
    }

    for (let atMs = startMs; atMs < startMs + durationMs; atMs += STEP_MS) {
      loads.forEach((load, index) => {
        while (dueMs[index] <= atMs) {
          dueMs[index] += drawExponential(
            random,
            1_000 / load.getRatePerS(atMs - startMs),
          );
          outcomes[index].requests++;
          const vm = Math.floor(random() * options.vms);
          const isHit = random() < HIT_SHARE;
          const workMs = load.workMs * (isHit ? HIT_WORK_SHARE : 1);
          void request(vm, { ...load, workMs })
            .then((result) => record(index, atMs, result));
        }
      });
      await advance(STEP_MS);
    }
    await advance(5_000);
    return outcomes.map((outcome) => ({
      ...outcome,
      valueShare: (outcome.inTime + 0.2 * outcome.late) / outcome.requests,
    }));
  }

  return {
    clock,
    vms,
    servers,
    countCrashes: () => crashes,
    advance,
    request,
    run,
  };
}

/**
 * @param name Name of the account.
 * @param priority Its priority.
 * @returns An account without a rate limit.
 */
export function makeAccount(name: string, priority: number): ClientAccount {
  return { name, priority, keyDigests: [], homeRegions: [], burst: 1 };
}
