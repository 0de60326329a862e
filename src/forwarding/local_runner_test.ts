import { Buffer } from "node:buffer";
import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { type ServiceDocument, serviceSchema } from "../config/schema.ts";
import type { HealthReport } from "../control/messages.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createRandom, type Random } from "../runtime/random.ts";
import type { CrashCheck } from "../servers/crash_check.ts";
import { BackendClient, type BackendExchange } from "./backend_client.ts";
import { ExpectedLatencyPolicy } from "./balancing_policy.ts";
import { createPoisonRequestTracker } from "./poison_requests.ts";
import { createLocalRunner } from "./local_runner.ts";
import { markLeaving, syncServers } from "./server_set.ts";
import type { ExchangeResult, ForwardRequest, Outcome } from "./types.ts";

const SEED = 20261202;
type ServerBehavior =
  | "answer"
  | "answer_leaving"
  | "shed"
  | "shed_with_backoff"
  | "not_sent"
  | "crash_before"
  | "crash_after";

/** Simulates servers with a given behavior, and records what they ran. */
class FakeBackendClient extends BackendClient {
  readonly runs = new Map<string, number>();
  readonly inFlight = new Map<string, number>();
  /** Number of requests that reached each server. */
  readonly arrivals = new Map<string, number>();
  peak = 0;
  readonly #clock: FakeClock;
  readonly #random: Random;
  readonly #nextBehavior: () => ServerBehavior;

  constructor(clock: FakeClock, random: Random, modeOf: () => ServerBehavior) {
    super();
    this.#clock = clock;
    this.#random = random;
    this.#nextBehavior = modeOf;
  }

  override exchange(exchange: BackendExchange): Promise<ExchangeResult> {
    const { server, request, signal } = exchange;
    const mode = this.#nextBehavior();
    this.#addInFlight(server.id, 1);
    const arrived = this.arrivals.get(server.id) ?? 0;
    this.arrivals.set(server.id, arrived + 1);
    const durationMs = 20 + 100 * this.#random();
    return new Promise((resolve) => {
      const finish = (result: ExchangeResult) => {
        timer.cancel();
        signal.removeEventListener("abort", onAbort);
        this.#addInFlight(server.id, -1);
        resolve(result);
      };
      const onAbort = () => {
        this.#recordRun(request.id);
        finish({ kind: "failed", reason: "aborted" });
      };
      const timer = this.#clock.after(durationMs, () => {
        finish(this.#respond(mode, exchange));
      });
      signal.addEventListener("abort", onAbort);
    });
  }

  #respond(
    mode: ServerBehavior,
    { server, request }: BackendExchange,
  ): ExchangeResult {
    switch (mode) {
      case "shed":
        return { kind: "shed", leaving: false };
      case "shed_with_backoff":
        return { kind: "shed", leaving: false, backoffMs: 3_000 };
      case "not_sent":
        return { kind: "not_sent", reason: "refused" };
      case "crash_before":
        return { kind: "failed", reason: "reset" };
      case "crash_after":
        this.#recordRun(request.id);
        return { kind: "failed", reason: "reset" };
      case "answer":
      case "answer_leaving": {
        this.#recordRun(request.id);
        const body = Buffer.from(request.id);
        const serverId = server.id;
        const answer = { status: 200, contentType: undefined, body, serverId };
        const leaving = mode === "answer_leaving";
        return { kind: "answer", answer, leaving };
      }
    }
  }

  #recordRun(id: string): void {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
  }

  #addInFlight(id: string, change: number): void {
    const count = (this.inFlight.get(id) ?? 0) + change;
    this.inFlight.set(id, count);
    this.peak = Math.max(this.peak, count);
  }

  override probe(): Promise<HealthReport> {
    throw new Error("FakeBackendClient does not support probes");
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

const SLOTS = 3;
const document: ServiceDocument = serviceSchema.parse({
  service: "s",
  regions: ["a"],
  backendServers: [0, 1, 2].map((index) => ({
    id: `s-${index}`,
    failureDomain: "a1",
    address: `127.0.0.1:${9_000 + index}`,
    slots: SLOTS,
  })),
  shiftCap: { maxShare: 0.1, windowS: 10 },
  expectedServiceMs: 70,
  classes: [
    { name: "read", methods: ["GET"], idempotent: true },
    { name: "book", methods: ["POST"], weight: 2, idempotent: false },
  ],
});

function createTestRunner(
  modeOf: (random: Random) => ServerBehavior,
  seed = SEED,
) {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const backends = new FakeBackendClient(clock, random, () => modeOf(random));
  const policy = new ExpectedLatencyPolicy(random);
  const endCheck: CrashCheck = { check: () => Promise.resolve("ended") };
  const poisonRequests = createPoisonRequestTracker(clock, endCheck);
  const runner = createLocalRunner({
    clock,
    random,
    backends,
    policy,
    poisonRequests,
  });
  const { set } = runner.getServiceQueue(document);
  syncServers(set, document, {
    failureDomain: "a1",
    entry: { index: 0, count: 1 },
    getLeavingReason: () => undefined,
    nowMs: 0,
  });
  runner.updateConcurrency();
  return { clock, backends, runner, set };
}

function makeRequest(
  id: string,
  { clock, idempotent, timeMs }: {
    clock: FakeClock;
    idempotent: boolean;
    timeMs: number;
  },
): ForwardRequest {
  return {
    id,
    service: "s",
    requestClass: document.classes[idempotent ? 0 : 1],
    method: idempotent ? "GET" : "POST",
    path: `/${id}`,
    contentType: undefined,
    body: Buffer.alloc(0),
    deadlineMs: clock.monotonicMs() + timeMs,
    key: undefined,
    block: "",
    callerRegion: "a",
    hops: 0,
    signal: new AbortController().signal,
  };
}

/** Advances the clock in steps of 5 ms, and lets promises settle after each. */
async function advance(clock: FakeClock, durationMs: number): Promise<void> {
  for (let elapsed = 0; elapsed < durationMs; elapsed += 5) {
    clock.advance(5);
    for (let count = 0; count < 8; count++) await Promise.resolve();
  }
}

test("under random faults: slot limits, at-most-once and outcomes hold", async () => {
  let requests = 0;
  const kinds: Record<string, number> = {};
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record({
          idempotent: fc.boolean(),
          timeMs: fc.integer({ min: 50, max: 800 }),
          gapMs: fc.constantFrom(0, 0, 5, 10, 50),
        }),
        { minLength: 10, maxLength: 60 },
      ),
      fc.double({ min: 0, max: 0.6, noNaN: true }),
      fc.nat(1_000_000),
      async (planned, faultShare, seed) => {
        const faults: ServerBehavior[] = [
          "shed",
          "not_sent",
          "crash_before",
          "crash_after",
        ];
        const { clock, backends, runner, set } = createTestRunner(
          (random) =>
            random() < faultShare
              ? faults[Math.floor(random() * faults.length)]
              : "answer",
          seed,
        );
        const results: { request: ForwardRequest; outcome: Outcome }[] = [];
        for (const [index, made] of planned.entries()) {
          const request = makeRequest(`r${index}`, { ...made, clock });
          void runner.run(document, request).then((outcome) => {
            results.push({ request, outcome });
          });
          await advance(clock, made.gapMs);
          runner.updateConcurrency();
        }
        await advance(clock, 13_000);
        assert.is(results.length, planned.length, "a request has no outcome");
        assert.ok(
          backends.peak <= SLOTS,
          `${backends.peak} at one server`,
        );
        for (const { request, outcome } of results) {
          const runs = backends.runs.get(request.id) ?? 0;
          kinds[outcome.kind] = (kinds[outcome.kind] ?? 0) + 1;
          if (!request.requestClass.idempotent) assert.ok(runs <= 1);
          if (outcome.kind === "not_run") assert.is(runs, 0);
          if (outcome.kind === "answer") {
            assert.is(outcome.answer.body.toString(), request.id);
          }
        }
        for (const state of set.servers.values()) assert.is(state.inFlight, 0);
        requests += planned.length;
      },
    ),
    { seed: SEED, numRuns: 80 },
  );
  console.log(`${requests} requests: ${JSON.stringify(kinds)}`);
  assert.ok(kinds.answer > 0 && kinds.not_run > 0 && kinds.unknown > 0);
});

test("a request that cannot be answered in time is refused at arrival", async () => {
  const { clock, runner } = createTestRunner(() => "answer");
  const outcomes: (Outcome["kind"] | "waiting")[] = [];
  for (let index = 0; index < 60; index++) {
    outcomes.push("waiting");
    const request = makeRequest(`r${index}`, {
      clock,
      idempotent: true,
      timeMs: 300,
    });
    void runner.run(document, request).then(({ kind }) => {
      outcomes[index] = kind;
    });
  }
  for (let count = 0; count < 8; count++) await Promise.resolve();
  const refused = outcomes.filter((kind) => kind === "not_run").length;
  assert.ok(refused > 20, `${refused} refused at once`);
  await advance(clock, 2_000);
  assert.not.ok(outcomes.includes("waiting"));
});

test("a queued request whose caller disconnects is not run", async () => {
  const { clock, runner, backends } = createTestRunner(() => "answer");
  const options = { clock, idempotent: true, timeMs: 900 };
  for (let index = 0; index < 9; index++) {
    void runner.run(document, makeRequest(`r${index}`, options));
  }
  const disconnect = new AbortController();
  const request = {
    ...makeRequest("late", options),
    signal: disconnect.signal,
  };
  const run = runner.run(document, request);
  disconnect.abort();
  assert.is((await run).kind, "not_run");
  await advance(clock, 2_000);
  assert.is(backends.runs.get("late"), undefined);
});

test("a request that crashed three servers is not sent to further ones", async () => {
  const { clock, runner, backends } = createTestRunner(() => "crash_after");
  for (let index = 0; index < 10; index++) {
    const options = { clock, idempotent: true, timeMs: 900 };
    const request = { ...makeRequest(`r${index}`, options), path: "/poison" };
    const run = runner.run(document, request);
    await advance(clock, 2_000);
    const { kind } = await run;
    assert.is(kind, index < 2 ? "unknown" : "not_run");
  }
  const runs = [...backends.runs.values()].reduce((sum, count) => sum + count);
  assert.is(runs, 3);
});

test("a server marked as leaving gets no new requests", async () => {
  const { clock, runner, backends, set } = createTestRunner(() => "answer");
  markLeaving(set.servers.get("s-0")!, "document", 0);
  runner.updateConcurrency();
  const options = { clock, idempotent: true, timeMs: 900 };
  const runs = Array.from(
    { length: 10 },
    (_, index) => runner.run(document, makeRequest(`r${index}`, options)),
  );
  await advance(clock, 2_000);
  await Promise.all(runs);
  assert.is(backends.inFlight.get("s-0"), undefined);
});

/** Runs requests one at a time, and counts those that reached each server. */
async function countArrivals(mode: ServerBehavior, requests: number) {
  const { clock, runner, backends } = createTestRunner(() => mode);
  const options = { clock, idempotent: true, timeMs: 900 };
  for (let index = 0; index < requests; index++) {
    const run = runner.run(document, makeRequest(`r${index}`, options));
    await advance(clock, 1_000);
    await run;
  }
  return [...backends.arrivals.values()];
}

test("a server whose answer reports that it is leaving gets no new requests", async () => {
  for (const arrivals of await countArrivals("answer_leaving", 12)) {
    assert.is(arrivals, 1);
  }
});

test("a server that asks for a backoff gets no requests during it", async () => {
  for (const arrivals of await countArrivals("shed_with_backoff", 3)) {
    assert.is(arrivals, 1);
  }
});

test.run();
