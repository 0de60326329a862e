import type { Socket } from "node:net";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createAcceptDelay } from "./accept_delay.ts";
import { createFakeClock } from "./clock.ts";

/** A measurement whose polls end when the test says so. */
function createTestDelay() {
  const clock = createFakeClock();
  const read = { delayMs: 0 };
  let callbacks: (() => void)[] = [];
  const delay = createAcceptDelay({
    clock,
    readDelay: { getMs: () => read.delayMs },
    afterPoll: (run) => void callbacks.push(run),
  });
  const endPoll = () => {
    const due = callbacks;
    callbacks = [];
    due.forEach((run) => run());
  };
  const accept = () => {
    const socket = {} as Socket;
    delay.recordAccepted(socket);
    return socket;
  };
  return { clock, delay, read, accept, endPoll };
}

test("a request of a connection that is accepted at once has not waited", () => {
  const { delay, accept, endPoll } = createTestDelay();
  const socket = accept();
  assert.is(delay.getMs(socket), 0);
  endPoll();
  assert.is(delay.getMs(socket), 0);
});

test("after a blocked event loop, the first request has waited as its connection has", () => {
  const { clock, delay, read, accept, endPoll } = createTestDelay();
  read.delayMs = 900;
  const socket = accept();
  assert.is(delay.getMs(socket), 900);
  read.delayMs = 0;
  endPoll();
  clock.advance(5);
  assert.is(delay.getMs(socket), 905, "read by the poll after the accept");
  endPoll();
  assert.is(delay.getMs(socket), 0, "read later, so it came later");
});

test.run();
