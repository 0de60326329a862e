import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer as createHttpServer,
  type RequestListener,
  type Server,
} from "node:http";
import { type AddressInfo, createServer } from "node:net";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { type ServiceDocument, serviceSchema } from "../config/schema.ts";
import { peerMessageSchema } from "../control/messages.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import {
  ENDLESS_ANSWERS,
  startEndlessServer,
} from "../standin/endless_server.ts";
import { listHeadCuts, startCutServer } from "../standin/cut_server.ts";
import {
  startStatusServer,
  UNDEFINED_STATUSES,
} from "../standin/status_server.ts";
import {
  type AnswerMode,
  type BackendFaults,
  type StandinBackend,
  startStandinBackend,
} from "../standin/backend_server.ts";
import { HttpBackendClient } from "./backend_client.ts";
import { type ExchangeResult, type ForwardRequest, HEADERS } from "./types.ts";

const clock = createSystemClock();

interface Context {
  backend: StandinBackend;
  client: HttpBackendClient;
  document: ServiceDocument;
}

const test = suite<Context>("backend client");

test.before.each(async (context) => {
  context.backend = await startStandinBackend(
    {
      id: "s-1",
      service: "s",
      failureDomain: "a1",
      region: "a",
      address: "127.0.0.1:0",
      slots: 2,
      serviceMs: 5,
    },
    clock,
    createRandom(1),
  );
  context.client = new HttpBackendClient();
  context.document = serviceSchema.parse({
    service: "s",
    regions: ["a"],
    backendServers: [{
      id: "s-1",
      failureDomain: "a1",
      address: context.backend.settings.address,
      slots: 2,
    }],
    shiftCap: { maxShare: 0.1, windowS: 10 },
    classes: [{ name: "read", methods: ["GET"], idempotent: true }],
  });
});

test.after.each(async ({ backend, client }) => {
  await client.close();
  await backend.stop();
});

function send(
  { client, document }: Context,
  id = "r1",
  signal = new AbortController().signal,
  path = "/x?y=1",
): Promise<ExchangeResult> {
  const request: ForwardRequest = {
    id,
    service: "s",
    requestClass: document.classes[0],
    method: "GET",
    path,
    contentType: undefined,
    body: Buffer.alloc(0),
    deadlineMs: Infinity,
    key: undefined,
    block: "10.0.0.0/24",
    callerRegion: "a",
    hops: 0,
    signal,
  };
  const server = document.backendServers[0];
  return client.exchange({
    document,
    server,
    request,
    remainingMs: 1_000,
    signal,
  });
}

/** Lists a server of its own in place of the stand-in. */
async function replaceServer(
  context: Context,
  listener: RequestListener,
): Promise<Server> {
  const server = createHttpServer(listener).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  context.document.backendServers[0].address = `127.0.0.1:${port}`;
  return server;
}

const modes: [AnswerMode, ExchangeResult["kind"], number][] = [
  ["whole", "answer", 1],
  ["die_before", "failed", 0],
  ["die_after", "failed", 1],
  ["truncate", "failed", 1],
  ["crossed", "failed", 1],
  ["error", "answer", 1],
  ["shed", "shed", 0],
];

for (const [mode, expected, runs] of modes) {
  test(`answer mode ${mode}: ${expected}, ${runs} runs`, async (context) => {
    const { faults, records } = context.backend;
    Object.assign(faults, { answerMode: mode, answerModeCount: 1 });
    const result = await send(context);
    assert.is(result.kind, expected, JSON.stringify(result));
    assert.is(records.length, runs);
    assert.is((await send(context, "r2")).kind, "answer");
  });
}

for (const lengthHeader of ["", "content-length: 100\r\n"]) {
  const kind = lengthHeader === "" ? "without" : "with";
  test(`an answer ${kind} a length that is reset is not passed off as whole`, async (context) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write(
          `HTTP/1.1 200 OK\r\n${lengthHeader}connection: close\r\n\r\npart`,
        );
        setTimeout(() => socket.resetAndDestroy(), 50);
      });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    context.document.backendServers[0].address = `127.0.0.1:${port}`;
    const result = await send(context);
    server.close();
    assert.is(result.kind, "failed");
  });
}

test("an answer without a length that ends with its connection is whole", async (context) => {
  const server = createServer((socket) => {
    socket.once("data", () => {
      socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole");
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  context.document.backendServers[0].address = `127.0.0.1:${port}`;
  const result = await send(context);
  server.close();
  assert.is(result.kind === "answer" && `${result.answer.body}`, "whole");
});

test("concurrent answers are complete and belong to their requests", async (context) => {
  const results = await Promise.all(
    ["a", "b", "c", "d"].map((id) => send(context, id)),
  );
  results.forEach((result, index) => {
    assert.is(result.kind, "answer");
    if (result.kind !== "answer") return;
    const body = JSON.parse(result.answer.body.toString());
    assert.is(body.requestId, "abcd"[index]);
    assert.is(body.path, "/x?y=1");
  });
});

test("a refusal by a leaving server is reported as leaving", async (context) => {
  context.backend.faults.leaving = true;
  assert.equal(await send(context), { kind: "shed", leaving: true });
});

test("a status listed in shedStatuses counts as a refusal", async (context) => {
  context.document.shedStatuses = [500];
  const { faults } = context.backend;
  Object.assign(faults, { answerMode: "error", answerModeCount: 1 });
  assert.equal(await send(context), { kind: "shed", leaving: false });
});

test("an exchange with a stopped server is reported as not sent", async (context) => {
  await context.backend.stop();
  assert.is((await send(context)).kind, "not_sent");
});

test("cancelling an exchange also ends the request at the server", async (context) => {
  context.backend.faults.slowFactor = 1_000;
  const cancel = new AbortController();
  const sent = send(context, "r1", cancel.signal);
  while (context.backend.inFlight() === 0) {
    await new Promise<void>((resolve) => clock.after(5, resolve));
  }
  cancel.abort();
  assert.is((await sent).kind, "failed");
  while (context.backend.inFlight() > 0) {
    await new Promise<void>((resolve) => clock.after(5, resolve));
  }
});

const probes: [string, Partial<BackendFaults>, string, number][] = [
  ["serving", {}, "healthy", 0],
  ["draining", { healthDraining: true }, "draining", 0],
  ["reporting a wrong utilization", { reportedUse: 0.9 }, "healthy", 0.9],
];

for (const [name, faults, state, reportedUse] of probes) {
  test(`probe of a server ${name}`, async (context) => {
    Object.assign(context.backend.faults, faults);
    const server = context.document.backendServers[0];
    assert.equal(await context.client.probe(server), {
      serverId: "s-1",
      state,
      reportedUse,
      ageMs: 0,
    });
  });
}

for (const [name, answer] of Object.entries(ENDLESS_ANSWERS)) {
  test(`an answer with ${name} without end fails at once`, async (context) => {
    const server = await startEndlessServer(answer);
    context.document.backendServers[0].address = server.address;
    try {
      // It would be read until this.
      const signal = AbortSignal.timeout(20_000);
      const result = await send(context, "r1", signal);
      assert.is(result.kind, "failed");
      assert.not.ok(signal.aborted, "read until the deadline");
      const sentBytes = server.getSentBytes();
      assert.ok(sentBytes < 64_000_000, `${sentBytes} bytes were sent`);
    } finally {
      server.close();
    }
  });
}

for (const [name, answer] of Object.entries(ENDLESS_ANSWERS)) {
  test(`a probe answered with ${name} without end counts as failing`, async (context) => {
    const server = await startEndlessServer(answer);
    const [listed] = context.document.backendServers;
    listed.address = server.address;
    const report = await context.client.probe(listed);
    const sentBytes = server.getSentBytes();
    server.close();
    assert.is(report.state, "failing");
    assert.ok(sentBytes < 64_000_000, `${sentBytes} bytes were sent`);
  });
}

test("the path of a request reaches the server as it is", async (context) => {
  let path: string | undefined;
  const server = await replaceServer(context, (request, response) => {
    path = request.url;
    response.end();
  });
  await send(context, "r1", undefined, "/a/../b//c?d=|");
  server.close();
  assert.is(path, "/a/../b//c?d=|");
});

const unusableReports: [string, string][] = [
  ["an infinite utilization", '{"use": 1e999}'],
  ["a utilization that is no number", '{"use": "much"}'],
  ["a nested utilization", `{"use": ${"[".repeat(900)}${"]".repeat(900)}}`],
];

for (const [name, body] of unusableReports) {
  // Entries close the link to a peer that sends such a number.
  test(`a report of ${name} is not passed on`, async (context) => {
    const server = await replaceServer(context, (_request, response) => {
      response.end(body);
    });
    const [listed] = context.document.backendServers;
    const report = await context.client.probe(listed);
    server.close();
    assert.equal(report.reportedUse, 0);
    assert.ok(
      peerMessageSchema.safeParse({ kind: "health", reports: [report] })
        .success,
    );
  });
}

test("a report of many megabytes counts as failing", async (context) => {
  const server = await replaceServer(context, (_request, response) => {
    response.end(`{"x": "${"a".repeat(3_000_000)}"}`);
  });
  const [listed] = context.document.backendServers;
  const report = await context.client.probe(listed);
  server.close();
  assert.is(report.state, "failing");
});

test("probe of a stopped server: failing", async (context) => {
  await context.backend.stop();
  const server = context.document.backendServers[0];
  assert.is((await context.client.probe(server)).state, "failing");
});

test("an answer that is cut in its head is not passed off as whole", async (context) => {
  const makeHeaders = () => `${HEADERS.requestId}: r1\r\n`;
  const server = await startCutServer(makeHeaders);
  context.document.backendServers[0].address = server.address;
  for (const cut of listHeadCuts(makeHeaders, 3)) {
    server.setCut(cut);
    const result = await send(context);
    assert.is(result.kind, "failed", JSON.stringify({ cut, result }));
  }
  server.setCut(undefined);
  assert.is((await send(context)).kind, "answer");
  server.close();
});

// Guards against callers that get a status which no caller knows.
test("an answer with an undefined status is not passed off as an answer", async (context) => {
  const server = await startStatusServer(() => `${HEADERS.requestId}: r1\r\n`);
  context.document.backendServers[0].address = server.address;
  for (const status of UNDEFINED_STATUSES) {
    server.setStatus(status);
    assert.is((await send(context)).kind, "failed", status);
    const report = await context.client.probe(
      context.document.backendServers[0],
    );
    assert.is(report.state, "failing", status);
  }
  server.setStatus("200");
  assert.is((await send(context)).kind, "answer");
  server.close();
});

test.run();
