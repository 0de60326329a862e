import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { serviceSchema } from "../config/schema.ts";
import { createConfigView } from "../config/view.ts";
import type { ControlAgent } from "../control/types.ts";
import {
  LOAD_REFRESH_MS,
  type LoadState,
  recordLoad,
} from "../measurement/state.ts";
import type { Member, ObservedMember } from "../membership/types.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import type { Steering } from "../steering/steering.ts";
import { createRequestForwarder } from "./request_forwarder.ts";
import { createKeyRegistry } from "./key_registry.ts";
import { formatKeyPrefix, parseKey } from "./keys.ts";
import { createLinkLimiter } from "./link_limiter.ts";
import type { LocalRunner } from "./local_runner.ts";
import {
  type Handover,
  type HandoverResult,
  PeerClient,
} from "./peer_client.ts";
import type { Answer, ForwardRequest, Outcome } from "./types.ts";

const answer: Answer = {
  status: 200,
  contentType: undefined,
  body: Buffer.from("done"),
  serverId: "s-1",
};
const answered: Outcome = { kind: "answer", answer };
const refused: Outcome = {
  kind: "not_run",
  reason: "full",
  retryAfterS: 1,
};

const document = serviceSchema.parse({
  service: "s",
  regions: ["a", "b"],
  backendServers: ["a1", "a2", "b1"].map((failureDomain) => ({
    id: `s-${failureDomain}`,
    failureDomain,
    address: "127.0.0.1:9000",
    slots: 4,
  })),
  shiftCap: { maxShare: 0.1, windowS: 10 },
  classes: [
    { name: "read", methods: ["GET"], idempotent: true },
    { name: "book", methods: ["POST"], idempotent: false },
  ],
});

function makeMember(vmId: string): Member {
  const failureDomain = vmId.split("-")[0];
  return {
    id: `${vmId}/entry`,
    vmId,
    role: "entry",
    failureDomain,
    region: failureDomain[0],
    incarnation: 1,
    state: "serving",
  };
}

type HandoverStub = (handover: Handover) => HandoverResult;

class FakePeerClient extends PeerClient {
  readonly handovers: Handover[] = [];
  respond: HandoverStub = () => ({ kind: "outcome", outcome: answered });

  override handOver(handover: Handover): Promise<HandoverResult> {
    this.handovers.push(handover);
    return Promise.resolve(this.respond(handover));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

interface TestOptions {
  local?: Outcome | (() => Promise<Outcome>);
  row?: Record<string, number>;
  alive?: string[];
  dead?: string[];
  /** Age of the load report of the other entry in the own domain, in ms. */
  peerLoadAgeMs?: number;
}

function createTestForwarder(options: TestOptions = {}) {
  const { local = answered, row = { a1: 1 } } = options;
  const { alive = ["a1-x", "a2-x", "b1-x"], dead = [] } = options;
  const clock = createFakeClock();
  const config = createConfigView();
  config.regionOf = new Map([["a1", "a"], ["a2", "a"], ["b1", "b"]]);
  const addresses = { caller: "", operator: "" };
  config.fleet = {
    number: 1,
    rowVersion: 1,
    atMs: 0,
    document: {
      regions: [],
      clientBlocks: [],
      withinRegionOneWayMs: 1,
      links: [{ from: "a", to: "b", oneWayMs: 30, limitBytesPerS: 10_000 }],
      entryVms: [...alive, ...dead].map((id) => ({
        id,
        failureDomain: id.split("-")[0],
        steer: { ...addresses, peer: `${id}/steer` },
        entry: { ...addresses, peer: id },
      })),
    },
  };
  const members = alive.map(makeMember);
  const { peerLoadAgeMs: peerLoadAgeMs } = options;
  const loads: LoadState = new Map();
  if (peerLoadAgeMs !== undefined) {
    const entryId = "a1-y/entry";
    const load = { entryId, failureDomain: "a1", utilization: 0, services: [] };
    recordLoad(loads, load, clock.monotonicMs() - peerLoadAgeMs);
  }
  const agent = {
    self: makeMember("a1-x"),
    config: () => config,
    serving: () => members,
    loads: () => loads,
    members: (): ObservedMember[] => [
      ...members.map((member) => ({ member, liveness: "alive" as const })),
      ...dead.map((id) => ({
        member: makeMember(id),
        liveness: "dead" as const,
      })),
    ],
  } as unknown as ControlAgent;
  let localRuns = 0;
  const runner = {
    hasFreeSlot: () => peerLoadAgeMs === undefined,
    run() {
      localRuns += 1;
      return typeof local === "function" ? local() : Promise.resolve(local);
    },
  } satisfies Partial<LocalRunner> as unknown as LocalRunner;
  const peers = new FakePeerClient();
  const forwarder = createRequestForwarder({
    agent,
    steering: { getWeightRow: () => row } satisfies Partial<
      Steering
    > as unknown as Steering,
    runner,
    peers,
    links: createLinkLimiter(),
    registry: createKeyRegistry(),
    clock,
    random: createRandom(1),
  });
  return { forwarder, peers, clock, localRuns: () => localRuns };
}

function makeRequest(changes: Partial<ForwardRequest> = {}): ForwardRequest {
  return {
    id: "r1",
    service: "s",
    requestClass: document.classes[0],
    method: "GET",
    path: "/",
    contentType: undefined,
    body: Buffer.from(""),
    deadlineMs: 1_000,
    key: undefined,
    block: "10.0.0.0/24",
    callerRegion: "a",
    hops: 0,
    signal: new AbortController().signal,
    ...changes,
  };
}

function makeAtMostOnceRequest(owner: string, incarnation = 1): ForwardRequest {
  const prefix = formatKeyPrefix(owner, incarnation, 1_700_000_000_000);
  return makeRequest({
    requestClass: document.classes[1],
    method: "POST",
    key: parseKey(`${prefix}.abcdefgh`),
  });
}

test("a request routed to the own failure domain runs locally", async () => {
  const { forwarder, peers } = createTestForwarder();
  assert.equal(await forwarder.handle(document, makeRequest()), answered);
  assert.is(peers.handovers.length, 0);
});

test("a request that the own failure domain refuses goes to another in the region", async () => {
  const { forwarder, peers } = createTestForwarder({ local: refused });
  assert.equal(await forwarder.handle(document, makeRequest()), answered);
  assert.equal(peers.handovers.map(({ address }) => address), ["a2-x"]);
});

test("a refused request is never sent to another region", async () => {
  const { forwarder, peers } = createTestForwarder({ local: refused });
  peers.respond = () => ({ kind: "outcome", outcome: refused });
  const outcome = await forwarder.handle(document, makeRequest());
  assert.is(outcome.kind, "not_run");
  assert.not.ok(peers.handovers.some(({ address }) => address === "b1-x"));
});

test("requests assigned to an unreachable region are refused until the plan changes", async () => {
  const { forwarder, localRuns } = createTestForwarder({
    row: { b1: 1 },
    alive: ["a1-x"],
  });
  const outcome = await forwarder.handle(document, makeRequest());
  assert.is(outcome.kind, "not_run");
  assert.is(localRuns(), 0);
});

test("a request assigned to another region is handed over across the link", async () => {
  const { forwarder, peers } = createTestForwarder({ row: { b1: 1 } });
  assert.equal(await forwarder.handle(document, makeRequest()), answered);
  assert.is(peers.handovers[0].address, "b1-x");
  assert.is(peers.handovers[0].remainingMs, 1_000 - 60);
});

test("a saturated link refuses requests until its bucket refills", async () => {
  const { forwarder, clock } = createTestForwarder({ row: { b1: 1 } });
  const send = () =>
    forwarder.handle(document, makeRequest({ body: Buffer.alloc(3_000) }));
  const kinds: string[] = [];
  for (let count = 0; count < 4; count++) kinds.push((await send()).kind);
  assert.equal(kinds, ["answer", "not_run", "not_run", "not_run"]);
  clock.advance(900);
  const late = makeRequest({ deadlineMs: 3_000 });
  assert.is((await forwarder.handle(document, late)).kind, "answer");
});

const handoverFailures: [string, HandoverResult, boolean, Outcome["kind"]][] = [
  ["nothing was sent", { kind: "not_sent", reason: "" }, true, "not_run"],
  ["nothing was sent", { kind: "not_sent", reason: "" }, false, "not_run"],
  ["the connection broke", { kind: "failed", reason: "" }, true, "unknown"],
  ["the connection broke", { kind: "failed", reason: "" }, false, "unknown"],
];

for (const [name, result, idempotent, expected] of handoverFailures) {
  const kind = idempotent ? "idempotent" : "at most once";
  test(`hand-over, ${kind}: ${name}: ${expected}`, async () => {
    const { forwarder, peers } = createTestForwarder({ row: { b1: 1 } });
    peers.respond = () => result;
    const request = idempotent ? makeRequest() : makeAtMostOnceRequest("a1-x");
    assert.is((await forwarder.handle(document, request)).kind, expected);
    assert.is(peers.handovers.length, 1);
  });
}

const peerLoadAges: [number, boolean][] = [
  [0, true],
  [LOAD_REFRESH_MS, true],
  [10 * LOAD_REFRESH_MS, false],
];

for (const [peerLoadAgeMs, isAsked] of peerLoadAges) {
  const verb = isAsked ? "goes" : "does not go";
  test(`without a free slot, a request ${verb} to a peer with a load report ${peerLoadAgeMs} ms old`, async () => {
    const alive = ["a1-x", "a1-y"];
    const { forwarder, peers } = createTestForwarder({
      alive,
      peerLoadAgeMs: peerLoadAgeMs,
    });
    assert.equal(await forwarder.handle(document, makeRequest()), answered);
    const asked = peers.handovers.map(({ address }) => address);
    assert.equal(asked, isAsked ? ["a1-y"] : []);
  });
}

test("a repeated key is not run again; its answer is replayed", async () => {
  const { forwarder, localRuns } = createTestForwarder();
  assert.equal(
    await forwarder.handle(document, makeAtMostOnceRequest("a1-x")),
    answered,
  );
  assert.equal(
    await forwarder.handle(document, makeAtMostOnceRequest("a1-x")),
    answered,
  );
  assert.is(localRuns(), 1);
});

test("a key reused with another body is refused as not run", async () => {
  const { forwarder, localRuns } = createTestForwarder();
  await forwarder.handle(document, makeAtMostOnceRequest("a1-x"));
  const other = {
    ...makeAtMostOnceRequest("a1-x"),
    body: Buffer.from("other"),
  };
  assert.is((await forwarder.handle(document, other)).kind, "not_run");
  assert.is(localRuns(), 1);
});

test("a request with another entry's key is handed over to that entry", async () => {
  const { forwarder, peers, localRuns } = createTestForwarder();
  assert.equal(
    await forwarder.handle(document, makeAtMostOnceRequest("a2-x")),
    answered,
  );
  assert.is(peers.handovers[0].mode, "own");
  assert.is(localRuns(), 0);
});

const unreachableOwners: [string, TestOptions, HandoverStub, number][] = [
  [
    "is dead",
    { alive: ["a1-x"], dead: ["a2-x"] },
    () => ({ kind: "not_sent", reason: "" }),
    1,
  ],
  ["was restarted", {}, () => ({ kind: "outcome", outcome: answered }), 2],
  ["is unreachable", {}, () => ({ kind: "failed", reason: "" }), 1],
];

for (const [name, options, respond, incarnation] of unreachableOwners) {
  test(`a request whose key's owner ${name} is not run: unknown`, async () => {
    const { forwarder, peers, localRuns } = createTestForwarder(options);
    peers.respond = respond;
    const request = makeAtMostOnceRequest("a2-x", incarnation);
    assert.is((await forwarder.handle(document, request)).kind, "unknown");
    assert.is(localRuns(), 0);
  });
}

test("the outcome is unknown at the deadline; the late answer is stored", async () => {
  let finish: (outcome: Outcome) => void = () => {};
  const { forwarder, clock } = createTestForwarder({
    local: () => new Promise((resolve) => finish = resolve),
  });
  const first = forwarder.handle(document, makeAtMostOnceRequest("a1-x"));
  clock.advance(1_000);
  assert.is((await first).kind, "unknown");
  finish(answered);
  const again = { ...makeAtMostOnceRequest("a1-x"), deadlineMs: 5_000 };
  assert.equal(await forwarder.handle(document, again), answered);
});

test.run();
