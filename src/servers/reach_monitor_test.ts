import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import type { DialResult } from "../runtime/dial.ts";
import { createRandom } from "../runtime/random.ts";
import { ConnectError } from "../serving/server_connector.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createReachMonitor } from "./reach_monitor.ts";

const SERVERS = 6;
const RUN_MS = 200;
const TIMEOUT = new ConnectError("connect timeout", true);

function start(
  isDown = (_address: string) => false,
  respond = (result: DialResult) => Promise.resolve(result),
) {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (let index = 0; index < SERVERS; index++) {
    const failureDomain = index % 2 === 0 ? "oslo-a" : "oslo-b";
    const server = makeServer(`${index}`, {
      failureDomain,
      address: `${index}`,
    });
    registry.apply(makeServerUpdate(server, index + 1));
  }
  const servers = registry.listUsable("s").map(({ listed }) => listed);
  const dials: string[] = [];
  let result: DialResult = "accepted";
  const monitor = createReachMonitor({
    clock,
    log: createSilentLog(),
    random: createRandom(1),
    dial(address) {
      dials.push(address);
      return respond(isDown(address) ? "refused" : result);
    },
    listUsable: registry.listUsable,
    getMeanRunMs: () => RUN_MS,
  });
  const changes: boolean[] = [];
  monitor.subscribe((_service, isLost) => void changes.push(isLost));
  return {
    clock,
    changes,
    dials,
    monitor,
    servers,
    setDialResult: (next: DialResult) => void (result = next),
  };
}

/** Lets the promises of dials settle. */
const settle = () => new Promise((resolve) => setImmediate(resolve));

test("a server that is down costs two dials and loses nothing", async () => {
  const { clock, dials, monitor, servers } = start();
  monitor.recordConnectFailure(servers[0], TIMEOUT, clock.monotonicMs());
  assert.is(monitor.assess("s"), "doubtful");
  await settle();
  assert.is(dials.length, 2);
  assert.not(dials.includes("0"));
  assert.is(monitor.assess("s"), "reached");
});

test("a second server that accepts nothing loses the service until one does", async () => {
  const { clock, changes, dials, monitor, servers, setDialResult } = start();
  setDialResult("silent");
  monitor.recordConnectFailure(servers[0], TIMEOUT, clock.monotonicMs());
  await settle();
  assert.is(monitor.assess("s"), "lost");
  const before = dials.length;
  clock.advance(3_000);
  await settle();
  const probes = dials.length - before;
  assert.ok(probes >= 2 && probes <= 16, `${probes} probes in 3 s`);
  setDialResult("accepted");
  for (let step = 0; step < 15; step++) {
    clock.advance(100);
    await settle();
  }
  assert.is(monitor.assess("s"), "reached");
  assert.equal(changes, [true, false]);
  const after = dials.length;
  clock.advance(5_000);
  assert.is(dials.length, after, "probes of a reached service");
});

// Load: a VM with one request every few seconds, on an open connection that
// hangs. Guards against noticing the loss only at the end of its deadline.
test("a single silent request shows the loss within 0.5 s", async () => {
  const { clock, monitor, servers, setDialResult } = start();
  monitor.recordConnected(servers[0]);
  clock.advance(5_000);
  setDialResult("silent");
  let isAborted = false;
  monitor.watch(servers[0], () => void (isAborted = true));
  for (let step = 0; step < 5; step++) {
    clock.advance(100);
    await settle();
  }
  assert.is(monitor.assess("s"), "lost");
  assert.ok(isAborted);
});

test("a long run at a server that accepts connections is not aborted", async () => {
  const { clock, dials, monitor, servers } = start();
  let isAborted = false;
  const watch = monitor.watch(servers[0], () => void (isAborted = true));
  for (let step = 0; step < 30; step++) {
    clock.advance(100);
    await settle();
  }
  watch.end();
  assert.is(monitor.assess("s"), "reached");
  assert.not(isAborted);
  assert.ok(dials.length <= 6, `${dials.length} dials`);
});

// Guards against processes that don't end, since closing connections fail.
test("a monitor that was stopped starts no timer", async () => {
  const { clock, dials, monitor, servers } = start();
  monitor.stop();
  monitor.recordConnectFailure(servers[0], TIMEOUT, clock.monotonicMs());
  monitor.recordConnectFailure(servers[1], TIMEOUT, clock.monotonicMs());
  monitor.watch(servers[0], () => {});
  clock.advance(5_000);
  await settle();
  assert.is(dials.length, 0);
});

test("a frozen VM uses its servers again after one dial", async () => {
  const { clock, monitor, servers } = start();
  const startedAtMs = clock.monotonicMs();
  clock.advance(3_000);
  monitor.recordConnectFailure(servers[0], TIMEOUT, startedAtMs);
  monitor.recordConnectFailure(servers[1], TIMEOUT, startedAtMs);
  assert.is(monitor.assess("s"), "doubtful");
  await settle();
  assert.is(monitor.assess("s"), "reached");
});

// Guards against a service lost for each pair of crashed servers, while all VMs
// reach the others: requests were refused, and none sent for other VMs.
test("crashed servers lose no service, and are told from a link at once", async () => {
  const { changes, clock, dials, monitor, servers } = start((address) =>
    Number(address) < 3
  );
  const REFUSED = new ConnectError("connect ECONNREFUSED", false);
  for (let repeat = 0; repeat < 20; repeat++) {
    for (const server of servers.slice(0, 3)) {
      clock.advance(1);
      monitor.recordConnectFailure(server, REFUSED, clock.monotonicMs() - 1);
      assert.is.not(monitor.assess("s"), "lost");
    }
    await settle();
    assert.is(monitor.assess("s"), "reached");
  }
  assert.equal(changes, []);
  assert.ok(dials.length <= 20 * 4, `${dials.length} dials`);
});

// Guards against failures of a round that are counted before its successes.
test("a round of probes in which one is accepted loses nothing", async () => {
  const { changes, clock, dials, monitor, servers } = start(
    (address) => address !== "5",
    async (result) => {
      if (result === "accepted") await settle();
      return result;
    },
  );
  const REFUSED = new ConnectError("connect ECONNREFUSED", false);
  monitor.recordConnectFailure(servers[0], REFUSED, clock.monotonicMs());
  for (let step = 0; step < 5; step++) {
    await settle();
    assert.is.not(monitor.assess("s"), "lost");
  }
  assert.ok(dials.includes("5"));
  assert.is(monitor.assess("s"), "reached");
  assert.equal(changes, []);
});

test("a link that refuses everything loses the service after one more round", async () => {
  const { clock, monitor, servers, setDialResult } = start();
  setDialResult("refused");
  const REFUSED = new ConnectError("connect ECONNREFUSED", false);
  monitor.recordConnectFailure(servers[0], REFUSED, clock.monotonicMs());
  await settle();
  assert.is(monitor.assess("s"), "lost");
});

// Load: a request that crashes servers has crashed three of six a moment ago.
test("a crash is the server's while half of the others are down", async () => {
  const { monitor, servers, setDialResult } = start((address) =>
    Number(address) < 3
  );
  setDialResult("accepted");
  for (let repeat = 0; repeat < 10; repeat++) {
    assert.ok(await monitor.reachesOthers(servers[0]));
  }
});

test("a crash is told from a broken link by another server", async () => {
  const { monitor, servers, setDialResult } = start();
  assert.ok(await monitor.reachesOthers(servers[0]));
  setDialResult("refused");
  assert.not(await monitor.reachesOthers(servers[0]));
});

test.run();
