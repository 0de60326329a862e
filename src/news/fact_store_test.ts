import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerNews } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createFactStore, type FactStore } from "./fact_store.ts";
import { type FactUpdate, isSameDigest } from "./types.ts";
import { makeVersion } from "./version.ts";

function makeRemoval(id: string, version: number): FactUpdate {
  return {
    topic: "servers",
    key: `server/${id}`,
    version: makeVersion(version),
  };
}

test("the highest version holds, in whatever order news arrive", () => {
  const board = createFactStore(createFakeClock());
  const ready = makeServerNews(makeServer("1"), 5);
  const draining = makeServerNews(makeServer("1", { state: "draining" }), 7);
  assert.is(board.apply([draining]).length, 1);
  assert.is(board.apply([ready]).length, 0);
  assert.equal(board.listTopic("servers"), [draining]);
});

test("late news do not bring a removed fact back", () => {
  const board = createFactStore(createFakeClock());
  board.apply([makeServerNews(makeServer("1"), 5), makeRemoval("1", 8)]);
  board.apply([makeServerNews(makeServer("1"), 6)]);
  assert.ok(board.listTopic("servers").every(({ fact }) => fact === undefined));
});

test("a whole list removes what it lacks, except newer facts", () => {
  const board = createFactStore(createFakeClock());
  board.apply([
    makeServerNews(makeServer("old"), 5),
    makeServerNews(makeServer("kept"), 6),
    makeServerNews(makeServer("newer"), 20),
  ]);
  const kept = makeServerNews(makeServer("kept"), 6);
  const changed = board.applySnapshot("servers", {
    items: [kept],
    version: makeVersion(10),
  });
  assert.equal(changed.map(({ key }) => key), ["server/old"]);
  const left = board.listTopic("servers").filter(({ fact }) =>
    fact !== undefined
  );
  assert.equal(left.map(({ key }) => key), ["server/kept", "server/newer"]);
});

test("a whole list leaves the other topic alone", () => {
  const board = createFactStore(createFakeClock());
  board.apply([makeServerNews(makeServer("1"), 5)]);
  board.applySnapshot("operations", { items: [], version: makeVersion(10) });
  assert.is(board.listTopic("servers")[0].fact?.kind, "server");
});

test("facts are as old as the last complete reading, own or told", () => {
  const clock = createFakeClock();
  const board = createFactStore(clock);
  assert.is(board.getAgeMs("servers"), Infinity);
  board.recordComplete("servers", 300);
  clock.advance(100);
  assert.is(board.getAgeMs("servers"), 400);
  board.recordComplete("servers", 900);
  assert.is(board.getAgeMs("servers"), 400);
});

test("removals are forgotten after two minutes", () => {
  const clock = createFakeClock();
  const board = createFactStore(clock);
  board.apply([makeServerNews(makeServer("1"), 5), makeRemoval("1", 8)]);
  clock.advance(130_000);
  board.apply([]);
  assert.is(board.listTopic("servers").length, 0);
});

test("digests tell boards apart that know different facts", () => {
  const [one, other] = [0, 1].map(() => createFactStore(createFakeClock()));
  one.apply([makeServerNews(makeServer("1"), 1)]);
  one.apply([makeServerNews(makeServer("2"), 2)]);
  other.apply([makeServerNews(makeServer("2"), 2)]);
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

/** Knows a server of before the copy, one that joined and one that left since. */
function createRestoredBoard() {
  const board = createFactStore(createFakeClock());
  board.recordEpochs("servers", RESTORED);
  board.apply([
    makeServerNews(makeServer("old"), 40, 1),
    makeServerNews(makeServer("joined"), 60, 1),
    { ...makeRemoval("left", 61), version: makeVersion(61, 1) },
  ]);
  return board;
}

function listNames(board: FactStore): string[] {
  return board.listTopic("servers").filter(({ fact }) => fact !== undefined)
    .map(({ key }) => key).sort();
}

test("a list of a copy takes nothing back", () => {
  const board = createRestoredBoard();
  const left = makeServerNews(makeServer("left"), 45, 2);
  const old = makeServerNews(makeServer("old"), 40, 2);
  const batch = { items: [old, left], version: makeVersion(52, 2) };
  assert.equal(board.applySnapshot("servers", batch), []);
  assert.equal(listNames(board), ["server/joined", "server/old"]);
});

test("a list of a settled epoch holds, however low its numbers", () => {
  const board = createRestoredBoard();
  board.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  const left = makeServerNews(makeServer("left"), 45, 2);
  const batch = { items: [left], version: makeVersion(52, 2) };
  board.applySnapshot("servers", batch);
  assert.equal(listNames(board), ["server/left"]);
});

test("a VM that reads nothing drops lost facts once another one told all", () => {
  const board = createRestoredBoard();
  board.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.equal(listNames(board), ["server/joined", "server/old"]);
  board.applyPeerSnapshot("servers", [
    makeServerNews(makeServer("old"), 40, 2),
  ]);
  assert.equal(listNames(board), ["server/old"]);
});

test("a VM that is behind brings no lost fact back", () => {
  const board = createFactStore(createFakeClock());
  board.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.equal(board.apply([makeServerNews(makeServer("lost"), 60, 1)]), []);
});

test("digests tell a lost fact from one that got its number again", () => {
  const [one, other] = [0, 1].map(() => createFactStore(createFakeClock()));
  for (const board of [one, other]) board.recordEpochs("servers", RESTORED);
  one.apply([makeServerNews(makeServer("1"), 60, 1)]);
  other.apply([makeServerNews(makeServer("1"), 60, 2)]);
  assert.not(
    isSameDigest(one.getDigest("servers"), other.getDigest("servers")),
  );
});

test("the operator's next configuration proves more than a copied one", () => {
  const board = createRestoredBoard();
  assert.ok(board.hasUnsettledRestore("servers"));
  assert.not(board.isFromLatestEpoch("server/old"));
  board.apply([makeServerNews(makeServer("old"), 55, 2)]);
  assert.ok(board.isFromLatestEpoch("server/old"));
  board.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.not(board.hasUnsettledRestore("servers"));
});

test("only a VM that read all of it lately knows a whole topic", () => {
  const clock = createFakeClock();
  const board = createFactStore(clock);
  board.apply([makeServerNews(makeServer("1"), 1, 1)]);
  assert.not(board.isComplete("servers"));
  board.recordComplete("servers", 0);
  assert.ok(board.isComplete("servers"));
  board.recordEpochs("servers", [{
    epoch: 2,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.not(board.isComplete("servers"), "a fact is of an epoch before");
});

test.run();
