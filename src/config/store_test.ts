import { ok } from "neverthrow";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  type PlatformResult,
  type Transaction,
  type TransactionResult,
} from "../platform/types.ts";
import { err } from "neverthrow";
import { createSystemClock } from "../runtime/clock.ts";
import { StepError } from "../runtime/errors.ts";
import { MemoryTable } from "../standin/memory_table.ts";
import { createDocumentStore } from "./store.ts";

const KEY = "config/service/enrol";
const instantClock = {
  ...createSystemClock(),
  after(_delayMs: number, run: () => void) {
    queueMicrotask(run);
    return { cancel() {} };
  },
};

type LostAnswerTiming = "after" | "before";

/** A table that loses the response to the next write, after or before it. */
class LossyTable extends MemoryTable {
  loseAnswer: LostAnswerTiming | undefined;
  writes = 0;

  override async transact(
    transaction: Transaction,
  ): PlatformResult<TransactionResult> {
    this.writes += 1;
    const { loseAnswer } = this;
    this.loseAnswer = undefined;
    const commit = loseAnswer === "before"
      ? ok<TransactionResult, StepError>({ outcome: "committed", version: 0 })
      : await super.transact(transaction);
    if (loseAnswer === undefined) return commit;
    return err(
      new StepError("Lost", { step: "t", peer: "table", kind: "unknown" }),
    );
  }
}

function setUp() {
  const table = new LossyTable();
  return { table, store: createDocumentStore(table, instantClock) };
}

const put = (text: string, baseRowVersion: number) => ({
  key: KEY,
  text,
  author: "ann",
  baseRowVersion,
});

test("concurrent edits: the second is rejected and returns the first", async () => {
  const { store } = setUp();
  const first = (await store.put(put("one", 0)))._unsafeUnwrap();
  assert.is(first.outcome, "accepted");
  const second = (await store.put(put("two", 0)))._unsafeUnwrap();
  assert.is(second.outcome, "race");
  if (second.outcome === "race") {
    assert.is(second.theirs.stored?.text, "one");
  }
});

test("simultaneous puts: exactly one is accepted", async () => {
  const { store } = setUp();
  const results = await Promise.all(
    ["one", "two", "three"].map((text) => store.put(put(text, 0))),
  );
  const outcomes = results.map((result) => result._unsafeUnwrap().outcome);
  assert.equal(outcomes.sort(), ["accepted", "race", "race"]);
  const history = (await store.history(KEY))._unsafeUnwrap();
  assert.is(history.length, 1);
});

test("a response lost after the write is resolved without a second write", async () => {
  const { table, store } = setUp();
  table.loseAnswer = "after";
  const result = (await store.put(put("one", 0)))._unsafeUnwrap();
  assert.is(result.outcome, "accepted");
  assert.is(table.writes, 1);
  assert.is((await store.history(KEY))._unsafeUnwrap().length, 1);
});

test("a response lost without a write is reported as unknown", async () => {
  const { table, store } = setUp();
  table.loseAnswer = "before";
  const result = await store.put(put("one", 0));
  assert.is(result._unsafeUnwrapErr().kind, "unknown");
  assert.is(table.writes, 1);
});

test("a put whose response was lost is resolved, then edited again", async () => {
  const { table, store } = setUp();
  await store.put(put("zero", 0));
  const from = (await store.read(KEY))._unsafeUnwrap().rowVersion;
  table.loseAnswer = "after";
  const pending = store.put(put("one", from));
  const result = (await pending)._unsafeUnwrap();
  assert.is(result.outcome, "accepted");
  const next = (await store.read(KEY))._unsafeUnwrap();
  await store.put(put("two", next.rowVersion));
  const texts = (await store.history(KEY))._unsafeUnwrap()
    .map(({ number, text }) => `${number} ${text}`);
  assert.equal(texts, ["1 zero", "2 one", "3 two"]);
});

test.run();
