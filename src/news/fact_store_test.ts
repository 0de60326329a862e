import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeConfiguration,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createFactStore, type FactStore } from "./fact_store.ts";
import { CONFIGURATION_KEY, type FactUpdate, isSameDigest } from "./types.ts";
import { makeVersion } from "./version.ts";

function makeRemoval(id: string, version: number): FactUpdate {
  return {
    topic: "servers",
    key: `server/${id}`,
    version: makeVersion(version),
  };
}

test("the highest version is kept, whatever the order of updates", () => {
  const store = createFactStore(createFakeClock());
  const ready = makeServerUpdate(makeServer("1"), 5);
  const draining = makeServerUpdate(makeServer("1", { state: "draining" }), 7);
  assert.is(store.apply([draining]).length, 1);
  assert.is(store.apply([ready]).length, 0);
  assert.equal(store.listTopic("servers"), [draining]);
});

test("a late update does not restore a removed fact", () => {
  const store = createFactStore(createFakeClock());
  store.apply([makeServerUpdate(makeServer("1"), 5), makeRemoval("1", 8)]);
  store.apply([makeServerUpdate(makeServer("1"), 6)]);
  assert.ok(store.listTopic("servers").every(({ fact }) => fact === undefined));
});

test("a snapshot removes the facts that it lacks, except newer ones", () => {
  const store = createFactStore(createFakeClock());
  store.apply([
    makeServerUpdate(makeServer("old"), 5),
    makeServerUpdate(makeServer("kept"), 6),
    makeServerUpdate(makeServer("newer"), 20),
  ]);
  const kept = makeServerUpdate(makeServer("kept"), 6);
  const changed = store.applySnapshot("servers", {
    items: [kept],
    version: makeVersion(10),
  });
  assert.equal(changed.map(({ key }) => key), ["server/old"]);
  const left = store.listTopic("servers").filter(({ fact }) =>
    fact !== undefined
  );
  assert.equal(left.map(({ key }) => key), ["server/kept", "server/newer"]);
});

// Guards against the loss of the configuration in force to an odd newer one.
test("a listing keeps facts whose newer version is invalid", () => {
  const store = createFactStore(createFakeClock());
  const known = makeServerUpdate(makeServer("1"), 5);
  store.apply([known]);
  const invalidKeys = [known.key];
  const version = makeVersion(10);
  store.applySnapshot("servers", { items: [], version, invalidKeys });
  store.applyPeerSnapshot("servers", {
    updates: [],
    invalidKeys,
    isWhole: true,
  });
  assert.equal(store.listTopic("servers"), [known]);
});

test("a snapshot leaves the other topic unchanged", () => {
  const store = createFactStore(createFakeClock());
  store.apply([makeServerUpdate(makeServer("1"), 5)]);
  store.applySnapshot("operations", { items: [], version: makeVersion(10) });
  assert.is(store.listTopic("servers")[0].fact?.kind, "server");
});

test("facts are as old as the last complete read, own or reported", () => {
  const clock = createFakeClock();
  const store = createFactStore(clock);
  assert.is(store.getAgeMs("servers"), Infinity);
  store.recordComplete("servers", 300);
  clock.advance(100);
  assert.is(store.getAgeMs("servers"), 400);
  store.recordComplete("servers", 900);
  assert.is(store.getAgeMs("servers"), 400);
});

test("removals are deleted after two minutes", () => {
  const clock = createFakeClock();
  const store = createFactStore(clock);
  store.apply([makeServerUpdate(makeServer("1"), 5), makeRemoval("1", 8)]);
  clock.advance(130_000);
  store.apply([]);
  assert.is(store.listTopic("servers").length, 0);
});

test("stores with different facts have different digests", () => {
  const [one, other] = [0, 1].map(() => createFactStore(createFakeClock()));
  one.apply([makeServerUpdate(makeServer("1"), 1)]);
  one.apply([makeServerUpdate(makeServer("2"), 2)]);
  other.apply([makeServerUpdate(makeServer("2"), 2)]);
  assert.not.equal(one.getDigest("servers"), other.getDigest("servers"));
  other.apply(one.listTopic("servers"));
  assert.equal(one.getDigest("servers"), other.getDigest("servers"));
  one.apply([{ topic: "servers", key: "server/1", version: makeVersion(3) }]);
  assert.equal(one.getDigest("servers"), { facts: 1, versionSum: 2 });
});

const RESTORED = [
  { epoch: 1, copiedThrough: 0, isSettled: true },
  { epoch: 2, copiedThrough: 50 },
];

/** Has a server from before the copy, one that joined since and one that left. */
function createRestoredStore() {
  const store = createFactStore(createFakeClock());
  store.recordEpochs("servers", RESTORED);
  store.apply([
    makeServerUpdate(makeServer("old"), 40, 1),
    makeServerUpdate(makeServer("joined"), 60, 1),
    { ...makeRemoval("left", 61), version: makeVersion(61, 1) },
  ]);
  return store;
}

function listNames(store: FactStore): string[] {
  return store.listTopic("servers").filter(({ fact }) => fact !== undefined)
    .map(({ key }) => key).sort();
}

test("a snapshot of a restored copy reverts nothing", () => {
  const store = createRestoredStore();
  const left = makeServerUpdate(makeServer("left"), 45, 2);
  const old = makeServerUpdate(makeServer("old"), 40, 2);
  const batch = { items: [old, left], version: makeVersion(52, 2) };
  assert.equal(store.applySnapshot("servers", batch), []);
  assert.equal(listNames(store), ["server/joined", "server/old"]);
});

test("a snapshot of a settled epoch applies, however low its numbers", () => {
  const store = createRestoredStore();
  store.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  const left = makeServerUpdate(makeServer("left"), 45, 2);
  const batch = { items: [left], version: makeVersion(52, 2) };
  store.applySnapshot("servers", batch);
  assert.equal(listNames(store), ["server/left"]);
});

test("a VM that does not read drops lost facts by a peer's snapshot", () => {
  const store = createRestoredStore();
  store.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.equal(listNames(store), ["server/joined", "server/old"]);
  store.applyPeerSnapshot("servers", {
    updates: [makeServerUpdate(makeServer("old"), 40, 2)],
    isWhole: true,
  });
  assert.equal(listNames(store), ["server/old"]);
});

test("an update of a VM that is behind does not restore a lost fact", () => {
  const store = createFactStore(createFakeClock());
  store.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.equal(store.apply([makeServerUpdate(makeServer("lost"), 60, 1)]), []);
});

test("digests differ between a lost fact and one that reused its number", () => {
  const [one, other] = [0, 1].map(() => createFactStore(createFakeClock()));
  for (const store of [one, other]) store.recordEpochs("servers", RESTORED);
  one.apply([makeServerUpdate(makeServer("1"), 60, 1)]);
  other.apply([makeServerUpdate(makeServer("1"), 60, 2)]);
  assert.not(
    isSameDigest(one.getDigest("servers"), other.getDigest("servers")),
  );
});

test("a fact written after a restore is from the latest epoch, a copied one not", () => {
  const store = createRestoredStore();
  assert.ok(store.hasUnsettledRestore("servers"));
  assert.not(store.isFromLatestEpoch("server/old"));
  store.apply([makeServerUpdate(makeServer("old"), 55, 2)]);
  assert.ok(store.isFromLatestEpoch("server/old"));
  store.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.not(store.hasUnsettledRestore("servers"));
});

test("a topic is complete only after a recent read, without older epochs", () => {
  const clock = createFakeClock();
  const store = createFactStore(clock);
  store.apply([makeServerUpdate(makeServer("1"), 1, 1)]);
  assert.not(store.isComplete("servers"));
  store.recordComplete("servers", 0);
  assert.ok(store.isComplete("servers"));
  store.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.not(store.isComplete("servers"), "a fact is of an earlier epoch");
});

// Guards against VMs that announce facts without end.
test("a store keeps a limited number of facts of a topic", () => {
  const clock = createFakeClock();
  const store = createFactStore(clock);
  const limit = 50_000;
  const add = (index: number) =>
    store.apply([makeServerUpdate(makeServer(`${index}`), 1)]).length;
  const first = makeServerUpdate(makeServer("0"), 1);
  const updates = Array.from(
    { length: limit + 10 },
    (_, index) => ({ ...first, key: `server/${index}` }),
  );
  assert.is(store.apply(updates).length, limit);
  assert.is(add(limit + 20), 0);
  store.apply([makeRemoval("0", 2)]);
  clock.advance(121_000);
  assert.is(add(limit + 20), 1, "removals make room once they are old");
  assert.is(add(limit + 21), 0);
  const other: FactUpdate = { ...makeRemoval("1", 9), topic: "suspects" };
  assert.is(store.apply([other]).length, 0, "a key belongs to one topic");
});

/** Has read the servers up to 10, when one had left whose removal it missed. */
function createStoreThatListed(clock: FakeClock = createFakeClock()) {
  const store = createFactStore(clock);
  store.applySnapshot("servers", {
    items: [makeServerUpdate(makeServer("kept"), 6)],
    version: makeVersion(10),
  });
  return store;
}

// Guards against VMs that missed a removal and bring the fact back to VMs that
// started after it.
test("a fact that a listing lacks is not taken from a VM that still has it", () => {
  const store = createStoreThatListed();
  const left = makeServerUpdate(makeServer("left"), 5);
  assert.ok(store.isKnownRemoved(left));
  assert.equal(store.apply([left]), []);
  const kept = makeServerUpdate(makeServer("kept"), 6);
  const snapshot = { updates: [left, kept], readPositions: [makeVersion(8)] };
  store.applyPeerSnapshot("servers", snapshot);
  assert.equal(listNames(store), ["server/kept"]);
  const joined = makeServerUpdate(makeServer("joined"), 12);
  assert.equal(store.apply([joined]), [joined]);
});

// Guards against a listing that can't correct what a VM has wrongly inferred.
test("a fact is taken from a listing that is as recent as what is known", () => {
  const store = createStoreThatListed();
  const fact = makeServerUpdate(makeServer("1"), 5);
  const version = makeVersion(10);
  store.applySnapshot("servers", { items: [fact], version });
  assert.equal(listNames(store), ["server/1"]);
});

// Guards against VMs without contact to the source that keep what has left.
test("a VM drops what another VM knows to be removed, and nothing newer", () => {
  const store = createFactStore(createFakeClock());
  store.apply([
    makeServerUpdate(makeServer("left"), 5),
    makeServerUpdate(makeServer("kept"), 6),
    makeServerUpdate(makeServer("joined"), 12),
  ]);
  store.applyPeerSnapshot("servers", {
    updates: [makeServerUpdate(makeServer("kept"), 6)],
    readPositions: [makeVersion(10)],
  });
  assert.equal(listNames(store), ["server/joined", "server/kept"]);
  assert.equal(store.apply([makeServerUpdate(makeServer("left"), 5)]), []);
  assert.ok(store.isKnownRemoved(makeServerUpdate(makeServer("past"), 4)));
});

// Guards against removals that are forgotten before the absent VM is back.
test("a removed fact stays removed however late a VM sends it", () => {
  const clock = createFakeClock();
  const store = createStoreThatListed(clock);
  store.applyChanges("servers", {
    items: [makeServerUpdate(makeServer("1"), 12)],
    version: makeVersion(12),
  });
  store.apply([makeRemoval("1", 15)]);
  clock.advance(130_000);
  assert.equal(store.apply([makeServerUpdate(makeServer("1"), 13)]), []);
  store.recordReadPositions("servers", [makeVersion(20)]);
  store.apply([]);
  assert.equal(listNames(store), ["server/kept"]);
  assert.is(store.listTopic("servers").length, 1, "the removal isn't needed");
  assert.equal(store.apply([makeServerUpdate(makeServer("1"), 13)]), []);
});

// Guards against VMs that take a fact for removed that they could only not read.
test("a listing with unreadable facts shows nothing about what it lacks", () => {
  const store = createFactStore(createFakeClock());
  const known = makeServerUpdate(makeServer("1"), 5);
  const version = makeVersion(10);
  const invalidKeys = [known.key];
  store.applySnapshot("servers", { items: [], version, invalidKeys });
  assert.equal(store.apply([known]), [known]);
});

// Guards against the loss of the configuration in force with its row.
test("a configuration is taken from a VM though a listing has none", () => {
  const store = createFactStore(createFakeClock());
  store.applySnapshot("operations", { items: [], version: makeVersion(10) });
  const update: FactUpdate = {
    topic: "operations",
    key: CONFIGURATION_KEY,
    version: makeVersion(5),
    fact: { kind: "configuration", configuration: makeConfiguration([], 1) },
  };
  assert.equal(store.apply([update]), [update]);
});

// Guards against a restored copy that hides what was written after the copy.
test("a listing of a restored copy shows nothing about facts of other epochs", () => {
  const store = createFactStore(createFakeClock());
  store.recordEpochs("servers", RESTORED);
  store.applySnapshot("servers", { items: [], version: makeVersion(50, 2) });
  const joined = makeServerUpdate(makeServer("joined"), 45, 1);
  assert.equal(store.apply([joined]), [joined]);
  const left = makeServerUpdate(makeServer("left"), 45, 2);
  assert.equal(store.apply([left]), []);
});

// Guards against positions of one epoch that are taken for those of another.
test("an answer without epoch shows nothing about what it lacks", () => {
  const store = createFactStore(createFakeClock());
  store.recordEpochs("servers", RESTORED);
  const version = makeVersion(90, 2);
  store.applySnapshot("servers", { items: [], version, isEpochAssumed: true });
  const joined = makeServerUpdate(makeServer("joined"), 60, 2);
  assert.equal(store.apply([joined]), [joined]);
});

test.run();
