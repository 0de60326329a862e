import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { HEADERS } from "../forwarding/types.ts";
import type { LookupAnswer } from "../lookup/types.ts";
import {
  ENDLESS_ANSWERS,
  startEndlessServer,
} from "../standin/endless_server.ts";
import { listHeadCuts, startCutServer } from "../standin/cut_server.ts";
import {
  startStatusServer,
  UNDEFINED_STATUSES,
} from "../standin/status_server.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { type Call, type Caller, createCaller } from "./mod.ts";

interface Context {
  servers: Server[];
  callers: Caller[];
}

const test = suite<Context>("callers' library");

test.before.each((context) => {
  context.servers = [];
  context.callers = [];
});

test.after.each(async ({ servers, callers }) => {
  await Promise.all(callers.map((caller) => caller.close()));
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

async function serve(
  { servers }: Context,
  listener: RequestListener,
): Promise<string> {
  const server = createServer(listener).listen(0, "127.0.0.1");
  servers.push(server);
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function startCaller({ callers }: Context, ...steers: string[]): Caller {
  const caller = createCaller({ steers });
  callers.push(caller);
  return caller;
}

function makeLookupAnswer(...addresses: string[]): LookupAnswer {
  return {
    service: "s",
    clientBlock: "10.0.0.0/24",
    clientRegion: "a",
    ttlMs: 2_000,
    planNumber: 1,
    configNumber: 1,
    entries: addresses.map((address, index) => ({
      id: `vm-${index}`,
      address,
      failureDomain: "a1",
      region: "a",
      weight: 1,
      keyPrefix: "vm.1.1",
    })),
  };
}

/** Starts a steer that gives each look-up the same answer. */
function serveLookups(context: Context, text: string): Promise<string> {
  return serve(context, (_request, response) => response.end(text));
}

/** Starts an entry that answers each request with "ok". */
function serveRequests(context: Context): Promise<string> {
  return serve(context, (request, response) => {
    const id = request.headers[HEADERS.requestId] as string;
    response.setHeader(HEADERS.requestId, id);
    response.setHeader(HEADERS.outcome, "answer");
    response.end("ok");
  });
}

const call: Call = {
  service: "s",
  method: "GET",
  path: "/x",
  // An answer without end would be read until this.
  deadlineMs: 20_000,
  idempotent: true,
  clientIp: "10.0.0.1",
};

for (const [name, answer] of Object.entries(ENDLESS_ANSWERS)) {
  test(`a look-up whose answer has ${name} without end is sent to the next steer`, async (context) => {
    const faulty = await startEndlessServer(answer);
    const entry = await serveRequests(context);
    const sound = await serveLookups(
      context,
      JSON.stringify(makeLookupAnswer(entry)),
    );
    const result = await startCaller(context, faulty.address, sound).call(call);
    const sentBytes = faulty.getSentBytes();
    faulty.close();
    assert.is(result.kind, "answer");
    assert.ok(sentBytes < 64_000_000, `${sentBytes} bytes were sent`);
  });

  test(`an entry's answer with ${name} without end is not read until the deadline`, async (context) => {
    const entry = await startEndlessServer(answer);
    const steer = await serveLookups(
      context,
      JSON.stringify(makeLookupAnswer(entry.address)),
    );
    const caller = startCaller(context, steer);
    const startedMs = performance.now();
    const result = await caller.call(call);
    const sentBytes = entry.getSentBytes();
    entry.close();
    assert.is(result.kind, "unknown");
    assert.ok(performance.now() - startedMs < call.deadlineMs);
    assert.ok(sentBytes < 64_000_000, `${sentBytes} bytes were sent`);
  });
}

const oddAnswers: [string, unknown][] = [
  ["null", null],
  ["no entries", { ...makeLookupAnswer(), entries: undefined }],
  ["a port out of range", makeLookupAnswer("127.0.0.1:65536")],
  ["an address with a path", makeLookupAnswer("127.0.0.1:1/x")],
  ["an address without a port", makeLookupAnswer("127.0.0.1:")],
  ["an address that is no string", makeLookupAnswer(7 as unknown as string)],
];

for (const [name, odd] of oddAnswers) {
  test(`a look-up's answer with ${name} is not used`, async (context) => {
    const faulty = await serveLookups(context, JSON.stringify(odd));
    const result = await startCaller(context, faulty).call({
      ...call,
      idempotent: false,
    });
    assert.is(result.kind, "not_run");
    const entry = await serveRequests(context);
    const sound = await serveLookups(
      context,
      JSON.stringify(makeLookupAnswer(entry)),
    );
    const caller = startCaller(context, faulty, sound);
    assert.is((await caller.call(call)).kind, "answer");
  });
}

test("an answer to a look-up is not used for ever", async (context) => {
  let lookups = 0;
  const entry = await serveRequests(context);
  const answer = JSON.stringify(makeLookupAnswer(entry));
  const steer = await serve(context, (_request, response) => {
    lookups++;
    response.end(answer.replace('"ttlMs":2000', '"ttlMs":1e300'));
  });
  let nowMs = 0;
  const caller = createCaller({
    steers: [steer],
    random: () => 0,
    clock: { ...createSystemClock(), monotonicMs: () => nowMs },
  });
  context.callers.push(caller);
  await caller.call(call);
  nowMs = 61_000;
  await caller.call(call);
  assert.is(lookups, 2);
});

test("look-ups end with the deadline of their call", async (context) => {
  const silent = await serve(context, () => {});
  const caller = startCaller(context, silent, silent, silent, silent);
  const startedMs = performance.now();
  const result = await caller.call({ ...call, deadlineMs: 100 });
  assert.is(result.kind, "not_run");
  // Each steer had a second.
  assert.ok(performance.now() - startedMs < 1_000);
});

for (const deadlineMs of [2 ** 31, 2 ** 40]) {
  // Node's timers fire at once, or are refused, above 2^31 - 1 ms.
  test(`a deadline in ${deadlineMs} ms is no timeout at once`, async (context) => {
    const entry = await serveRequests(context);
    const steer = await serveLookups(
      context,
      JSON.stringify(makeLookupAnswer(entry)),
    );
    const result = await startCaller(context, steer)
      .call({ ...call, deadlineMs });
    assert.is(result.kind, "answer");
  });
}

test("a deadline that is no number runs nothing", async (context) => {
  const entry = await serveRequests(context);
  const steer = await serveLookups(
    context,
    JSON.stringify(makeLookupAnswer(entry)),
  );
  const result = await startCaller(context, steer)
    .call({ ...call, deadlineMs: NaN });
  assert.is(result.kind, "not_run");
});

test("an odd refusal of an entry is a result", async (context) => {
  const entry = await serve(context, (_request, response) => {
    response.setHeader("retry-after", "1e999");
    response.setHeader(HEADERS.outcome, "not_run");
    response.end("null");
  });
  const steer = await serveLookups(
    context,
    JSON.stringify(makeLookupAnswer(entry)),
  );
  const result = await startCaller(context, steer).call(call);
  assert.is(result.kind, "not_run");
  assert.is(result.kind === "not_run" && result.retryAfterS, 600);
});

test("an entry's answer that is cut in its head is not passed off as whole", async (context) => {
  const makeHeaders = () => `${HEADERS.outcome}: answer\r\n`;
  const entry = await startCutServer(makeHeaders);
  const steer = await serveLookups(
    context,
    JSON.stringify(makeLookupAnswer(entry.address)),
  );
  const caller = startCaller(context, steer);
  for (const cut of listHeadCuts(makeHeaders, 3)) {
    entry.setCut(cut);
    const { kind } = await caller.call(call);
    assert.is(kind, "unknown", JSON.stringify(cut));
  }
  entry.setCut(undefined);
  assert.is((await caller.call(call)).kind, "answer");
  entry.close();
});

test("an entry's answer with an undefined status is not passed off as an answer", async (context) => {
  const entry = await startStatusServer(() => `${HEADERS.outcome}: answer\r\n`);
  const steer = await serveLookups(
    context,
    JSON.stringify(makeLookupAnswer(entry.address)),
  );
  const caller = startCaller(context, steer);
  for (const status of UNDEFINED_STATUSES) {
    entry.setStatus(status);
    assert.is((await caller.call(call)).kind, "unknown", status);
  }
  entry.setStatus("200");
  assert.is((await caller.call(call)).kind, "answer");
  entry.close();
});

test.run();
