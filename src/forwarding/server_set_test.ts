import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { BackendServer, ServiceDocument } from "../config/schema.ts";
import { serviceSchema } from "../config/schema.ts";
import {
  getConcurrencyLimit,
  getTotalConcurrencyLimit,
  listEligibleServers,
} from "./server_limits.ts";
import {
  beginRequest,
  createServerSet,
  endRequest,
  getSlotShare,
  markLeaving,
  recordHealth,
  type ServerSet,
  SHARE_INCREASE_DELAY_MS,
  syncServers,
} from "./server_set.ts";

const SEED = 20261202;

function makeDocument(
  servers: number,
  changes: Partial<ServiceDocument> = {},
): ServiceDocument {
  return {
    ...serviceSchema.parse({
      service: "s",
      regions: ["a"],
      backendServers: Array.from({ length: servers }, (_, index) => ({
        id: `s-${index}`,
        failureDomain: "a-1",
        address: `127.0.0.1:${9_000 + index}`,
        slots: 4,
      })),
      shiftCap: { maxShare: 0.1, windowS: 10 },
      classes: [{ name: "lookup", methods: ["GET"], idempotent: true }],
    }),
    ...changes,
  };
}

function sync(
  set: ServerSet,
  document: ServiceDocument,
  nowMs: number,
  leaving: string[] = [],
): void {
  syncServers(set, document, {
    failureDomain: "a-1",
    entry: { index: 0, count: 1 },
    getLeavingReason: (server: BackendServer) =>
      leaving.includes(server.id) ? "document" : undefined,
    nowMs,
  });
}

function makeSet(servers: number): ServerSet {
  const document = makeDocument(servers);
  const set = createServerSet(document);
  sync(set, document, 0);
  return set;
}

test("the shares of all entries add up to a server's slots", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 200 }),
      fc.integer({ min: 1, max: 12 }),
      fc.nat(50),
      (slots, count, serverIndex) => {
        let sum = 0;
        for (let index = 0; index < count; index++) {
          sum += getSlotShare(slots, serverIndex, { index, count });
        }
        assert.is(sum, slots);
      },
    ),
    { seed: SEED, numRuns: 2_000 },
  );
});

test("a share is reduced at once and increased only after a delay", () => {
  const document = makeDocument(1);
  const set = createServerSet(document);
  const shareAt = (nowMs: number, count: number) => {
    syncServers(set, document, {
      failureDomain: "a-1",
      entry: { index: 0, count },
      getLeavingReason: () => undefined,
      nowMs,
    });
    return set.servers.get("s-0")!.share;
  };
  assert.is(shareAt(0, 2), 2);
  assert.is(shareAt(1_000, 4), 1);
  assert.is(shareAt(2_000, 1), 1);
  assert.is(shareAt(2_000 + SHARE_INCREASE_DELAY_MS - 1, 1), 1);
  assert.is(shareAt(2_000 + SHARE_INCREASE_DELAY_MS, 1), 4);
});

test("an entry that the fleet document does not list gets no slots", () => {
  assert.is(getSlotShare(8, 0, { index: 0, count: Infinity }), 0);
});

test("a server is ejected after consecutive failures, then ramps up", () => {
  const set = makeSet(4);
  const state = set.servers.get("s-0")!;
  for (let count = 0; count < 3; count++) {
    beginRequest(state);
    endRequest(state, { ok: false, durationMs: 5, nowMs: 100 });
  }
  assert.is(listEligibleServers(set, 101).length, 3);
  assert.is(listEligibleServers(set, 1_101).length, 4);
  const limit = getConcurrencyLimit(set, state, { medianMs: 50, nowMs: 1_101 });
  assert.is(limit, 1);
});

test("a fault common to all servers ejects none of them", () => {
  const set = makeSet(4);
  for (const state of set.servers.values()) {
    for (let count = 0; count < 3; count++) {
      beginRequest(state);
      endRequest(state, { ok: false, durationMs: 5, nowMs: 100 });
    }
  }
  assert.is(listEligibleServers(set, 101).length, 4);
});

test("a failed probe counts until a request succeeds", () => {
  const set = makeSet(4);
  const report = { serverId: "s-0", reportedUse: 0, ageMs: 0 };
  recordHealth(set, { ...report, state: "failing" }, 100);
  assert.is(listEligibleServers(set, 101).length, 3);
  const state = set.servers.get("s-0")!;
  beginRequest(state);
  endRequest(state, { ok: true, durationMs: 5, nowMs: 150 });
  assert.is(listEligibleServers(set, 151).length, 4);
});

test("a slow server gets fewer slots, and more as its observed latency ages", () => {
  const set = makeSet(4);
  for (const state of set.servers.values()) {
    const durationMs = state.server.id === "s-0" ? 500 : 50;
    for (let count = 0; count < 20; count++) {
      beginRequest(state);
      endRequest(state, { ok: true, durationMs, nowMs: 100 });
    }
  }
  const slow = set.servers.get("s-0")!;
  assert.is(getConcurrencyLimit(set, slow, { medianMs: 50, nowMs: 100 }), 1);
  assert.is(getConcurrencyLimit(set, slow, { medianMs: 50, nowMs: 20_000 }), 4);
});

const leaveCases: [string, (set: ServerSet) => void][] = [
  ["the document", (set) => sync(set, makeDocument(4), 100, ["s-0"])],
  [
    "its health answer",
    (set) =>
      recordHealth(set, {
        serverId: "s-0",
        state: "draining",
        reportedUse: 0,
        ageMs: 0,
      }, 100),
  ],
  [
    "its own refusal",
    (set) => markLeaving(set.servers.get("s-0")!, "answer", 100),
  ],
  ["its removal from the document", (set) => {
    const document = makeDocument(4);
    document.backendServers.shift();
    sync(set, document, 100);
  }],
];

for (const [name, leave] of leaveCases) {
  test(`a server leaving by ${name} gets no new requests and finishes running ones`, () => {
    const set = makeSet(4);
    const state = set.servers.get("s-0")!;
    beginRequest(state);
    leave(set);
    const eligible = listEligibleServers(set, 101).map(({ server }) =>
      server.id
    );
    assert.equal(eligible, ["s-1", "s-2", "s-3"]);
    assert.is(getTotalConcurrencyLimit(set, 101), 12);
    assert.is(state.drainMs, undefined);
    endRequest(state, { ok: true, durationMs: 50, nowMs: 350 });
    assert.is(state.drainMs, 250);
  });
}

test("a server added later starts cold and ramps up", () => {
  const set = makeSet(2);
  sync(set, makeDocument(3), 1_000);
  const joined = set.servers.get("s-2")!;
  const at = (nowMs: number) =>
    getConcurrencyLimit(set, joined, { medianMs: 50, nowMs });
  assert.is(at(1_000), 1);
  assert.is(at(6_000), 2);
  assert.is(at(11_000), 4);
});

test.run();
