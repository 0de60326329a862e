import { Buffer } from "node:buffer";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { serviceSchema } from "../config/schema.ts";
import type { ControlAgent } from "../control/types.ts";
import { createBlockTable } from "../lookup/blocks.ts";
import { createByteBudget } from "../runtime/byte_budget.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { createHttpClient, type HttpClient } from "../runtime/http_client.ts";
import {
  createRouter,
  type HttpServer,
  listen,
} from "../runtime/http_server.ts";
import type { EntryStats } from "./entry_stats.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import { addCallerRoutes } from "./routes.ts";
import type { ForwardRequest, Outcome } from "./types.ts";

const document = serviceSchema.parse({
  service: "s",
  regions: ["a"],
  backendServers: [{
    id: "s-1",
    failureDomain: "a1",
    address: "127.0.0.1:1",
    slots: 2,
  }],
  shiftCap: { maxShare: 0.1, windowS: 10 },
  classes: [{ name: "read", methods: ["POST"], idempotent: true }],
});

interface Context {
  server: HttpServer;
  client: HttpClient;
  /** Requests in progress, and what ends them. */
  pending: { request: ForwardRequest; end: (outcome: Outcome) => void }[];
  /** Time for which requests wait to be read. */
  readDelayMs: number;
}

const test = suite<Context>("callers' requests");

test.before.each(async (context) => {
  context.pending = [];
  context.readDelayMs = 0;
  const router = createRouter();
  const config = { services: new Map([["s", { document }]]) };
  const forwarder: Partial<RequestForwarder> = {
    handle: (_document, request) =>
      new Promise((end) => void context.pending.push({ request, end })),
  };
  addCallerRoutes(router, {
    agent: { self: { region: "a" }, config: () => config } as ControlAgent,
    forwarder: forwarder as RequestForwarder,
    stats: { recordArrival() {}, recordOutcome() {} } as unknown as EntryStats,
    blocks: () => createBlockTable([]),
    clock: createSystemClock(),
    bodies: createByteBudget(2_500),
    readDelay: { getMs: () => context.readDelayMs },
  });
  context.server = await listen(router, "127.0.0.1:0");
  context.client = createHttpClient({
    maxResponseBytes: 10_000,
    connections: 8,
    connectTimeoutMs: 1_000,
  });
});

test.after.each(async ({ server, client }) => {
  await client.close();
  server.server.closeAllConnections();
  await server.close();
});

function post({ client, server }: Context, bytes: number) {
  return client.request({
    origin: `http://${server.address}`,
    path: "/v1/services/s/x",
    method: "POST",
    body: Buffer.alloc(bytes),
    signal: AbortSignal.timeout(10_000),
  });
}

async function waitForPending({ pending }: Context, count: number) {
  while (pending.length < count) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test("bodies of waiting requests don't exceed the memory for them", async (context) => {
  const answers = [post(context, 1_000), post(context, 1_000)];
  await waitForPending(context, 2);
  const refused = await post(context, 1_000);
  assert.is(refused.status, 503);
  const problem = JSON.parse(refused.body.toString());
  assert.is(problem.outcome, "not_run");
  assert.is(refused.headers["retry-after"], "1");
  const small = post(context, 0);
  await waitForPending(context, 3);
  for (const { end } of context.pending) {
    end({ kind: "unknown", reason: "test", retryAfterS: 1 });
  }
  for (const answer of [...answers, small]) {
    assert.is((await answer).status, 504);
  }
  const next = post(context, 1_000);
  await waitForPending(context, 4);
  context.pending[3].end({ kind: "unknown", reason: "test", retryAfterS: 1 });
  assert.is((await next).status, 504);
});

test("a caller that leaves frees the memory of its body", async (context) => {
  const left = post(context, 2_000);
  left.catch(() => {});
  await waitForPending(context, 1);
  await context.client.close();
  const { signal } = context.pending[0].request;
  while (!signal.aborted) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  context.client = createHttpClient({
    maxResponseBytes: 10_000,
    connections: 8,
    connectTimeoutMs: 1_000,
  });
  const next = post(context, 2_000);
  await waitForPending(context, 2);
  context.pending[1].end({ kind: "unknown", reason: "test", retryAfterS: 1 });
  assert.is((await next).status, 504);
});

test("a request that a busy entry reads late has only the rest of its time", async (context) => {
  const { deadlineMs } = document.classes[0];
  context.readDelayMs = deadlineMs - 100;
  const answer = post(context, 0);
  await waitForPending(context, 1);
  const [{ request, end }] = context.pending;
  assert.ok(request.deadlineMs - performance.now() <= 100);
  end({ kind: "unknown", reason: "test", retryAfterS: 1 });
  await answer;
  context.readDelayMs = deadlineMs;
  const refused = await post(context, 0);
  assert.is(refused.status, 503);
  assert.is(JSON.parse(refused.body.toString()).outcome, "not_run");
});

test.run();
