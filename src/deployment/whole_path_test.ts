import * as assert from "uvu/assert";
import { suite } from "uvu";
import { request } from "undici";
import { type Caller, createCaller } from "../caller/mod.ts";
import type { Call, CallResult } from "../caller/types.ts";
import { getServiceKey } from "../config/rows.ts";
import { peerMessageSchema } from "../control/messages.ts";
import { maintainLink } from "../runtime/peer_link.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { daemonSettingsSchema } from "../runtime/settings.ts";
import { PLATFORM_LINK_TARGET } from "./generate.ts";
import { type RunningDeployment, startDeployment } from "./in_process.ts";
import {
  makeSmallDeployment,
  pickAddressBase,
  SERVICE,
  waitUntil,
} from "./fixture.ts";

const clock = createSystemClock();

const booking: Call = {
  service: SERVICE,
  method: "POST",
  path: "/entries",
  body: "goat 17",
  deadlineMs: 3_000,
  idempotent: false,
  clientIp: "10.1.7.7",
};
const lookup: Call = {
  ...booking,
  method: "GET",
  path: "/entries/17",
  body: undefined,
  idempotent: true,
};

interface Context {
  deployment: RunningDeployment;
  caller: Caller;
}

const test = suite<Context>("whole path");

test.before.each(async (context) => {
  const deployment = makeSmallDeployment();
  context.deployment = await startDeployment(
    deployment,
    clock,
    pickAddressBase(),
  );
  const steers = context.deployment.files.load.steers
    .map(({ caller }) => caller);
  context.caller = createCaller({ steers, clock });
  await waitUntil(async () => {
    const result = await context.caller.call(lookup);
    return result.kind === "answer";
  });
});

test.after.each(async ({ caller, deployment }) => {
  await caller.close();
  await deployment.stop();
});

function listRuns(deployment: RunningDeployment) {
  return [...deployment.backends.values()].flatMap(({ servers }) =>
    [...servers.values()].flatMap(({ records }) => records)
  );
}

function assertAnswer(result: CallResult): asserts result is Extract<
  CallResult,
  { kind: "answer" }
> {
  assert.is(result.kind, "answer", JSON.stringify(result));
}

test("requests succeed through an edit, a drain and a graceful stop", async (context) => {
  const { caller, deployment } = context;
  assertAnswer(await caller.call(booking));
  await edit(context, { answerTtlMs: 250 });
  await waitUntil(async () => await readTtl(context, "thies") === 250);
  const [server] = deployment.backends.get("backends-thies-1")!.servers
    .values();
  const drains = [{ scope: "backendServer", name: server.settings.id }];
  await edit(context, { drains });
  await waitUntil(async () => {
    const before = server.records.length;
    for (let count = 0; count < 8; count++) {
      assertAnswer(await caller.call(lookup));
    }
    return server.records.length === before;
  });
  const stopping = deployment.daemons.get("entry-thies-1-b")!.stop();
  let stopped = false;
  void stopping.then(() => stopped = true);
  while (!stopped) assertAnswer(await caller.call(booking));
  assertAnswer(await caller.call(booking));
  assert.is(caller.brokenCount(), 0);
  const keys = listRuns(deployment).map(({ key }) => key).filter((key) => key);
  assert.is(new Set(keys).size, keys.length);
});

test("a caller gets its own complete answer, and the request runs once", async (context) => {
  const { caller, deployment } = context;
  const result = await caller.call(booking);
  assertAnswer(result);
  const body = JSON.parse(result.body.toString());
  assert.is(body.requestId, result.requestId);
  assert.is(body.bodyBytes, booking.body!.length);
  const runs = listRuns(deployment)
    .filter(({ requestId }) => requestId === result.requestId);
  assert.is(runs.length, 1);
  assert.is(runs[0].server, result.serverId);
});

test("an edited document drains a server; requests in flight complete", async ({ caller, deployment }) => {
  const slow = [...deployment.backends.values()]
    .flatMap(({ servers }) => [...servers.values()]);
  for (const server of slow) server.faults.slowFactor = 20;
  const inFlight = Array.from({ length: 8 }, () => caller.call(lookup));
  await waitUntil(() => slow.some((server) => server.inFlight() > 0));
  const drained = slow.find((server) => server.inFlight() > 0)!;
  const key = getServiceKey(SERVICE);
  const read = (await deployment.store.read(key))._unsafeUnwrap();
  const document = JSON.parse(read.stored!.text);
  document.drains = [{ scope: "backendServer", name: drained.settings.id }];
  const put = (await deployment.store.put({
    key,
    text: JSON.stringify(document),
    author: "test",
    baseRowVersion: read.rowVersion,
  }))._unsafeUnwrap();
  assert.is(put.outcome, "accepted");
  for (const result of await Promise.all(inFlight)) assertAnswer(result);
  for (const server of slow) server.faults.slowFactor = 1;
  await waitUntil(async () => {
    const before = drained.records.length;
    for (let count = 0; count < 12; count++) {
      assertAnswer(await caller.call(lookup));
    }
    return drained.records.length === before;
  });
});

test("a stopping entry cuts off no request", async ({ caller, deployment }) => {
  const results: Promise<CallResult>[] = [];
  const stopping = deployment.daemons.get("entry-thies-1-a")!.stop();
  let stopped = false;
  void stopping.then(() => stopped = true);
  await waitUntil(() => {
    results.push(caller.call(booking), caller.call(lookup));
    return stopped;
  });
  for (const result of await Promise.all(results)) assertAnswer(result);
  assert.is(caller.brokenCount(), 0);
});

test("an entry killed mid-request: the key never runs twice", async ({ caller, deployment }) => {
  const servers = [...deployment.backends.values()]
    .flatMap((backend) => [...backend.servers.values()]);
  for (const server of servers) server.faults.slowFactor = 30;
  const before = listRuns(deployment).length;
  const called = caller.call(booking);
  await waitUntil(() => listRuns(deployment).length > before);
  const entries = ["entry-thies-1-a", "entry-thies-1-b"];
  await Promise.all(
    entries.map((name) => deployment.daemons.get(name)!.kill()),
  );
  const result = await called;
  assert.is(result.kind, "unknown", JSON.stringify(result));
  await waitUntil(() => servers.every((server) => server.inFlight() === 0));
  assert.is(listRuns(deployment).length, before + 1);
  await Promise.all(entries.map((name) => deployment.restart(name)));
});

test("with the table down, requests are served and edits refused", async ({ caller, deployment }) => {
  deployment.platform.faults.down = true;
  for (let count = 0; count < 10; count++) {
    assertAnswer(await caller.call(booking));
  }
  deployment.platform.faults.down = false;
});

test("both regions keep serving when the links between them are cut", async ({ caller, deployment }) => {
  deployment.network.setCut("thies", "kaolack", true);
  deployment.network.setCut("kaolack", "thies", true);
  for (const clientIp of ["10.1.7.7", "10.2.7.7"]) {
    assertAnswer(await caller.call({ ...booking, clientIp }));
  }
});

/** Connects to a steer as a newer process of an entry VM would. */
function startNewerProcess(deployment: RunningDeployment, vmId: string) {
  const found = deployment.files.processes
    .find(({ name }) => name === `entry-${vmId}`)!;
  const settings = daemonSettingsSchema.parse(found.settings);
  const { failureDomain, region } = settings;
  return maintainLink(settings.seeds[1], {
    key: settings.peerKey,
    clock,
    schema: peerMessageSchema,
    events: {
      onOpen(link) {
        link.send({
          kind: "hello",
          member: {
            id: `${vmId}/entry`,
            vmId,
            role: "entry",
            failureDomain,
            region,
            incarnation: Date.now() + 60_000,
            state: "serving",
          },
          throughVersion: 0,
        });
      },
      onMessage() {},
      onClose() {},
    },
  });
}

/** Changes fields of the service's document. */
async function edit(
  { deployment }: Context,
  changes: Record<string, unknown>,
) {
  const key = getServiceKey(SERVICE);
  const read = (await deployment.store.read(key))._unsafeUnwrap();
  const document = JSON.parse(read.stored!.text);
  const text = JSON.stringify({ ...document, ...changes });
  const put = { key, text, author: "test", baseRowVersion: read.rowVersion };
  (await deployment.store.put(put))._unsafeUnwrap();
}

/** Reads the time to live, in ms, that a steer of a region has applied. */
async function readTtl({ deployment }: Context, region: string) {
  const { caller } = deployment.files.load.steers
    .find((steer) => steer.region === region)!;
  const response = await request(
    `http://${caller}/v1/lookup/${SERVICE}?client=10.1.7.7`,
  );
  const { ttlMs } = await response.body.json() as { ttlMs: number };
  return ttlMs;
}

test("a failure domain cut off from the platform gets an edit from its peers", async (context) => {
  const { network } = context.deployment;
  network.setCut("thies-1", PLATFORM_LINK_TARGET, true);
  await edit(context, { answerTtlMs: 400 });
  await waitUntil(async () => await readTtl(context, "thies") === 400);
});

test("an isolated failure domain keeps serving, and applies edits once reconnected", async (context) => {
  const { caller, deployment: { network } } = context;
  const links = [["thies-1", PLATFORM_LINK_TARGET], ["thies", "kaolack"], [
    "kaolack",
    "thies",
  ]];
  for (const [from, to] of links) network.setCut(from, to, true);
  await edit(context, { answerTtlMs: 400 });
  await waitUntil(async () => await readTtl(context, "kaolack") === 400);
  assertAnswer(await caller.call(booking));
  assert.is(await readTtl(context, "thies"), 300);
  for (const [from, to] of links) network.setCut(from, to, false);
  await waitUntil(async () => await readTtl(context, "thies") === 400);
  await edit(context, { answerTtlMs: 500 });
  let highest = 0;
  await waitUntil(async () => {
    const ttlMs = await readTtl(context, "thies");
    assert.ok(ttlMs >= highest, `${ttlMs} after ${highest}`);
    highest = ttlMs;
    return ttlMs === 500;
  });
});

test("a steer restarted while the table is down gets its documents from its peers", async (context) => {
  const { deployment } = context;
  await edit(context, { answerTtlMs: 400 });
  await waitUntil(async () => await readTtl(context, "thies") === 400);
  deployment.platform.faults.down = true;
  await deployment.daemons.get("steer-thies-1-a")!.kill();
  await deployment.restart("steer-thies-1-a");
  assert.is(await readTtl(context, "thies"), 400);
  deployment.platform.faults.down = false;
});

test("a process learns from its peers that a newer process has replaced it", async ({ deployment }) => {
  const old = deployment.daemons.get("entry-thies-1-a")!;
  const newer = startNewerProcess(deployment, "thies-1-a");
  await old.replaced;
  newer.close();
});

test.run();
