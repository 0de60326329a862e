import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import type { ReachabilityReport } from "../servers/reachability.ts";
import { makeReachability, makeRegistry } from "./fixture.ts";
import { startReachabilitySharing } from "./server_reachability.ts";

function startSharing() {
  const clock = createFakeClock();
  const reachability = makeReachability(clock, makeRegistry(clock));
  let runningTimers = 0;
  const sent: ReachabilityReport[][] = [];
  const sharing = startReachabilitySharing({
    clock: {
      ...clock,
      every(periodMs, run) {
        const timer = clock.every(periodMs, run);
        runningTimers++;
        return {
          cancel() {
            runningTimers--;
            timer.cancel();
          },
        };
      },
    },
    reachability,
    send: (reports) => void sent.push(reports),
  });
  for (const id of ["8", "9"]) reachability.recordOwn(id, "responded");
  return {
    clock,
    reachability,
    sharing,
    sent,
    countTimers: () => runningTimers,
  };
}

// Guards against timers that wake an idle VM, and against a message per server.
test("reports are collected for 100 ms, and no timer runs without any", () => {
  const { clock, reachability, sent, countTimers } = startSharing();
  assert.is(countTimers(), 0);
  reachability.recordOwn("1", "unreachable");
  assert.is(countTimers(), 1);
  clock.advance(100);
  assert.equal(sent.map(([{ server }]) => server), ["1"]);
  assert.is(countTimers(), 0);
  reachability.recordOwn("1", "responded");
  clock.advance(100);
  assert.is(sent[1][0].news, "responded");
  assert.is(countTimers(), 0);
});

// Guards against a timer that runs on for a report that can't be sent.
test("a VM that reaches no other server stops waiting after 2 s", () => {
  const { clock, reachability, sent, countTimers } = startSharing();
  clock.advance(1_000);
  reachability.recordOwn("1", "unreachable");
  clock.advance(2_200);
  assert.equal(sent, []);
  assert.is(countTimers(), 0);
});

test("nothing is sent after the stop", () => {
  const { clock, reachability, sharing, sent, countTimers } = startSharing();
  sharing.stop();
  reachability.recordOwn("1", "unreachable");
  clock.advance(1_000);
  assert.equal(sent, []);
  assert.is(countTimers(), 0);
});

test.run();
