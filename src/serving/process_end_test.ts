import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeRoute } from "../gateway/fixture.ts";
import { computeResponseEndMs, createProcessEnd } from "./process_end.ts";
import type { RequestMetadata } from "./types.ts";

const ARRIVED_AT_MS = 5_000;

function makeMetadata(deadlineMs: number | undefined): RequestMetadata {
  return {
    requestId: "q",
    deadlineMs,
    objectKey: undefined,
    callerKey: undefined,
    apiKey: undefined,
  };
}

test("nothing is refused while no end is set", () => {
  assert.ok(createProcessEnd().isAfter(Number.MAX_SAFE_INTEGER));
});

test("work whose time ends with the process leaves no time for its response", () => {
  const processEnd = createProcessEnd();
  processEnd.schedule(10_000);
  assert.not(processEnd.isAfter(10_000));
  assert.ok(processEnd.isAfter(9_000));
});

test("a stop that begins late does not postpone the end of the process", () => {
  const processEnd = createProcessEnd();
  processEnd.schedule(10_000);
  processEnd.schedule(12_000);
  assert.is(processEnd.getMs(), 10_000);
});

test("a request ends with its route's timeout or its client's deadline", () => {
  const route = makeRoute({ timeoutMs: 1_000 });
  const endMs = (deadlineMs: number | undefined) =>
    computeResponseEndMs(route, makeMetadata(deadlineMs), ARRIVED_AT_MS);
  assert.is(endMs(undefined), 6_000);
  assert.is(endMs(400), 5_400);
  assert.is(endMs(3_000), 6_000);
});

test("a download that outlasts its route's timeout is not cut while it is sent", () => {
  const route = makeRoute({ timeoutMs: 1_000, transfer: "download" });
  const metadata = makeMetadata(3_000);
  assert.is(computeResponseEndMs(route, metadata, ARRIVED_AT_MS), 8_000);
});

test.run();
