import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { RequestClass } from "../config/schema.ts";
import {
  ENDLESS_ANSWERS,
  startEndlessServer,
} from "../standin/endless_server.ts";
import {
  startStatusServer,
  UNDEFINED_STATUSES,
} from "../standin/status_server.ts";
import { type HandoverResult, HttpPeerClient } from "./peer_client.ts";
import { type ForwardRequest, HEADERS } from "./types.ts";

interface Context {
  client: HttpPeerClient;
}

const test = suite<Context>("peer client");

test.before.each((context) => {
  context.client = new HttpPeerClient("key", (address) => address);
});

test.after.each(({ client }) => client.close());

const requestClass: RequestClass = {
  name: "read",
  methods: ["GET"],
  pathPrefix: "/",
  weight: 1,
  deadlineMs: 1_000,
  idempotent: true,
};

function handOver(
  { client }: Context,
  address: string,
  // An answer without end would be read until this.
  signal = AbortSignal.timeout(20_000),
): Promise<HandoverResult> {
  const request: ForwardRequest = {
    id: "r1",
    service: "s",
    requestClass,
    method: "GET",
    path: "/x",
    contentType: undefined,
    body: Buffer.alloc(0),
    deadlineMs: Infinity,
    key: undefined,
    block: "10.0.0.0/24",
    callerRegion: "a",
    hops: 0,
    signal,
  };
  return client.handOver({
    address,
    mode: "run",
    request,
    remainingMs: 1_000,
    signal,
  });
}

/** Hands a request over to a peer that answers by `listener`. */
async function handOverTo(
  context: Context,
  listener: RequestListener,
): Promise<HandoverResult> {
  const server = createServer(listener).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const result = await handOver(context, `127.0.0.1:${port}`);
  server.closeAllConnections();
  server.close();
  return result;
}

for (const [name, answer] of Object.entries(ENDLESS_ANSWERS)) {
  test(`a peer that sends ${name} without end fails at once`, async (context) => {
    const server = await startEndlessServer(answer);
    const signal = AbortSignal.timeout(20_000);
    const result = await handOver(context, server.address, signal);
    const sentBytes = server.getSentBytes();
    server.close();
    assert.is(result.kind, "failed");
    assert.not.ok(signal.aborted, "read until the deadline");
    assert.ok(sentBytes < 64_000_000, `${sentBytes} bytes were sent`);
  });
}

for (const retryAfter of ["soon", "-1", "1e999", "99999999999"]) {
  test(`a retry-after of ${retryAfter} is not passed on to callers`, async (context) => {
    const result = await handOverTo(context, (_request, response) => {
      response.setHeader(HEADERS.requestId, "r1");
      response.setHeader(HEADERS.outcome, "not_run");
      response.setHeader("retry-after", retryAfter);
      response.end(JSON.stringify({ detail: "a".repeat(1_000_000) }));
    });
    assert.is(result.kind, "outcome");
    if (result.kind !== "outcome" || result.outcome.kind !== "not_run") return;
    const { reason, retryAfterS } = result.outcome;
    assert.ok(retryAfterS >= 1 && retryAfterS <= 600, `${retryAfterS} s`);
    assert.is(reason.length, 1_000);
  });
}

// Guards against callers that get such a status by way of another entry.
test("an undefined status of another entry is not passed off as an answer", async (context) => {
  const peer = await startStatusServer(() =>
    `${HEADERS.requestId}: r1\r\n${HEADERS.outcome}: answer\r\n`
  );
  for (const status of UNDEFINED_STATUSES) {
    peer.setStatus(status);
    const { kind } = await handOver(context, peer.address);
    assert.is(kind, "failed", status);
  }
  peer.setStatus("200");
  assert.is((await handOver(context, peer.address)).kind, "outcome");
  peer.close();
});

test.run();
