import { Buffer } from "node:buffer";
import { connect } from "node:net";
import process from "node:process";
import fc from "fast-check";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { request } from "undici";
import { createSystemClock } from "../runtime/clock.ts";
import { splitAddress } from "../runtime/address.ts";
import { makeSmallDeployment, pickAddressBase, waitUntil } from "./fixture.ts";
import { type RunningDeployment, startDeployment } from "./in_process.ts";

const SEED = 20261202;
const clock = createSystemClock();

interface Context {
  deployment: RunningDeployment;
  steer: string;
  entry: string;
}

const test = suite<Context>("callers' address");

test.before(async (context) => {
  const deployment = makeSmallDeployment();
  context.deployment = await startDeployment(
    deployment,
    clock,
    pickAddressBase(),
  );
  context.steer = context.deployment.files.load.steers[0].caller;
  context.entry = context.steer.replace(":7100", ":7200");
  await waitUntil(async () => {
    const url = `http://${context.entry}/v1/services/enrol/entries/17`;
    const response = await request(url);
    await response.body.dump();
    return response.statusCode === 200;
  });
});

test.after(({ deployment }) => deployment.stop());

interface TestRequest {
  method?: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
}

async function sendRequest(
  address: string,
  { method, path, headers, body }: TestRequest,
) {
  const response = await request(`http://${address}${path}`, {
    method: (method ?? "GET") as "GET",
    headers,
    body,
  });
  const text = await response.body.text();
  return { status: response.statusCode, headers: response.headers, text };
}

const lookups: [string, string, number, RegExp][] = [
  ["an unknown service", "/v1/lookup/none?client=10.1.0.1", 404, /"none"/],
  ["a bad client", "/v1/lookup/enrol?client=herder", 400, /IPv4/],
  [
    "a client of no block",
    "/v1/lookup/enrol?client=8.8.8.8",
    404,
    /8\.8\.8\.8/,
  ],
  ["another address", "/v1/dump", 404, /No resource/],
];

for (const [name, path, status, detail] of lookups) {
  test(`a look-up with ${name} is refused: ${status}`, async ({ steer }) => {
    const answer = await sendRequest(steer, { path });
    assert.is(answer.status, status);
    assert.is(answer.headers["content-type"], "application/problem+json");
    assert.match(JSON.parse(answer.text).detail, detail);
  });
}

const SERVICE_PATH = "/v1/services/enrol";
const post = { method: "POST", path: `${SERVICE_PATH}/entries`, body: "x" };
const requests: [string, TestRequest, number, RegExp][] = [
  ["no key", post, 400, /Idempotency-Key/],
  [
    "a malformed key",
    { ...post, headers: { "idempotency-key": "17" } },
    400,
    /Idempotency-Key/,
  ],
  [
    "a bad deadline",
    {
      path: `${SERVICE_PATH}/a`,
      headers: { "hawthorngw-deadline-ms": "soon" },
    },
    400,
    /hawthorngw-deadline-ms/,
  ],
  [
    "a malformed id",
    {
      path: `${SERVICE_PATH}/a`,
      headers: { "hawthorngw-request-id": "a b" },
    },
    400,
    /request-id/,
  ],
  ["an unknown service", { path: "/v1/services/none/a" }, 404, /"none"/],
  [
    "a method of no class",
    { method: "DELETE", path: `${SERVICE_PATH}/a` },
    404,
    /No class/,
  ],
  [
    "a body too large",
    {
      ...post,
      body: "x".repeat(1_100_000),
      headers: { "idempotency-key": "vm.1.1.aaaaaaaa" },
    },
    413,
    /larger than 1048576/,
  ],
];

for (const [name, input, status, detail] of requests) {
  test(`a request with ${name} is refused: ${status}`, async ({ entry }) => {
    const answer = await sendRequest(entry, input);
    assert.is(answer.status, status, answer.text);
    const problem = JSON.parse(answer.text);
    assert.is(problem.outcome, "not_run");
    assert.match(problem.detail, detail);
  });
}

test("a key of a process that is gone gives an unknown outcome and Retry-After", async ({ entry }) => {
  const epoch = Math.floor(Date.now() / 60_000);
  const key = `thies-1-a.1.${epoch}.aaaaaaaa`;
  const answer = await sendRequest(entry, {
    ...post,
    headers: { "idempotency-key": key },
  });
  assert.is(answer.status, 504);
  assert.is(JSON.parse(answer.text).outcome, "unknown");
  assert.ok(Number(answer.headers["retry-after"]) >= 1);
});

for (const [name, port] of [["peer", 1], ["operator", 2]] as const) {
  test(`the ${name} address needs its key`, async ({ entry }) => {
    const { host, port: callerPort } = splitAddress(entry);
    const address = `${host}:${callerPort + port}`;
    const path = port === 1 ? "/v1/handover" : "/v1/dump";
    const method = port === 1 ? "POST" : "GET";
    assert.is((await sendRequest(address, { method, path })).status, 401);
    const wrong = { "hawthorngw-key": "x" };
    const answer = await sendRequest(address, { method, path, headers: wrong });
    assert.is(answer.status, 401);
  });
}

test("a caller that sends its request too slowly is cut off", async ({ entry }) => {
  const { host, port } = splitAddress(entry);
  const answer = await new Promise<string>((resolve) => {
    let received = "";
    const socket = connect(port, host, () => socket.write("GET /v1/ser"));
    const timer = clock.every(200, () => socket.write("v"));
    socket.on("data", (chunk) => received += chunk.toString());
    socket.on("error", () => {});
    socket.on("close", () => {
      timer.cancel();
      resolve(received);
    });
  });
  assert.match(answer, /^HTTP\/1\.1 408 /);
});

/** Sends bytes and waits until the connection is closed, at most 300 ms. */
function sendRaw(address: string, bytes: Uint8Array): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect(port, host, () => socket.end(bytes));
    socket.on("data", () => {});
    socket.on("error", () => resolve());
    socket.on("close", () => resolve());
    clock.after(300, () => socket.destroy());
  });
}

test("malformed input neither stops an entry nor grows its memory without bound", async ({ entry }) => {
  const line = fc.constantFrom(
    "GET /v1/services/enrol/a HTTP/1.1\r\nhost: x\r\n\r\n",
    "POST /v1/services/enrol/entries HTTP/1.1\r\nhost: x\r\n" +
      "content-length: 99\r\n\r\nshort",
    "GET /v1/services/%zz/a HTTP/1.1\r\nhost: x\r\n\r\n",
    `GET /v1/lookup/${"x".repeat(20_000)} HTTP/1.1\r\n\r\n`,
  );
  const before = process.memoryUsage().heapUsed;
  await fc.assert(
    fc.asyncProperty(
      fc.oneof(
        fc.uint8Array({ maxLength: 300 }),
        fc.record({ line, at: fc.nat(80), byte: fc.nat(255) })
          .map(({ line: text, at, byte }) => {
            const bytes = Buffer.from(text);
            bytes[at % bytes.length] = byte;
            return new Uint8Array(bytes);
          }),
      ),
      async (bytes) => await sendRaw(entry, bytes),
    ),
    { seed: SEED, numRuns: 200 },
  );
  const answer = await sendRequest(entry, {
    path: `${SERVICE_PATH}/entries/17`,
  });
  assert.is(answer.status, 200);
  const grownBytes = process.memoryUsage().heapUsed - before;
  assert.ok(grownBytes < 100_000_000, `grew by ${grownBytes} bytes`);
});

test.run();
