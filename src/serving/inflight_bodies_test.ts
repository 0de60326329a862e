import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import {
  createFleet,
  type FleetOptions,
  UPLOADS,
} from "../queueing/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { makeRequest } from "./fixture.ts";
import { createInflightBodies, getCountedBytes } from "./inflight_bodies.ts";

/** Size of a usual body before the first one. */
const USUAL = 65_536;

/** Two servers of a service with three slots, and nothing sent. */
function startBodies() {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (const id of ["1", "2"]) {
    registry.apply(makeServerUpdate(makeServer(id, { slots: 3 }), 1));
  }
  const [first, second] = registry.listUsable("s");
  const bodies = createInflightBodies({ clock, log: createSilentLog() });

  /** Sends bodies of the usual size; returns how many there was room for. */
  function fill(server = first, count = 20): number {
    for (let sent = 0; sent < count; sent++) {
      if (!bodies.hasRoom(server, USUAL, "current")) return sent;
      bodies.begin(server, "r", USUAL);
    }
    return count;
  }

  function endAll(isAnswered: boolean, server = first): number[] {
    const ends: number[] = [];
    const { servers } = bodies.getStats();
    const held = servers.find((entry) => entry.server === server.listed.id);
    for (let left = held?.heldBytes ?? 0; left > 0; left -= USUAL) {
      ends.push(bodies.end(server, USUAL, isAnswered));
    }
    return ends;
  }

  return { clock, first, second, bodies, fill, endAll };
}

test("a server gets the bodies of its slots at first", () => {
  const { fill, second } = startBodies();
  assert.is(fill(), 3);
  assert.is(fill(second), 3);
});

// Guards against bodies that no server would ever be sent.
test("a server without bytes in flight takes a body of any size", () => {
  const { bodies, first } = startBodies();
  assert.ok(bodies.hasRoom(first, 20 * USUAL, "current"));
});

// Guards against refusals at deployments with few VMs, whose servers hold more.
test("answers of servers without room raise the limit, up to four times", () => {
  const { fill, endAll } = startBodies();
  for (let round = 0; round < 50; round++) {
    fill();
    endAll(true);
  }
  assert.is(fill(), 12);
});

test("bytes that were given back without an answer raise nothing", () => {
  const { fill, endAll } = startBodies();
  for (let round = 0; round < 50; round++) {
    fill();
    endAll(false);
  }
  assert.is(fill(), 3);
});

// Failure: a server crashes while it holds bytes. All its requests report it.
test("a crash lowers the limit of the service once, which recovers", () => {
  const { clock, bodies, first, second, fill, endAll } = startBodies();
  fill();
  const [most, ...others] = endAll(false);
  for (const heldBytes of [most, ...others, most]) {
    bodies.recordServerEnd(first, heldBytes);
  }
  const { lowerings, loweredLimits, servers } = bodies.getStats();
  assert.equal({ lowerings, loweredLimits, servers }, {
    lowerings: 1,
    loweredLimits: 1,
    servers: [],
  });
  assert.is(fill(second), 1);
  endAll(true, second);
  clock.advance(30_000);
  assert.is(fill(second), 2);
  endAll(true, second);
  clock.advance(120_000);
  assert.is(fill(second), 3);
  assert.is(bodies.getStats().loweredLimits, 0);
});

// Guards against sending more than a server held when it crashed, for lack of
// another one.
test("only the current limit applies for two minutes after a crash", () => {
  const { clock, bodies, first, second, fill, endAll } = startBodies();
  const fits = (bytes: number) => bodies.hasRoom(second, bytes, "largest");
  fill(second, 1);
  assert.equal([fits(11 * USUAL), fits(11 * USUAL + 1)], [true, false]);
  fill(first);
  bodies.recordServerEnd(first, endAll(false)[0]);
  assert.not.ok(fits(USUAL));
  clock.advance(119_999);
  assert.not.ok(fits(3 * USUAL));
  clock.advance(1);
  assert.ok(fits(11 * USUAL));
});

// Guards against servers that crash again and again under bodies above the
// limit, whose ends lower nothing.
test("only the current limit applies after a crash above it", () => {
  const { bodies, first, second, fill, endAll } = startBodies();
  for (let sent = 0; sent < 9; sent++) bodies.begin(first, "r", USUAL);
  bodies.recordServerEnd(first, endAll(false)[0]);
  fill(second);
  assert.is(bodies.getStats().lowerings, 0);
  assert.not.ok(bodies.hasRoom(second, USUAL, "largest"));
});

// Guards against limits that fall with each crash, whatever its cause.
test("a server that ends under a single usual body lowers nothing", () => {
  const { bodies, first, fill, endAll } = startBodies();
  fill(first, 1);
  bodies.recordServerEnd(first, endAll(false)[0]);
  assert.is(bodies.getStats().lowerings, 0);
});

// Guards against state that grows with each change of the configuration, and
// against limits that stay at the size of a route's former bodies.
test("routes and services without bodies for 10 minutes are forgotten", () => {
  const { clock, bodies, first } = startBodies();
  const [other, added] = ["t", "u"].map((service) => ({
    ...first,
    listed: { ...first.listed, service },
  }));
  const getServices = () =>
    bodies.getStats().services.map(({ service, usualBytes }) => [
      service,
      usualBytes,
    ]);
  bodies.begin(first, "former", 11 * USUAL);
  bodies.begin(other, "r", USUAL);
  clock.advance(599_999);
  bodies.begin(first, "r", USUAL);
  assert.equal(getServices(), [["s", 2 * USUAL], ["t", USUAL]]);
  clock.advance(1);
  bodies.begin(first, "r", USUAL);
  bodies.begin(added, "r", USUAL);
  assert.equal(getServices(), [["s", USUAL], ["u", USUAL]]);
});

test("only uploads and bodies of 16 KB and more count", () => {
  const count = (bytes: number, route = makeRequest().route) =>
    getCountedBytes(makeRequest({ body: Buffer.alloc(bytes), route }));
  assert.equal([count(0), count(16_383), count(16_384)], [0, 0, 16_384]);
  assert.equal([count(0, UPLOADS), count(900, UPLOADS)], [0, 900]);
});

/** Requests of one VM with one server of three slots. */
function startVm(changes: Partial<FleetOptions> = {}) {
  const fleet = createFleet({
    vms: 1,
    servers: 1,
    slots: 3,
    competingPriorities: [2],
    ...changes,
  });
  const upload = { route: UPLOADS, workMs: 600, bodyBytes: USUAL };
  return { fleet, upload, ...fleet.vms[0] };
}

// Failure: a client disconnects while a server holds its upload.
test("the bytes of a client that disconnects are given back", async () => {
  const { fleet, upload, inflightBodies } = startVm();
  const client = new AbortController();
  const result = fleet.request(0, upload, client.signal);
  assert.is(inflightBodies.getStats().heldBytes, USUAL);
  client.abort();
  assert.is((await result).kind, "client_left");
  assert.equal(inflightBodies.getStats().servers, []);
});

// Guards against bytes that stay counted after attempts that no server ran.
test("the bytes of attempts that did not run are given back", async () => {
  const { fleet, upload, inflightBodies } = startVm({ servers: 2 });
  const [shedding, gone] = [...fleet.servers.keys()];
  const queued = {
    bodyBytes: 0,
    workMs: 9_000,
    resolve() {},
    endsAtMs: Infinity,
  };
  fleet.servers.set(shedding, Array.from({ length: 12 }, () => queued));
  fleet.servers.delete(gone);
  const result = fleet.request(0, upload);
  await fleet.advance(1);
  assert.is((await result).kind, "refused");
  const { heldBytes, services } = inflightBodies.getStats();
  assert.is(heldBytes, 0);
  assert.is(services.length, 1);
});

// Failure: a server crashes under three uploads; its next instance is listed
// under the same name.
test("after a crash, the next instance gets fewer bytes", async () => {
  const { fleet, upload, inflightBodies } = startVm({
    memoryBytes: 2.5 * USUAL,
  });
  const results = [1, 2, 3].map(() => fleet.request(0, upload));
  for (const { kind } of await Promise.all(results)) assert.is(kind, "failed");
  await fleet.advance(2_500);
  assert.is(inflightBodies.getStats().heldBytes, 0);
  assert.is(inflightBodies.getStats().lowerings, 1);
  const next = [1, 2].map(() => fleet.request(0, upload));
  await fleet.advance(1);
  assert.is(inflightBodies.getStats().heldBytes, USUAL);
  await fleet.advance(700);
  const [answered, refused] = await Promise.all(next);
  assert.is(answered.kind, "answer");
  assert.ok(refused.kind === "refused" && refused.reason === "all_full");
});

// Failure: a server loses its machine under two uploads and stays silent.
test("a server that no longer responds lowers the limit", async () => {
  const { fleet, upload, inflightBodies } = startVm();
  const results = [1, 2].map(() =>
    fleet.request(0, { ...upload, workMs: 60_000 })
  );
  await fleet.advance(UPLOADS.timeoutMs + 100);
  for (const { kind } of await Promise.all(results)) {
    assert.is(kind, "timed_out");
  }
  assert.is(inflightBodies.getStats().lowerings, 1);
});

// Guards against lower limits, and refusals, where clients give up early on
// servers that run.
test("a timeout after a short deadline lowers nothing", async () => {
  const { fleet, upload, inflightBodies } = startVm();
  const results = [100, 3_000].map((deadlineMs) =>
    fleet.request(0, { ...upload, deadlineMs })
  );
  await fleet.advance(700);
  const [timedOut, answered] = await Promise.all(results);
  assert.is(timedOut.kind, "timed_out");
  assert.is(answered.kind, "answer");
  assert.is(inflightBodies.getStats().lowerings, 0);
});

// Guards against refusals of bodies above the usual size, and of others beside
// them, where few servers have a free slot for them.
test("a single VM refuses no large bodies at half load", async () => {
  for (const servers of [1, 2]) {
    const { fleet, inflightBodies } = startVm({ servers });
    const load = (ratePerS: number, bodyBytes: number) => ({
      route: UPLOADS,
      workMs: 644,
      bodyBytes,
      getRatePerS: () => ratePerS * servers,
    });
    const outcomes = await fleet.run(
      [load(2.1, 48_000), load(0.1, 130_000), load(0.1, 360_000)],
      60_000,
    );
    const unanswered = outcomes.map((outcome) => outcome.unanswered);
    assert.equal(unanswered, [0, 0, 0]);
    assert.is(inflightBodies.getStats().unplaced, 0);
  }
});

/**
 * Load: 71 uploads a second over 31 servers of 3 slots, 60 KB in the mean and
 * up to 360 KB, three bursts of 2.6 times.
 */
async function replayUploads(
  changes: Partial<FleetOptions> & { isLimited?: boolean },
) {
  const { isLimited = true, ...options } = changes;
  const fleet = createFleet({
    vms: 65,
    servers: 31,
    slots: 3,
    competingPriorities: [2],
    ...options,
  });
  const sent = { bytes: 0, ontoOthersBytes: 0 };
  for (const { inflightBodies } of fleet.vms) {
    // The code before the limit.
    if (!isLimited) inflightBodies.hasRoom = () => true;
    const { begin } = inflightBodies;
    inflightBodies.begin = (server, routeName, bytes) => {
      const { loweredLimits, servers } = inflightBodies.getStats();
      begin(server, routeName, bytes);
      if (loweredLimits === 0) return;
      sent.bytes += bytes;
      if (servers.some((entry) => entry.server === server.listed.id)) {
        sent.ontoOthersBytes += bytes;
      }
    };
  }
  const load = (share: number, bodyBytes: number) => ({
    route: UPLOADS,
    workMs: 644,
    bodyBytes,
    getRatePerS: (atMs: number) =>
      71 * share * (atMs % 8_000 < 3_000 ? 2.6 : 1),
  });
  const outcomes = await fleet.run(
    [load(0.92, 48_000), load(0.05, 130_000), load(0.03, 360_000)],
    24_000,
  );
  const stats = fleet.vms.map(({ inflightBodies }) =>
    inflightBodies.getStats()
  );
  return {
    crashes: fleet.countCrashes(),
    unanswered: outcomes.reduce((sum, { unanswered }) => sum + unanswered, 0),
    unplaced: stats.reduce((sum, { unplaced }) => sum + unplaced, 0),
    heldBytes: stats.reduce((sum, { heldBytes }) => sum + heldBytes, 0),
    ontoOthersShare: sent.ontoOthersBytes / sent.bytes,
  };
}

// Guards against refusals under normal load, also of few VMs whose servers each
// hold many of their uploads.
test("the limit refuses nothing while servers hold", async () => {
  for (const vms of [65, 4]) {
    const { unanswered, unplaced, heldBytes } = await replayUploads({ vms });
    assert.equal({ unanswered, unplaced, heldBytes }, {
      unanswered: 0,
      unplaced: 0,
      heldBytes: 0,
    });
  }
});

/** Sums three replays with servers that crash above 600 KB. */
async function replayCrashes(vms: number, isLimited: boolean) {
  const sum = { crashes: 0, unanswered: 0, ontoOthersShare: 0 };
  for (const seed of [1, 2, 3]) {
    const options = { vms, isLimited, seed, memoryBytes: 600_000 };
    const replay = await replayUploads(options);
    sum.crashes += replay.crashes;
    sum.unanswered += replay.unanswered;
    sum.ontoOthersShare += replay.ontoOthersShare / 3;
  }
  return sum;
}

// Guards against VMs that go on to send a server several bodies at a time after
// servers crashed under them. With 65 VMs most of a server's bytes come from
// other VMs, so that about as many servers crash.
test("after crashes, VMs of a large fleet rarely add to a body", async () => {
  const before = await replayCrashes(65, false);
  const after = await replayCrashes(65, true);
  assert.ok(
    after.ontoOthersShare < before.ontoOthersShare / 2,
    JSON.stringify({ before, after }),
  );
});

// Guards against servers that crash again and again under the uploads of the
// same VMs.
test("servers of a small fleet crash half as often", async () => {
  const before = await replayCrashes(4, false);
  const after = await replayCrashes(4, true);
  assert.ok(
    after.crashes < before.crashes / 2 &&
      after.unanswered < before.unanswered / 2,
    JSON.stringify({ before, after }),
  );
});

test.run();
