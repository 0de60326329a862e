import { setTimeout as sleep } from "node:timers/promises";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Activity, ActivityScope } from "../activity/types.ts";
import { makeServer, makeServerUpdate } from "../gateway/fixture.ts";
import { createFactStore } from "../news/fact_store.ts";
import { createFreshnessTracker } from "../news/freshness.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { maintainLink, type PeerLink } from "../runtime/peer_link.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { startMesh } from "./mesh.ts";
import { type VmMessage, vmMessageSchema } from "./messages.ts";
import { createMemberTable } from "./table.ts";
import type { TopicDigest } from "../news/types.ts";
import { type VmIdentity, VmRegistry } from "./types.ts";
import { encodeUpdates } from "../news/wire_format.ts";
import { makeVersion } from "../news/version.ts";

const clock = createSystemClock();
const ACTIVITY: Activity = { asked: [1, 2], forgotten: [], running: [3, 4] };

class EmptyRegistry extends VmRegistry {
  override register(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
  override list(): Promise<VmIdentity[]> {
    return Promise.resolve([]);
  }
}

function makeIdentity(id: string, peerAddress: string): VmIdentity {
  return {
    id,
    incarnation: "1",
    region: "oslo",
    failureDomain: "oslo-a",
    frontAddress: "127.0.0.1:1",
    peerAddress,
    cores: 1,
  };
}

async function startTestMesh() {
  const http = await listen(createRouter(), "127.0.0.1:0");
  const factStore = createFactStore(clock);
  const found: string[] = [];
  const activities: {
    id: string;
    scope: ActivityScope;
    activity: Activity;
  }[] = [];
  const mesh = startMesh({
    self: makeIdentity("self", http.address),
    table: createMemberTable("self", clock),
    factStore,
    freshness: createFreshnessTracker({ clock, getVersion: () => 0 }),
    needsProofs: () => false,
    registry: new EmptyRegistry(),
    clock,
    log: createSilentLog(),
    server: http.server,
    seeds: [],
    isFleetBootstrap: false,
    makeReport: () => ({
      state: "serving",
      demandPerS: {},
      digests: factStore.getDigests(),
    }),
    onFound: ({ id }) => void found.push(id),
    onActivity: ({ id }, scope, activity) =>
      void activities.push({ id, scope, activity }),
    onUsage: () => {},
    onServerUsage: () => {},
    onServerRateLimits: () => [],
    onUnreachableServers: () => [],
  });
  const stop = async () => {
    mesh.stop();
    await http.close();
  };
  return { address: http.address, factStore, found, activities, mesh, stop };
}

/** The schema of a VM of an earlier build, which lacks a message kind. */
const EARLIER_SCHEMA: typeof vmMessageSchema = Object.create(vmMessageSchema, {
  safeParse: {
    value(data: VmMessage) {
      const isUnknown = data.kind === "unreachable_servers";
      return vmMessageSchema.safeParse(isUnknown ? {} : data);
    },
  },
});

/** Opens a link to a mesh; sends a hello only if an identity is given. */
async function openLink(
  address: string,
  identity?: VmIdentity,
  understands?: string[],
) {
  let closed = 0;
  const received: VmMessage[] = [];
  let link: PeerLink<VmMessage> | undefined;
  const dialed = maintainLink(address, {
    schema: understands === undefined ? EARLIER_SCHEMA : vmMessageSchema,
    clock,
    isSelfContained: true,
    events: {
      onOpen(opened) {
        link = opened;
        if (identity === undefined) return;
        opened.send({ kind: "hello", identity, members: 0, understands });
      },
      onMessage: (_link, message) => void received.push(message),
      onClose: () => void closed++,
    },
  });
  await waitUntil(() => received.some(({ kind }) => kind === "report"));
  received.length = 0;
  const send = (message: VmMessage) => link!.send(message);
  const close = () => dialed.close();
  return { received, send, close, countClosed: () => closed };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 400 && !condition(); tries++) await sleep(5);
  assert.ok(condition());
}

function hasFacts(received: readonly VmMessage[]): boolean {
  return received.some(({ kind }) => kind === "news");
}

test("facts are sent on a link whose hello has not arrived yet", async () => {
  const { address, mesh, stop } = await startTestMesh();
  const link = await openLink(address);
  mesh.broadcastFacts([makeServerUpdate(makeServer("1"), 1)]);
  await sleep(200);
  const isReached = hasFacts(link.received);
  link.close();
  await stop();
  assert.ok(isReached);
});

test("facts are sent on all links of a VM, since one may be closing", async () => {
  const { address, mesh, stop } = await startTestMesh();
  const identity = makeIdentity("other", "127.0.0.1:2");
  const links = [
    await openLink(address, identity),
    await openLink(address, identity),
  ];
  await sleep(100);
  mesh.broadcastFacts([makeServerUpdate(makeServer("1"), 1)]);
  await sleep(200);
  const reached = links.map((link) => hasFacts(link.received));
  links.forEach((link) => link.close());
  await stop();
  assert.equal(reached, [true, true]);
});

test("a message reaches only its receivers, with its sender", async () => {
  const { address, mesh, activities, stop } = await startTestMesh();
  const links = [
    await openLink(address, makeIdentity("near", "127.0.0.1:2")),
    await openLink(address, makeIdentity("far", "127.0.0.1:3")),
  ];
  await sleep(100);
  mesh.sendTo(["near"], { kind: "activity", scope: "vm", ...ACTIVITY });
  links[1].send({ kind: "activity", scope: "region", ...ACTIVITY });
  await waitUntil(() => activities.length === 1);
  await sleep(100);
  const reached = links.map(({ received }) =>
    received.filter(({ kind }) => kind === "activity").length
  );
  links.forEach((link) => link.close());
  await stop();
  assert.equal(reached, [1, 0]);
  assert.equal(activities, [{
    id: "far",
    scope: "region",
    activity: ACTIVITY,
  }]);
});

function makeReport(digest: TopicDigest): VmMessage {
  return {
    kind: "report",
    state: "serving",
    demandPerS: {},
    digests: {
      operations: { facts: 0, versionSum: 0 },
      servers: digest,
      suspects: { facts: 0, versionSum: 0 },
    },
  };
}

test("a VM without facts requests them from the first VM that has some", async () => {
  const { address, stop } = await startTestMesh();
  const link = await openLink(address, makeIdentity("other", "127.0.0.1:2"));
  link.send(makeReport({ facts: 2, versionSum: 7 }));
  await waitUntil(() => link.received.some(({ kind }) => kind === "want"));
  link.close();
  await stop();
});

test("missed facts are requested and applied", async () => {
  const { address, factStore, stop } = await startTestMesh();
  factStore.apply([makeServerUpdate(makeServer("1"), 1)]);
  const link = await openLink(address, makeIdentity("other", "127.0.0.1:2"));
  const countRequests = () =>
    link.received.filter(({ kind }) => kind === "want").length;
  link.send(makeReport({ facts: 2, versionSum: 7 }));
  await sleep(200);
  assert.is(countRequests(), 0, "updates may be in flight");
  await sleep(1_000);
  link.send(makeReport({ facts: 2, versionSum: 7 }));
  await waitUntil(() => countRequests() === 1);
  link.send({
    kind: "news",
    items: encodeUpdates([makeServerUpdate(makeServer("2"), 6)]),
  });
  await waitUntil(() => factStore.getDigest("servers").versionSum === 7);
  link.close();
  await stop();
});

// The next sign of the difference may come a second later, and a change has to be
// in force after two.
test("missed facts are requested though the difference shows only once", async () => {
  const { address, factStore, stop } = await startTestMesh();
  factStore.apply([makeServerUpdate(makeServer("1"), 1)]);
  const link = await openLink(address, makeIdentity("other", "127.0.0.1:2"));
  link.send(makeReport({ facts: 2, versionSum: 7 }));
  await sleep(1_000);
  const isRequested = link.received.some(({ kind }) => kind === "want");
  link.close();
  await stop();
  assert.ok(isRequested);
});

test("a requested topic is sent whole, including removals", async () => {
  const { address, factStore, stop } = await startTestMesh();
  factStore.apply([makeServerUpdate(makeServer("1"), 1)]);
  factStore.apply([{
    topic: "servers",
    key: "server/2",
    version: makeVersion(2),
  }]);
  const link = await openLink(address, makeIdentity("other", "127.0.0.1:2"));
  link.send({ kind: "want", topic: "servers" });
  await waitUntil(() => hasFacts(link.received));
  const [message] = link.received.filter(({ kind }) => kind === "news");
  assert.is(message.kind === "news" && message.items.length, 2);
  link.close();
  await stop();
});

test("reports with any small number of facts arrive intact", async () => {
  const { address, factStore, mesh, stop } = await startTestMesh();
  const link = await openLink(address, makeIdentity("other", "127.0.0.1:2"));
  for (let count = 0; count < 140; count++) {
    factStore.apply([makeServerUpdate(makeServer(`${count}`), 1)]);
    mesh.sendReport();
  }
  const listFacts = () =>
    link.received.flatMap((message) =>
      message.kind === "report" && message.digests !== undefined
        ? [message.digests.servers.facts]
        : []
    );
  await waitUntil(() => listFacts().includes(140));
  const expected = Array.from({ length: 140 }, (_, index) => index + 1);
  assert.equal(listFacts(), expected);
  link.close();
  await stop();
});

// Guards against closing the links to VMs of earlier builds in a rolling update:
// they close a link on which a message of an unknown kind arrives.
test("reports of unresponsive servers go only to VMs that understand them", async () => {
  const { address, mesh, stop } = await startTestMesh();
  const links = [
    await openLink(address, makeIdentity("earlier", "127.0.0.1:2")),
    await openLink(address, makeIdentity("new", "127.0.0.1:3"), [
      "unreachable_servers",
    ]),
  ];
  await sleep(100);
  mesh.broadcastUnreachableServers([{
    server: "1",
    by: "self",
    failureDomain: "oslo-a",
    news: "unreachable",
    stampMs: 1,
    ageMs: 2,
    reached: 3,
  }]);
  const countReports = () =>
    links.map(({ received }) =>
      received.filter(({ kind }) => kind === "unreachable_servers").length
    );
  await sleep(300);
  const reports = countReports();
  const closed = links.map(({ countClosed }) => countClosed());
  links.forEach((link) => link.close());
  await stop();
  assert.equal(reports, [0, 1]);
  assert.equal(closed, [0, 0]);
});

test("the listener is called for each VM that sends a hello", async () => {
  const { address, found, stop } = await startTestMesh();
  const link = await openLink(address, makeIdentity("new", "127.0.0.1:2"));
  await waitUntil(() => found.length > 0);
  link.close();
  await stop();
  assert.equal(found, ["new"]);
});

// Guards against large fleets whose VMs lose all links to each other.
test("a topic with more facts than a message holds is sent in several", async () => {
  const { address, factStore, mesh, stop } = await startTestMesh();
  const facts = Array.from(
    { length: 12_000 },
    (_, index) => makeServerUpdate(makeServer(`${index}`), index + 1),
  );
  factStore.apply(facts);
  const link = await openLink(address, makeIdentity("peer", "127.0.0.1:2"));
  const countFacts = () =>
    link.received.flatMap((message) =>
      message.kind === "news" ? message.items : []
    ).length;
  link.send({ kind: "want", topic: "servers" });
  await waitUntil(() => countFacts() === facts.length);
  mesh.broadcastFacts(facts);
  await waitUntil(() => countFacts() === 2 * facts.length);
  assert.is(link.countClosed(), 0);
  link.close();
  await stop();
});

// Guards against peers that make a VM send all it knows without pause.
test("the same question is answered at most ten times a second", async () => {
  const { address, factStore, stop } = await startTestMesh();
  factStore.apply([makeServerUpdate(makeServer("1"), 1)]);
  const link = await openLink(address, makeIdentity("peer", "127.0.0.1:2"));
  const startedAtMs = clock.monotonicMs();
  for (let count = 0; count < 1_000; count++) {
    link.send({ kind: "want", topic: "servers" });
  }
  await sleep(500);
  const passedMs = clock.monotonicMs() - startedAtMs;
  const answers = link.received.filter(({ kind }) => kind === "news").length;
  link.close();
  await stop();
  assert.ok(answers >= 1 && answers <= 1 + passedMs / 100, `${answers}`);
});

// Guards against peers that take the id of one VM after another.
test("a second hello closes its link", async () => {
  const { address, found, stop } = await startTestMesh();
  const identity = makeIdentity("peer", "127.0.0.1:2");
  const link = await openLink(address, identity);
  for (const id of ["other-1", "other-2", "other-3"]) {
    const other = { ...identity, id };
    link.send({ kind: "hello", identity: other, members: 0 });
  }
  await waitUntil(() => link.countClosed() > 0);
  link.close();
  await stop();
  assert.not.ok(found.some((id) => id.startsWith("other")), found.join());
});

// Guards against links that VMs of another build lose again and again.
test("a message with an invalid server leaves its link open", async () => {
  const { address, factStore, stop } = await startTestMesh();
  const link = await openLink(address, makeIdentity("peer", "127.0.0.1:2"));
  const odd = makeServerUpdate(makeServer("odd", { address: "a:65536" }), 1);
  const sound = makeServerUpdate(makeServer("sound"), 2);
  link.send({ kind: "news", items: encodeUpdates([odd, sound]) });
  await waitUntil(() => factStore.get(sound.key) !== undefined);
  assert.is(factStore.get(odd.key)?.fact, undefined);
  assert.is(link.countClosed(), 0);
  link.close();
  await stop();
});

// Guards against evacuations that have ended, and servers that have left, which
// come back from a VM that missed it.
test("facts that the source has dropped are not taken from another VM", async () => {
  const { address, factStore, stop } = await startTestMesh();
  const kept = makeServerUpdate(makeServer("kept"), 6);
  const left = makeServerUpdate(makeServer("left"), 5);
  const joined = makeServerUpdate(makeServer("joined"), 12);
  const version = makeVersion(10);
  factStore.applySnapshot("servers", { items: [kept], version });
  const link = await openLink(address, makeIdentity("peer", "127.0.0.1:2"));
  link.send({ kind: "news", items: encodeUpdates([left, joined]) });
  await waitUntil(() => factStore.get(joined.key) !== undefined);
  const known = factStore.get(left.key);
  link.close();
  await stop();
  assert.is(known?.fact, undefined);
});

test("a VM drops what another one knows to be removed", async () => {
  const { address, factStore, stop } = await startTestMesh();
  const left = makeServerUpdate(makeServer("left"), 5);
  factStore.apply([left]);
  const link = await openLink(address, makeIdentity("peer", "127.0.0.1:2"));
  const readPositions = [makeVersion(10)];
  link.send({
    kind: "news",
    items: encodeUpdates([makeServerUpdate(makeServer("kept"), 6)]),
    snapshot: { topic: "servers", readPositions },
  });
  await waitUntil(() => factStore.get(left.key)?.fact === undefined);
  link.send({ kind: "want", topic: "servers" });
  const findSnapshot = () =>
    link.received.flatMap((message) =>
      message.kind === "news" ? [message.snapshot] : []
    )[0];
  await waitUntil(() => findSnapshot() !== undefined);
  link.close();
  await stop();
  assert.equal(findSnapshot(), { topic: "servers", readPositions });
});

test("a VM with the facts of one that reads knows as well what was removed", async () => {
  const { address, factStore, stop } = await startTestMesh();
  factStore.apply([makeServerUpdate(makeServer("kept"), 6)]);
  const link = await openLink(address, makeIdentity("peer", "127.0.0.1:2"));
  const announce = (versionSum: number, number: number) =>
    link.send({
      kind: "read",
      topic: "servers",
      digest: { facts: 1, versionSum },
      isOwn: true,
      readPositions: [makeVersion(number)],
    });
  announce(7, 30);
  announce(6, 20);
  await waitUntil(() => factStore.listReadPositions("servers").length > 0);
  link.close();
  await stop();
  assert.equal(factStore.listReadPositions("servers"), [makeVersion(20)]);
});

test.run();
