/**
 * Tests of graceful shutdown of HTTP servers.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect } from "node:net";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { request } from "undici";
import { waitUntil } from "../deployment/fixture.ts";
import { createFakeClock, createSystemClock, pause } from "./clock.ts";
import {
  createRouter,
  cutRequestsAfter,
  type HttpServer,
  listen,
} from "./http_server.ts";

/** More than the socket buffers hold. */
const LARGE_BYTES = 33_554_432;

const test = suite<{ http: HttpServer; finish: () => void }>("http server");

test.before.each(async (context) => {
  const router = createRouter();
  const finished = new Promise<void>((resolve) => context.finish = resolve);
  router.get("/slow", async (_request, response) => {
    await finished;
    response.end("answer");
  });
  router.get("/started", async (_request, response) => {
    response.flushHeaders();
    await finished;
    response.end("answer");
  });
  router.get("/large", (_request, response) => {
    response.setHeader("connection", "close");
    response.end(Buffer.alloc(LARGE_BYTES));
  });
  context.http = await listen(router, "127.0.0.1:0");
});

test.after.each(({ http }) => http.server.closeAllConnections());

test("a client keeps no connection after a request that began before the stop", async ({ http, finish }) => {
  const begun = new Promise((resolve) => http.server.once("request", resolve));
  const answered = request(`http://${http.address}/slow`);
  await begun;
  http.startClosing();
  finish();
  const { headers, body } = await answered;
  assert.is(headers.connection, "close");
  assert.is(await body.text(), "answer");
  await http.close();
});

for (
  const [state, bytes] of [
    ["sent nothing", ""],
    ["sent a part of its headers", "GET /slow HTTP/1.1\r\nhost:"],
  ]
) {
  test(`a connection that has ${state} doesn't hold the stop`, async ({ http }) => {
    const accepted = once(http.server, "connection");
    const [host, port] = http.address.split(":");
    const socket = connect(Number(port), host);
    socket.resume().write(bytes);
    await accepted;
    let isClosed = false;
    void http.close().then(() => isClosed = true);
    await waitUntil(() => isClosed);
  });
}

test("an answer that was being sent at the stop leaves no connection open", async ({ http, finish }) => {
  const answered = await request(`http://${http.address}/started`);
  http.startClosing();
  let isClosed = false;
  void http.close().then(() => isClosed = true);
  finish();
  assert.is(await answered.body.text(), "answer");
  await waitUntil(() => isClosed);
});

test("an answer that is being sent is not cut by the close", async ({ http }) => {
  const [host, port] = http.address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.write("GET /large HTTP/1.1\r\nhost: test\r\n\r\n");
  await once(http.server, "request");
  const closed = http.close();
  let receivedBytes = 0;
  for await (const chunk of socket) receivedBytes += chunk.length;
  assert.ok(receivedBytes > LARGE_BYTES, `${receivedBytes} bytes`);
  await closed;
});

test("a client that reads no answer doesn't hold the stop", async ({ http }) => {
  const clock = createFakeClock();
  const [host, port] = http.address.split(":");
  const socket = connect(Number(port), host).pause();
  socket.on("error", () => {});
  socket.write("GET /large HTTP/1.1\r\nhost: test\r\n\r\n");
  await once(http.server, "request");
  let isClosed = false;
  cutRequestsAfter([http], clock, 1_000);
  const closed = http.close().then(() => isClosed = true);
  await pause(createSystemClock(), 200);
  assert.not(isClosed, "the answer is still being sent");
  clock.advance(1_000);
  await closed;
});

test.run();
