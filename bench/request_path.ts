/**
 * Benchmarks the request path with a fake clock: policies for choosing a backend
 * server, and a naive gateway (round robin, no admission control, retry on any
 * error), on the same arrivals at several loads and faults.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { build, type Histogram } from "hdr-histogram-js";
import type { ServiceDocument } from "../src/config/schema.ts";
import { serviceSchema } from "../src/config/schema.ts";
import type { HealthReport } from "../src/control/messages.ts";
import { readDeployment } from "../src/deployment/prepare.ts";
import type { Deployment } from "../src/deployment/types.ts";
import {
  BackendClient,
  type BackendExchange,
} from "../src/forwarding/backend_client.ts";
import {
  type BalancingPolicy,
  ExpectedLatencyPolicy,
  LeastInFlightPolicy,
  RandomPolicy,
  RoundRobinPolicy,
  TwoChoicesPolicy,
} from "../src/forwarding/balancing_policy.ts";
import { createPoisonRequestTracker } from "../src/forwarding/poison_requests.ts";
import { createLocalRunner } from "../src/forwarding/local_runner.ts";
import { syncServers } from "../src/forwarding/server_set.ts";
import type {
  ExchangeResult,
  ForwardRequest,
  Outcome,
} from "../src/forwarding/types.ts";
import { createFakeClock, type FakeClock } from "../src/runtime/clock.ts";
import type { CrashCheck } from "../src/servers/crash_check.ts";
import {
  createRandom,
  drawExponential,
  type Random,
} from "../src/runtime/random.ts";
import { publish, type Row } from "./report.ts";

/** Time over which requests arrive. */
const RUN_MS = 30_000;
/** Requests that start earlier aren't counted. */
const WARM_UP_MS = 5_000;
/** Constant part of the service time; the rest is exponential. */
const FIXED_SERVICE_SHARE = 0.6;
/** Offered load as a share of the capacity. */
const LOADS = [0.5, 0.8, 0.95, 1.3];

type Fault = "none" | "one slow" | "cold half" | "draining third";

interface Server {
  id: string;
  busySlots: number;
  waiting: (() => void)[];
  slowFactor: number;
  coldRequests: number;
}

/** Servers with unbounded queues that never shed load. */
class QueueingBackends extends BackendClient {
  readonly servers = new Map<string, Server>();
  /** Requests that arrived when all slots were busy. */
  queuedRequests = 0;
  readonly #clock: FakeClock;
  readonly #random: Random;
  readonly #serviceMs: number;
  readonly #slots: number;

  constructor(
    document: ServiceDocument,
    { clock, random }: { clock: FakeClock; random: Random },
  ) {
    super();
    this.#clock = clock;
    this.#random = random;
    this.#serviceMs = document.expectedServiceMs;
    this.#slots = document.backendServers[0].slots;
    for (const { id } of document.backendServers) {
      this.servers.set(id, {
        id,
        busySlots: 0,
        waiting: [],
        slowFactor: 1,
        coldRequests: 0,
      });
    }
  }

  override async exchange(
    { server: { id }, signal }: BackendExchange,
  ): Promise<ExchangeResult> {
    const server = this.servers.get(id)!;
    if (server.busySlots >= this.#slots) {
      this.queuedRequests += 1;
      await new Promise<void>((resolve) => server.waiting.push(resolve));
    } else server.busySlots += 1;
    if (!signal.aborted) await this.#work(server, signal);
    const next = server.waiting.shift();
    if (next) next();
    else server.busySlots -= 1;
    if (signal.aborted) return { kind: "failed", reason: "cut off" };
    const body = Buffer.alloc(0);
    const answer = { status: 200, contentType: undefined, body, serverId: id };
    return { kind: "answer", answer };
  }

  #work(server: Server, signal: AbortSignal): Promise<void> {
    let factor = server.slowFactor;
    if (server.coldRequests > 0) {
      server.coldRequests -= 1;
      factor *= 3;
    }
    const variableMs = drawExponential(
      this.#random,
      this.#serviceMs * (1 - FIXED_SERVICE_SHARE),
    );
    const durationMs = (this.#serviceMs * FIXED_SERVICE_SHARE + variableMs) *
      factor;
    return new Promise((resolve) => {
      const timer = this.#clock.after(durationMs, resolve);
      signal.addEventListener("abort", () => {
        timer.cancel();
        resolve();
      }, { once: true });
    });
  }

  override probe(): Promise<HealthReport> {
    throw new Error("Not probed here");
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

interface BenchCase {
  deployment: Deployment;
  document: ServiceDocument;
  load: number;
  fault: Fault;
}

type Send = (request: ForwardRequest) => Promise<Outcome>;

interface Setup {
  clock: FakeClock;
  backends: QueueingBackends;
  send: Send;
}

function isDrained(fault: Fault, index: number, nowMs: number): boolean {
  return fault === "draining third" && index % 3 === 0 && nowMs >= WARM_UP_MS;
}

function createSteeringSetup(
  benchCase: BenchCase,
  makePolicy: (r: Random) => BalancingPolicy,
) {
  const clock = createFakeClock();
  const random = createRandom(7);
  const { document, fault } = benchCase;
  const backends = new QueueingBackends(document, { clock, random });
  const policy = makePolicy(createRandom(11));
  const crashCheck: CrashCheck = { check: () => Promise.resolve("runs") };
  const poisonRequests = createPoisonRequestTracker(clock, crashCheck);
  const runner = createLocalRunner({
    clock,
    random,
    backends,
    policy,
    poisonRequests: poisonRequests,
  });
  const { set } = runner.getServiceQueue(document);
  const sync = () => {
    syncServers(set, document, {
      failureDomain: document.backendServers[0].failureDomain,
      entry: { index: 0, count: 1 },
      getLeavingReason: ({ id }) => {
        const index = document.backendServers.findIndex((s) => s.id === id);
        return isDrained(fault, index, clock.monotonicMs())
          ? "document"
          : undefined;
      },
      nowMs: clock.monotonicMs(),
    });
    runner.updateConcurrency();
  };
  sync();
  clock.every(250, sync);
  const send: Send = (request) => runner.run(document, request);
  return { clock, backends, send };
}

/** Round robin over servers that aren't drained; retries on any error. */
function createNaiveSetup({ document, fault }: BenchCase): Setup {
  const clock = createFakeClock();
  const random = createRandom(7);
  const backends = new QueueingBackends(document, { clock, random });
  let rotation = 0;
  const send: Send = async (request) => {
    for (let attempt = 0; attempt < 3; attempt++) {
      const nowMs = clock.monotonicMs();
      const activeServers = document.backendServers.filter((_, index) =>
        !isDrained(fault, index, nowMs)
      );
      rotation += 1;
      const server = activeServers[rotation % activeServers.length];
      const cutOff = new AbortController();
      const timeMs = (request.deadlineMs - nowMs) / 2;
      const timer = clock.after(Math.max(1, timeMs), () => cutOff.abort());
      const result = await backends.exchange({
        document,
        server,
        request,
        remainingMs: timeMs,
        signal: cutOff.signal,
      });
      timer.cancel();
      if (result.kind === "answer") return result;
    }
    return { kind: "unknown", reason: "gave up", retryAfterS: 1 };
  };
  return { clock, backends, send };
}

interface OutcomeCounts {
  inTime: number;
  all: number;
  histogram: Histogram;
}

async function measure(benchCase: BenchCase, setup: Setup): Promise<Row> {
  const { document, load, fault } = benchCase;
  const { clock, backends, send } = setup;
  const servers = [...backends.servers.values()];
  if (fault === "one slow") servers[0].slowFactor = 10;
  if (fault === "cold half") {
    servers.forEach((server, index) => {
      if (index % 2 === 0) server.coldRequests = 200;
    });
  }
  const slots = document.backendServers.reduce((sum, s) => sum + s.slots, 0);
  const capacity = slots * 1_000 / document.expectedServiceMs;
  const random = createRandom(3);
  const tally: OutcomeCounts = { inTime: 0, all: 0, histogram: build() };
  const pending: Promise<void>[] = [];
  let nextMs = 0;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += 1) {
    while (nextMs <= nowMs) {
      pending.push(sendOne(benchCase, setup, { random, tally, send }));
      nextMs += drawExponential(random, 1_000 / (capacity * load));
    }
    clock.advance(1);
    for (let count = 0; count < 6; count++) await Promise.resolve();
  }
  for (let nowMs = 0; nowMs < 30_000; nowMs += 5) {
    clock.advance(5);
    for (let count = 0; count < 6; count++) await Promise.resolve();
  }
  const { histogram } = tally;
  return {
    "in time": tally.inTime / tally.all,
    "p50 ms": histogram.getValueAtPercentile(50) / 100,
    "p99 ms": histogram.getValueAtPercentile(99) / 100,
    "p99.9 ms": histogram.getValueAtPercentile(99.9) / 100,
    "over slots": backends.queuedRequests,
  };
}

async function sendOne(
  { document, deployment }: BenchCase,
  { clock }: Setup,
  { random, tally, send }: { random: Random; tally: OutcomeCounts; send: Send },
): Promise<void> {
  const service = deployment.services.find((one) =>
    one.document.service === document.service
  )!;
  const draw = random();
  const mix =
    service.mix.find((_, index) =>
      draw < service.mix.slice(0, index + 1).reduce((s, m) => s + m.share, 0)
    ) ?? service.mix[0];
  const requestClass = document.classes.find(({ name }) => name === mix.class)!;
  const startMs = clock.monotonicMs();
  const outcome = await send({
    id: String(draw),
    service: document.service,
    requestClass,
    method: mix.method,
    path: mix.path,
    contentType: undefined,
    body: Buffer.alloc(0),
    deadlineMs: startMs + mix.deadlineMs,
    key: undefined,
    block: "",
    callerRegion: "",
    hops: 0,
    signal: new AbortController().signal,
  });
  if (startMs < WARM_UP_MS) return;
  const latencyMs = clock.monotonicMs() - startMs;
  tally.all += requestClass.weight;
  if (outcome.kind !== "answer") return;
  tally.histogram.recordValue(Math.round(latencyMs * 100));
  if (latencyMs <= mix.deadlineMs) tally.inTime += requestClass.weight;
}

const POLICIES: [string, (random: Random) => BalancingPolicy][] = [
  ["random", (random) => new RandomPolicy(random)],
  ["round robin", () => new RoundRobinPolicy()],
  ["least in flight", (random) => new LeastInFlightPolicy(random)],
  ["two choices", (random) => new TwoChoicesPolicy(random)],
  ["expected latency", (random) => new ExpectedLatencyPolicy(random)],
];

/** @returns The document of a service with all servers in one failure domain. */
function makeDocument(
  service: Deployment["services"][number],
): ServiceDocument {
  return serviceSchema.parse({
    ...service.document,
    regions: ["here"],
    expectedServiceMs: service.serviceMs,
    backendServers: Array.from(
      { length: service.backendServers },
      (_, index) => ({
        id: `server-${index}`,
        failureDomain: "here-1",
        address: `127.0.0.1:${9_000 + index}`,
        slots: service.slots,
      }),
    ),
  });
}

/** Runs all cases and prints the table. */
export async function benchRequestPath(): Promise<void> {
  const rows: Row[] = [];
  const cases: [number, Fault][] = [
    ...LOADS.map((load): [number, Fault] => [load, "none"]),
    [0.5, "one slow"],
    [0.5, "cold half"],
    [0.5, "draining third"],
  ];
  for (const name of ["nordvern", "asca"]) {
    const deployment = readDeployment(name);
    const service = deployment.services[1];
    const document = makeDocument(service);
    for (const [load, fault] of cases) {
      const benchCase: BenchCase = { deployment, document, load, fault };
      const shared = { deployment: name, load: `${load * 100}%`, fault };
      for (const [policy, makePolicy] of POLICIES) {
        const stats = await measure(
          benchCase,
          createSteeringSetup(benchCase, makePolicy),
        );
        rows.push({ ...shared, way: policy, ...stats });
      }
      const naive = await measure(benchCase, createNaiveSetup(benchCase));
      rows.push({ ...shared, way: "naive", ...naive });
    }
  }
  publish(
    "request_path",
    "Choice of backend server and the naive version (fake clock, 12 servers)",
    rows,
  );
}
