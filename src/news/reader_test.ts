import pino from "pino";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createFactStore } from "./fact_store.ts";
import { DEFAULT_READER_TIMINGS, startReader } from "./reader.ts";
import {
  FactSource,
  type FollowResult,
  type SourceBatch,
  type SourceUpdate,
} from "./types.ts";

/** Returns the answers that a test sets, one per call. */
class ScriptedSource extends FactSource {
  answers: (SourceBatch | "history_lost" | Error)[] = [];
  calls: string[] = [];

  override list(): Promise<SourceBatch> {
    this.calls.push("list");
    const answer = this.#next();
    if (answer === "history_lost") throw new Error("not valid for list");
    return Promise.resolve(answer);
  }

  override follow(_: string, after: number): Promise<FollowResult> {
    this.calls.push(`follow ${after}`);
    const answer = this.#next();
    return Promise.resolve(
      answer === "history_lost"
        ? { kind: "history_lost" }
        : { kind: "changes", batch: answer },
    );
  }

  #next(): SourceBatch | "history_lost" {
    const answer = this.answers.shift();
    if (answer === undefined) throw new Error("no answer");
    if (answer instanceof Error) throw answer;
    return answer;
  }
}

function makeItem(name: string, version: number): SourceUpdate {
  const server = makeServer(name);
  const fact = { kind: "server", server } as const;
  return { topic: "servers", key: `server/${name}`, version, fact };
}

function makeBatch(
  version: number,
  epoch: number | undefined,
  ...items: SourceUpdate[]
): SourceBatch {
  return { items, version, epoch };
}

async function play(answers: ScriptedSource["answers"]) {
  const clock = createFakeClock();
  const store = createFactStore(clock);
  const source = new ScriptedSource();
  source.answers = [...answers];
  const messages: string[] = [];
  const reads: string[] = [];
  const write = (line: string) => void messages.push(JSON.parse(line).msg);
  const reader = startReader("servers", {
    source,
    store,
    clock,
    log: pino({}, { write }),
    timings: DEFAULT_READER_TIMINGS,
    hasReadDuty: () => source.answers.length > 0,
    needsFallbackRead: () => false,
    onUpdates: () => {},
    onRead: () => void reads.push(source.calls.at(-1)!),
    getInstant: () => ({ monotonicMs: 0, wallMs: 0 }),
  });
  for (let step = 0; step < 60; step++) {
    for (let turn = 0; turn < 8; turn++) await Promise.resolve();
    clock.advance(200);
  }
  reader.stop();
  const names = store.listTopic("servers")
    .filter(({ fact }) => fact !== undefined).map(({ key }) => key);
  return { store, calls: source.calls, messages, reads, names };
}

test("a change is not skipped where a new epoch passed the old position", async () => {
  const { calls, names } = await play([
    makeBatch(10, 1, makeItem("a", 10)),
    makeBatch(40, 2),
    makeBatch(40, 2, makeItem("a", 5), makeItem("b", 8)),
  ]);
  assert.equal(calls, ["list", "follow 10", "list"]);
  assert.equal(names, ["server/a", "server/b"]);
});

test("a lost position makes the reader list the topic in the new epoch", async () => {
  const { store, calls, messages } = await play([
    makeBatch(10, 1, makeItem("a", 10)),
    "history_lost",
    makeBatch(4, 2),
    makeBatch(6, 2, makeItem("b", 6)),
  ]);
  assert.equal(calls, ["list", "follow 10", "list", "follow 4"]);
  assert.is(store.getLatestEpoch("servers"), 2);
  assert.ok(messages.includes("epoch began"));
});

test("epochs may begin at 0, or be named only after the first restore", async () => {
  for (const first of [0, undefined]) {
    const { store, names } = await play([
      makeBatch(10, first, makeItem("a", 3), makeItem("joined", 10)),
      "history_lost",
      makeBatch(5, 1, makeItem("a", 3)),
    ]);
    assert.equal(names, ["server/a", "server/joined"]);
    assert.ok(store.hasUnsettledRestore("servers"));
  }
});

test("facts that the copy lacks are kept", async () => {
  const { names } = await play([
    makeBatch(10, 1, makeItem("a", 3), makeItem("joined", 10)),
    "history_lost",
    makeBatch(5, 2, makeItem("a", 3)),
  ]);
  assert.equal(names, ["server/a", "server/joined"]);
});

test("a late answer of an earlier epoch changes nothing", async () => {
  const { store, names, reads } = await play([
    makeBatch(10, 2, makeItem("a", 10)),
    makeBatch(90, 1, makeItem("late", 90)),
    makeBatch(90, 1, makeItem("late", 90)),
  ]);
  assert.equal(names, ["server/a"]);
  assert.equal(reads, ["list"]);
  assert.is(store.getLatestEpoch("servers"), 2);
});

test("a source that names no epoch is followed by its numbers", async () => {
  const { calls, names } = await play([
    makeBatch(10, undefined, makeItem("a", 10)),
    makeBatch(12, undefined, makeItem("b", 12)),
    makeBatch(12, undefined),
  ]);
  assert.equal(calls, ["list", "follow 10", "follow 12"]);
  assert.equal(names, ["server/a", "server/b"]);
});

test("an answer that names no epoch belongs to the known epoch", async () => {
  const { calls, names } = await play([
    makeBatch(10, 3, makeItem("a", 10)),
    makeBatch(12, undefined, makeItem("b", 12)),
  ]);
  assert.equal(calls, ["list", "follow 10"]);
  assert.equal(names, ["server/a", "server/b"]);
});

test.run();
