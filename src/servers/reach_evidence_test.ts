import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createReachEvidence } from "./reach_evidence.ts";

const CONNECT_MS = 400;

function start(countServers = 4) {
  const clock = createFakeClock();
  const evidence = createReachEvidence({
    clock,
    countServers: () => countServers,
  });
  const servers = ["1", "2", "3"].map((id) => makeServer(id));
  /** Lets a probe of a server, or a request's connection, time out. */
  const fail = (id: string, service = "s", isProbe = true) => {
    const startedAtMs = clock.monotonicMs();
    clock.advance(CONNECT_MS);
    evidence.recordConnectFailure(makeServer(id, { service }), {
      startedAtMs,
      isTimeout: true,
      isProbe,
    });
  };
  const refuse = (id: string, isProbe = true) => {
    const startedAtMs = clock.monotonicMs();
    clock.advance(1);
    const failure = { startedAtMs, isTimeout: false, isProbe };
    evidence.recordConnectFailure(makeServer(id), failure);
  };
  return { clock, evidence, servers, fail, refuse };
}

test("a server that is down alone leaves its service reached", () => {
  const { clock, evidence, servers } = start();
  const startedAtMs = clock.monotonicMs();
  clock.advance(CONNECT_MS - 1);
  evidence.recordConnected(servers[1]);
  clock.advance(1);
  evidence.recordConnectFailure(servers[0], {
    startedAtMs,
    isTimeout: true,
    isProbe: true,
  });
  assert.is(evidence.assess("s"), "reached");
  assert.not(evidence.isFailing(servers[0]));
});

test("one failure with nothing to the contrary is doubtful, a second server makes it lost", () => {
  const { evidence, fail } = start();
  fail("1");
  assert.is(evidence.assess("s"), "doubtful");
  fail("1");
  assert.is(evidence.assess("s"), "doubtful");
  fail("2");
  assert.is(evidence.assess("s"), "lost");
  assert.equal(evidence.listLost(), ["s"]);
});

// Guards against asking other VMs for each server that has crashed.
test("a single refusal is the server's, two servers' are in doubt", () => {
  const { evidence, refuse } = start();
  refuse("1");
  assert.is(evidence.assess("s"), "reached");
  refuse("2");
  assert.is(evidence.assess("s"), "doubtful");
  assert.ok(evidence.isSuspected("s"));
});

// Guards against VMs that take several crashed servers for a broken link, refuse
// requests and decline to send those of others.
test("refused requests lose no service, refused probes of all or four others do", () => {
  const { evidence, refuse, servers } = start(9);
  for (let id = 1; id <= 9; id++) refuse(`${id}`, false);
  assert.is(evidence.assess("s"), "doubtful");
  evidence.recordConnected(servers[0]);
  assert.is(evidence.assess("s"), "reached");
  refuse("1", false);
  for (const id of ["2", "3", "4"]) refuse(id);
  assert.is(evidence.assess("s"), "doubtful");
  refuse("5");
  assert.is(evidence.assess("s"), "lost");

  const small = start(3);
  small.refuse("1", false);
  small.refuse("2");
  assert.is(small.evidence.assess("s"), "doubtful");
  small.refuse("3");
  assert.is(small.evidence.assess("s"), "lost");
});

test("requests that time out lose no service, two probes do", () => {
  const { evidence, fail } = start();
  fail("1", "s", false);
  fail("2", "s", false);
  assert.is(evidence.assess("s"), "doubtful");
  fail("3");
  fail("1");
  assert.is(evidence.assess("s"), "lost");
  assert.not(evidence.isSuspected("s"));
});

test("a service whose servers were removed is not suspected for ever", () => {
  const { clock, evidence, fail } = start(0);
  assert.not(evidence.isSuspected("s"));
  fail("1", "s", false);
  evidence.recordConnected(makeServer("1"));
  clock.advance(3_001);
  assert.not(evidence.isSuspected("s"));
});

test("the only server of a service makes it lost", () => {
  const { evidence, fail } = start(1);
  fail("1");
  assert.is(evidence.assess("s"), "lost");
});

// Guards against VMs whose open connections live on while new ones are refused.
test("responses on open connections don't show that new ones open", () => {
  const { evidence, servers, fail } = start();
  fail("1");
  evidence.recordResponse(servers[2]);
  fail("2");
  evidence.recordResponse(servers[2]);
  assert.is(evidence.assess("s"), "lost");
});

test("a connection that opens ends the loss of its service", () => {
  const { evidence, servers, fail } = start();
  fail("1");
  fail("2");
  evidence.recordConnected(servers[2]);
  assert.is(evidence.assess("s"), "reached");
  assert.equal(evidence.listFailing("s"), []);
});

test("failures at servers of two services make all services lost", () => {
  const { clock, evidence, fail } = start();
  evidence.recordConnected(makeServer("5", { service: "other" }));
  evidence.recordConnected(makeServer("6", { service: "third" }));
  clock.advance(1);
  fail("1");
  fail("5", "other");
  assert.is(evidence.assess("s"), "lost");
  assert.is(evidence.assess("third"), "lost");
});

test("a service whose servers respond stays reached while another is lost", () => {
  const { evidence, fail } = start();
  const other = makeServer("5", { service: "other" });
  fail("1");
  evidence.recordConnected(other);
  fail("2");
  evidence.recordResponse(other);
  assert.is(evidence.assess("s"), "lost");
  assert.is(evidence.assess("other"), "reached");
});

test("silence makes a service doubtful until it responds, and is forgotten", () => {
  const { clock, evidence, servers } = start();
  evidence.recordSilence("s");
  assert.is(evidence.assess("s"), "doubtful");
  evidence.recordResponse(servers[0]);
  assert.is(evidence.assess("s"), "reached");
  evidence.recordSilence("s");
  clock.advance(3_001);
  assert.is(evidence.assess("s"), "reached");
});

test.run();
