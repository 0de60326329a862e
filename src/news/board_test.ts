import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerNews } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createNewsBoard } from "./board.ts";
import type { NewsItem } from "./types.ts";

function makeRemoval(id: string, version: number): NewsItem {
  return { topic: "servers", key: `server/${id}`, version };
}

test("the highest version holds, in whatever order news arrive", () => {
  const board = createNewsBoard(createFakeClock());
  const ready = makeServerNews(makeServer("1"), 5);
  const draining = makeServerNews(makeServer("1", { state: "draining" }), 7);
  assert.is(board.apply([draining]).length, 1);
  assert.is(board.apply([ready]).length, 0);
  assert.equal(board.listTopic("servers"), [draining]);
});

test("late news do not bring a removed fact back", () => {
  const board = createNewsBoard(createFakeClock());
  board.apply([makeServerNews(makeServer("1"), 5), makeRemoval("1", 8)]);
  board.apply([makeServerNews(makeServer("1"), 6)]);
  assert.ok(board.listTopic("servers").every(({ fact }) => fact === undefined));
});

test("a whole list removes what it lacks, except newer facts", () => {
  const board = createNewsBoard(createFakeClock());
  board.apply([
    makeServerNews(makeServer("old"), 5),
    makeServerNews(makeServer("kept"), 6),
    makeServerNews(makeServer("newer"), 20),
  ]);
  const kept = makeServerNews(makeServer("kept"), 6);
  const changed = board.applyWhole("servers", { items: [kept], version: 10 });
  assert.equal(changed.map(({ key }) => key), ["server/old"]);
  const left = board.listTopic("servers").filter(({ fact }) =>
    fact !== undefined
  );
  assert.equal(left.map(({ key }) => key), ["server/kept", "server/newer"]);
});

test("a whole list leaves the other topic alone", () => {
  const board = createNewsBoard(createFakeClock());
  board.apply([makeServerNews(makeServer("1"), 5)]);
  board.applyWhole("operations", { items: [], version: 10 });
  assert.is(board.listTopic("servers")[0].fact?.kind, "server");
});

test("facts are as old as the last complete reading, own or told", () => {
  const clock = createFakeClock();
  const board = createNewsBoard(clock);
  assert.is(board.getAgeMs("servers"), Infinity);
  board.noteCurrent("servers", 300);
  clock.advance(100);
  assert.is(board.getAgeMs("servers"), 400);
  board.noteCurrent("servers", 900);
  assert.is(board.getAgeMs("servers"), 400);
});

test("removals are forgotten after two minutes", () => {
  const clock = createFakeClock();
  const board = createNewsBoard(clock);
  board.apply([makeServerNews(makeServer("1"), 5), makeRemoval("1", 8)]);
  clock.advance(130_000);
  board.apply([]);
  assert.is(board.listTopic("servers").length, 0);
});

test("digests tell boards apart that know different facts", () => {
  const [one, other] = [0, 1].map(() => createNewsBoard(createFakeClock()));
  one.apply([makeServerNews(makeServer("1"), 1)]);
  one.apply([makeServerNews(makeServer("2"), 2)]);
  other.apply([makeServerNews(makeServer("2"), 2)]);
  assert.not.equal(one.getDigest("servers"), other.getDigest("servers"));
  other.apply(one.listTopic("servers"));
  assert.equal(one.getDigest("servers"), other.getDigest("servers"));
  one.apply([{ topic: "servers", key: "server/1", version: 3 }]);
  assert.equal(one.getDigest("servers"), { facts: 1, versionSum: 2 });
});

test.run();
