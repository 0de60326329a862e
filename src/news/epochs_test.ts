import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeConfigurationNews,
  makeServer,
  makeServerNews,
} from "../gateway/fixture.ts";
import { createEpochTracker } from "./epochs.ts";
import type { FactUpdate } from "./types.ts";
import { type EpochStart, makeVersion } from "./version.ts";

function makeNews(number: number, epoch: number): FactUpdate {
  return makeServerNews(makeServer("1"), number, epoch);
}

function makeDrainingNews(number: number, epoch: number): FactUpdate {
  const server = makeServer("1", { state: "draining" });
  return makeServerNews(server, number, epoch);
}

const RESTORED: EpochStart[] = [
  { epoch: 1, copiedThrough: 0, isSettled: true },
  { epoch: 2, copiedThrough: 50 },
];

function createRestored() {
  const epochs = createEpochTracker();
  epochs.record(RESTORED);
  return epochs;
}

// [what is told, what is known, whether that is news, title]
const orders: [FactUpdate, FactUpdate, boolean, string][] = [
  [makeNews(9, 1), makeNews(8, 1), true, "a later number of one epoch"],
  [makeNews(51, 2), makeNews(60, 1), true, "a write after the restore"],
  [makeNews(50, 2), makeNews(60, 1), false, "what the copy had"],
  [makeNews(50, 2), makeNews(40, 1), true, "a copied fact that was missed"],
  [makeNews(40, 2), makeNews(40, 1), false, "the same fact, read again"],
  [makeNews(60, 1), makeNews(51, 2), false, "a fact that was lost"],
  [makeNews(60, 1), makeNews(45, 2), true, "a lost fact beside a copied one"],
  [
    makeDrainingNews(45, 2),
    makeNews(60, 1),
    true,
    "a drain under a number that may be copied",
  ],
  [
    makeNews(55, 2),
    makeDrainingNews(60, 1),
    false,
    "a server that is listed ready before it says again that it drains",
  ],
  [
    makeConfigurationNews(7, 45, 2),
    makeConfigurationNews(6, 60, 1),
    true,
    "a newer configuration under a number that may be copied",
  ],
  [
    makeConfigurationNews(5, 55, 2),
    makeConfigurationNews(6, 60, 1),
    false,
    "an older configuration that is written again first",
  ],
];

for (const [told, known, isNews, title] of orders) {
  test(`after a restore: ${title}`, () => {
    assert.is(createRestored().isNewer(told, known), isNews);
  });
}

test("once settled all that is listed holds, however old it looks", () => {
  const epochs = createRestored();
  epochs.record([{ epoch: 2, copiedThrough: 0, isSettled: true }]);
  assert.ok(epochs.isNewer(makeNews(3, 2), makeNews(60, 1)));
  assert.not(epochs.isNewer(makeNews(60, 1), makeNews(3, 2)));
  const older = makeConfigurationNews(5, 45, 2);
  assert.ok(epochs.isNewer(older, makeConfigurationNews(6, 60, 1)));
});

test("two restores in a row leave the newest fact in place", () => {
  const epochs = createRestored();
  epochs.record([{ epoch: 3, copiedThrough: 55 }]);
  assert.not(epochs.isNewer(makeNews(50, 3), makeNews(60, 1)));
  assert.ok(epochs.isNewer(makeNews(54, 3), makeNews(60, 1)), "of epoch 2");
  assert.ok(epochs.isNewer(makeNews(56, 3), makeNews(54, 2)));
});

test("an epoch that nobody saw changes nothing", () => {
  const epochs = createEpochTracker();
  epochs.record([RESTORED[0], { epoch: 4, copiedThrough: 50 }]);
  assert.not(epochs.isNewer(makeNews(45, 4), makeNews(60, 1)));
  assert.ok(epochs.isNewer(makeNews(51, 4), makeNews(60, 1)));
});

test("the lowest start that any VM read holds; earlier epochs are over", () => {
  const epochs = createRestored();
  assert.not(epochs.record([{ epoch: 2, copiedThrough: 55 }]));
  assert.ok(epochs.record([{ epoch: 2, copiedThrough: 48 }]));
  assert.is(epochs.getOriginEpoch(makeVersion(49, 2)), 2);
  assert.ok(epochs.record([{ epoch: 3, copiedThrough: 0, isSettled: true }]));
  assert.equal(epochs.list(), [{
    epoch: 3,
    copiedThrough: 0,
    isSettled: true,
  }]);
  assert.not(epochs.record(RESTORED));
});

test("a source that names no epoch orders by its numbers", () => {
  const epochs = createEpochTracker();
  assert.ok(epochs.isNewer(makeNews(2, 0), makeNews(1, 0)));
  assert.is(epochs.getLatest(), 0);
  assert.is(epochs.getSettled(), 0);
});

/** A source with true writes, and VMs that read it at moments of their own. */
test("VMs that hear of the same facts in any order agree", () => {
  const versions = fc.record({
    epoch: fc.integer({ min: 1, max: 3 }),
    number: fc.integer({ min: 1, max: 30 }),
  });
  const starts = fc.array(
    fc.record({
      epoch: fc.integer({ min: 1, max: 3 }),
      copiedThrough: fc.integer({ min: 1, max: 20 }),
    }),
    { minLength: 1, maxLength: 6 },
  );
  fc.assert(
    fc.property(starts, fc.array(versions, { minLength: 1 }), (all, told) => {
      const epochs = createEpochTracker();
      epochs.record(all);
      const other = createEpochTracker();
      for (const start of all.toReversed()) other.record([start]);
      const items = told.map(({ epoch, number }) => makeNews(number, epoch));
      const keep = (known: FactUpdate, news: FactUpdate) =>
        epochs.isNewer(news, known) ? news : known;
      const keepOther = (known: FactUpdate, news: FactUpdate) =>
        other.isNewer(news, known) ? news : known;
      const one = items.reduce(keep).version;
      const two = items.toReversed().reduce(keepOther).version;
      assert.is(one.number, two.number);
      assert.is(epochs.getOriginEpoch(one), other.getOriginEpoch(two));
    }),
  );
});

test.run();
