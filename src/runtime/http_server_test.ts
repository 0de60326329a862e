/**
 * Tests of graceful shutdown of HTTP servers.
 */
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { request } from "undici";
import { createRouter, type HttpServer, listen } from "./http_server.ts";

const test = suite<{ http: HttpServer; finish: () => void }>("http server");

test.before.each(async (context) => {
  const router = createRouter();
  const finished = new Promise<void>((resolve) => context.finish = resolve);
  router.get("/slow", async (_request, response) => {
    await finished;
    response.end("answer");
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

test.run();
