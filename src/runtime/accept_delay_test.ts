import type { Socket } from "node:net";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createAcceptDelay } from "./accept_delay.ts";
import { createFakeClock } from "./clock.ts";

/** A measurement whose polls end when the test says so. */
function createTestDelay(readDelayMs = 0) {
  const clock = createFakeClock();
  let probes = 0;
  let callbacks: (() => void)[] = [];
  const delay = createAcceptDelay({
    clock,
    readDelay: { getMs: () => readDelayMs },
    openProbe: () => void probes++,
    afterPoll: (run) => void callbacks.push(run),
  });
  const endPoll = () => {
    const due = callbacks;
    callbacks = [];
    due.forEach((run) => run());
  };
  const accept = (remoteAddress = "10.0.0.9") => {
    const socket = { localAddress: "10.0.0.1", remoteAddress } as Socket;
    return { socket, isClient: delay.recordAccepted(socket) };
  };
  return { clock, delay, accept, endPoll, countProbes: () => probes };
}

test("a request of a connection that is accepted at once has not waited", () => {
  const { clock, delay, accept, endPoll, countProbes } = createTestDelay();
  for (let index = 0; index < 20; index++) {
    const { socket } = accept();
    assert.is(delay.getMs(socket), 0);
    endPoll();
    clock.advance(30);
    endPoll();
  }
  assert.is(countProbes(), 0);
});

test("connections that every poll accepts may have waited since the first", () => {
  const { clock, delay, accept, endPoll } = createTestDelay();
  for (let index = 0; index < 6; index++) {
    accept();
    endPoll();
    clock.advance(50);
  }
  const { socket } = accept();
  assert.is(delay.getMs(socket), 300);
  endPoll();
  assert.is(delay.getMs(socket), 300, "read by the poll after the accept");
  endPoll();
  assert.is(delay.getMs(socket), 0, "read later, so it came later");
});

test("an own connection shows that those before it have been accepted", () => {
  const { clock, delay, accept, endPoll, countProbes } = createTestDelay();
  for (let index = 0; index < 5; index++) {
    accept();
    endPoll();
    clock.advance(50);
  }
  assert.ok(countProbes() > 0);
  assert.not(accept("10.0.0.1").isClient);
  endPoll();
  clock.advance(50);
  const { socket, isClient } = accept();
  assert.ok(isClient);
  // The first one was opened 100 ms after the queue began to fill.
  assert.is(delay.getMs(socket), 200);
});

test("a poll that accepts none ends the wait", () => {
  const { clock, delay, accept, endPoll } = createTestDelay();
  for (let index = 0; index < 6; index++) {
    accept();
    endPoll();
    clock.advance(50);
  }
  endPoll();
  endPoll();
  assert.is(delay.getMs(accept().socket), 0);
});

test("after a blocked event loop, new connections may have waited all the while", () => {
  const { delay, accept } = createTestDelay(900);
  assert.is(delay.getMs(accept().socket), 900);
});

test.run();
