import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeConfigurationUpdate } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createFactStore } from "./fact_store.ts";
import { DEFAULT_READER_TIMINGS, startReader } from "./reader.ts";
import {
  EpochMarks,
  FactSource,
  type FollowResult,
  type SourceBatch,
} from "./types.ts";

/** A source whose configuration never changes. */
class ConstantSource extends FactSource {
  epoch: number | undefined = 3;

  override list(): Promise<SourceBatch> {
    const { version, ...update } = makeConfigurationUpdate(7, 5);
    return Promise.resolve({
      items: [{ ...update, version: version.number }],
      version: 5,
      epoch: this.epoch,
    });
  }

  override follow(): Promise<FollowResult> {
    const batch = { items: [], version: 5, epoch: this.epoch };
    return Promise.resolve({ kind: "changes", batch });
  }
}

class MemoryMarks extends EpochMarks {
  marked: number | undefined;
  reads = 0;
  writes: number[] = [];
  failures = 0;

  override read(): Promise<number | undefined> {
    this.reads++;
    if (this.failures-- > 0) return Promise.reject(new Error("busy"));
    return Promise.resolve(this.marked);
  }

  override write(epoch: number): Promise<void> {
    if (this.failures-- > 0) return Promise.reject(new Error("busy"));
    this.writes.push(epoch);
    this.marked = epoch;
    return Promise.resolve();
  }
}

/** Reads for a time; returns whether the epoch is settled then. */
async function play(
  marks: MemoryMarks,
  { durationMs = 1_000, isFirstStart = false, hasReadDuty = true } = {},
  source = new ConstantSource(),
) {
  const clock = createFakeClock();
  const store = createFactStore(clock);
  const reader = startReader("operations", {
    source,
    store,
    clock,
    log: createSilentLog(),
    timings: DEFAULT_READER_TIMINGS,
    hasReadDuty: () => hasReadDuty,
    needsFallbackRead: () => true,
    onUpdates: () => {},
    onRead: () => {},
    getInstant: () => ({ monotonicMs: 0, wallMs: 0 }),
    epochMarks: marks,
    isFirstStart,
  });
  for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
    for (let turn = 0; turn < 12; turn++) await Promise.resolve();
    clock.advance(50);
  }
  reader.stop();
  return store.isSettled("operations");
}

test("an epoch that VMs marked as settled is so for a VM that starts", async () => {
  const marks = new MemoryMarks();
  marks.marked = 3;
  assert.ok(await play(marks));
  assert.equal(marks.writes, []);
});

test("an epoch without a mark is settled after five seconds, and marked", async () => {
  const marks = new MemoryMarks();
  marks.marked = 2;
  assert.not(await play(marks));
  assert.equal(marks.writes, []);
  assert.ok(marks.reads <= 2, "read once for each epoch");
  assert.ok(await play(marks, { durationMs: 6_000 }));
  assert.equal(marks.writes, [3]);
});

test("the first epoch of a fleet is settled from its start", async () => {
  const marks = new MemoryMarks();
  assert.ok(await play(marks, { isFirstStart: true }));
  assert.equal(marks.writes, [3]);
});

test("only VMs that read for others write a mark", async () => {
  const marks = new MemoryMarks();
  assert.ok(await play(marks, { isFirstStart: true, hasReadDuty: false }));
  assert.equal(marks.writes, []);
});

test("a mark that could not be read or written is tried again", async () => {
  const unread = new MemoryMarks();
  unread.marked = 3;
  unread.failures = 1;
  assert.ok(await play(unread));
  const unwritten = new MemoryMarks();
  unwritten.failures = 2;
  assert.ok(await play(unwritten, { isFirstStart: true }));
  assert.equal(unwritten.writes, [3]);
});

test("a source without epochs needs no mark", async () => {
  const marks = new MemoryMarks();
  const source = new ConstantSource();
  source.epoch = undefined;
  assert.ok(await play(marks, {}, source));
  assert.is(marks.reads, 1);
  assert.equal(marks.writes, []);
});

test.run();
