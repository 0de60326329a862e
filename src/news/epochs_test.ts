import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeConfigurationUpdate,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createEpochTracker } from "./epochs.ts";
import type { FactUpdate } from "./types.ts";
import { type EpochStart, makeVersion } from "./version.ts";

function makeUpdate(number: number, epoch: number): FactUpdate {
  return makeServerUpdate(makeServer("1"), number, epoch);
}

function makeDrainingUpdate(number: number, epoch: number): FactUpdate {
  const server = makeServer("1", { state: "draining" });
  return makeServerUpdate(server, number, epoch);
}

const RESTORED: EpochStart[] = [
  { epoch: 1, copiedThrough: 0, isSettled: true },
  { epoch: 2, copiedThrough: 50 },
];

function createRestoredTracker() {
  const epochs = createEpochTracker();
  epochs.record(RESTORED);
  return epochs;
}

// [update, stored update, whether the update is newer, title]
const comparisons: [FactUpdate, FactUpdate, boolean, string][] = [
  [makeUpdate(9, 1), makeUpdate(8, 1), true, "a later number of one epoch"],
  [makeUpdate(51, 2), makeUpdate(60, 1), true, "a write after the restore"],
  [
    makeUpdate(50, 2),
    makeUpdate(60, 1),
    false,
    "a fact that may come from the copy",
  ],
  [
    makeUpdate(50, 2),
    makeUpdate(40, 1),
    true,
    "a copied fact that this VM had missed",
  ],
  [makeUpdate(40, 2), makeUpdate(40, 1), false, "the same fact, read again"],
  [makeUpdate(60, 1), makeUpdate(51, 2), false, "a fact that was lost"],
  [makeUpdate(60, 1), makeUpdate(45, 2), true, "a lost fact over a copied one"],
  [
    makeDrainingUpdate(45, 2),
    makeUpdate(60, 1),
    true,
    "a drain with a number that may come from the copy",
  ],
  [
    makeUpdate(55, 2),
    makeDrainingUpdate(60, 1),
    false,
    "a draining server listed as ready, before it writes its drain again",
  ],
  [
    makeConfigurationUpdate(7, 45, 2),
    makeConfigurationUpdate(6, 60, 1),
    true,
    "a newer configuration with a number that may come from the copy",
  ],
  [
    makeConfigurationUpdate(5, 55, 2),
    makeConfigurationUpdate(6, 60, 1),
    false,
    "an older configuration that is written again",
  ],
  [
    makeConfigurationUpdate(5, 61, 2),
    makeConfigurationUpdate(6, 60, 2),
    false,
    "an older configuration of the same epoch",
  ],
  [
    makeConfigurationUpdate(6, 61, 2),
    makeConfigurationUpdate(6, 60, 2),
    true,
    "a configuration that is written again with its number",
  ],
];

for (const [update, current, isNewer, title] of comparisons) {
  test(`after a restore: ${title}`, () => {
    assert.is(createRestoredTracker().isNewer(update, current), isNewer);
  });
}

test("facts of a settled epoch are newer, however low their numbers", () => {
  const epochs = createRestoredTracker();
  epochs.record([{ epoch: 2, copiedThrough: 0, isSettled: true }]);
  assert.ok(epochs.isNewer(makeUpdate(3, 2), makeUpdate(60, 1)));
  assert.not(epochs.isNewer(makeUpdate(60, 1), makeUpdate(3, 2)));
  const older = makeConfigurationUpdate(5, 45, 2);
  assert.ok(epochs.isNewer(older, makeConfigurationUpdate(6, 60, 1)));
});

test("two restores in a row leave the newest fact in place", () => {
  const epochs = createRestoredTracker();
  epochs.record([{ epoch: 3, copiedThrough: 55 }]);
  assert.not(epochs.isNewer(makeUpdate(50, 3), makeUpdate(60, 1)));
  assert.ok(epochs.isNewer(makeUpdate(54, 3), makeUpdate(60, 1)), "of epoch 2");
  assert.ok(epochs.isNewer(makeUpdate(56, 3), makeUpdate(54, 2)));
});

test("an epoch that no VM observed changes nothing", () => {
  const epochs = createEpochTracker();
  epochs.record([RESTORED[0], { epoch: 4, copiedThrough: 50 }]);
  assert.not(epochs.isNewer(makeUpdate(45, 4), makeUpdate(60, 1)));
  assert.ok(epochs.isNewer(makeUpdate(51, 4), makeUpdate(60, 1)));
});

test("the lowest start that any VM read is kept; earlier epochs are dropped", () => {
  const epochs = createRestoredTracker();
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

test("facts of a source without epochs are ordered by their numbers", () => {
  const epochs = createEpochTracker();
  assert.ok(epochs.isNewer(makeUpdate(2, 0), makeUpdate(1, 0)));
  assert.is(epochs.getLatest(), 0);
  assert.is(epochs.getSettled(), 0);
});

/** Two VMs get the same epoch starts and updates, in opposite order. */
test("VMs agree on the newest fact, whatever the order of updates", () => {
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
    fc.property(
      starts,
      fc.array(versions, { minLength: 1 }),
      (reported, received) => {
        const epochs = createEpochTracker();
        epochs.record(reported);
        const other = createEpochTracker();
        for (const start of reported.toReversed()) other.record([start]);
        const updates = received.map(({ epoch, number }) =>
          makeUpdate(number, epoch)
        );
        const keep = (current: FactUpdate, update: FactUpdate) =>
          epochs.isNewer(update, current) ? update : current;
        const keepOther = (current: FactUpdate, update: FactUpdate) =>
          other.isNewer(update, current) ? update : current;
        const one = updates.reduce(keep).version;
        const two = updates.toReversed().reduce(keepOther).version;
        assert.is(one.number, two.number);
        assert.is(epochs.getOriginEpoch(one), other.getOriginEpoch(two));
      },
    ),
  );
});

test("VMs agree on the newest configuration, whatever the order of updates", () => {
  const update = fc.tuple(
    fc.integer({ min: 1, max: 5 }),
    fc.integer({ min: 1, max: 30 }),
    fc.integer({ min: 1, max: 3 }),
  );
  const start = fc.record({
    epoch: fc.integer({ min: 1, max: 3 }),
    copiedThrough: fc.integer({ min: 1, max: 20 }),
    isSettled: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.array(start, { maxLength: 4 }),
      fc.array(update, { minLength: 1 }),
      (starts, received) => {
        const epochs = createEpochTracker();
        epochs.record(starts);
        const updates = received.map(([version, number, epoch]) =>
          makeConfigurationUpdate(version, number, epoch)
        );
        const keep = (current: FactUpdate, update: FactUpdate) =>
          epochs.isNewer(update, current) ? update : current;
        const one = updates.reduce(keep);
        const two = updates.toReversed().reduce(keep);
        assert.not(epochs.isNewer(one, two));
        assert.not(epochs.isNewer(two, one));
      },
    ),
  );
});

test.run();
