import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createFreshnessTracker, type FreshnessTracker } from "./freshness.ts";

/** A VM with its own clock: VMs share the rate of their clocks, but not the time. */
function makeVm(startMs: number) {
  const clock: FakeClock = createFakeClock(startMs);
  clock.advance(startMs % 10_000);
  const vm = { clock, version: 1 };
  const freshness = createFreshnessTracker({
    clock,
    getVersion: () => vm.version,
  });
  return Object.assign(vm, { freshness });
}

function read(freshness: FreshnessTracker): void {
  freshness.recordRead(freshness.getInstant());
}

test("a read proves the state at the time of its request", () => {
  const { clock, freshness } = makeVm(1_000);
  assert.is(freshness.getAgeMs(), Infinity);
  const requestedAt = freshness.getInstant();
  clock.advance(700);
  freshness.recordRead(requestedAt);
  assert.is(freshness.getAgeMs(), 700);
});

test("an older read that ends later changes nothing", () => {
  const { clock, freshness } = makeVm(1_000);
  const early = freshness.getInstant();
  clock.advance(500);
  read(freshness);
  freshness.recordRead(early);
  assert.is(freshness.getAgeMs(), 0);
});

test("a proof carries the age between VMs with different clocks, however late", () => {
  const reader = makeVm(5_000);
  const other = makeVm(98_000);
  const advance = (ms: number) => {
    reader.clock.advance(ms);
    other.clock.advance(ms);
  };
  read(reader.freshness);
  const stamp = other.freshness.makeStamp();
  advance(40);
  const arrivedAt = reader.freshness.getInstant();
  advance(100);
  const proof = reader.freshness.makeProof(stamp, arrivedAt)!;
  advance(3_000);
  other.freshness.recordProof(proof);
  // The 40 ms that the stamp was on its way are added to the true 3,140 ms.
  assert.is(other.freshness.getAgeMs(), 3_180);
});

test("a VM that was suspended between stamp and sending proves less", () => {
  const reader = makeVm(5_000);
  const other = makeVm(98_000);
  read(reader.freshness);
  const stamp = other.freshness.makeStamp();
  const arrivedAt = reader.freshness.getInstant();
  const proof = reader.freshness.makeProof(stamp, arrivedAt)!;
  other.clock.advance(8_000);
  other.freshness.recordProof(proof);
  assert.is(other.freshness.getAgeMs(), 8_000);
});

test("a proof for a stamp that was not made here proves nothing", () => {
  const { freshness } = makeVm(1_000);
  freshness.recordProof({ version: 1, ageMs: 0, stamp: 77, heldMs: 0 });
  assert.is(freshness.getAgeMs(), Infinity);
});

test("the wall clock shows a suspension during which the monotonic clock stood", () => {
  const { clock, freshness } = makeVm(1_000);
  let suspendedMs = 0;
  const now = clock.now;
  clock.now = () => new Date(now().getTime() + suspendedMs);
  read(freshness);
  suspendedMs = 7_000;
  assert.is(freshness.getAgeMs(), 7_000);
});

test("a wall clock that jumps back does not lower the age", () => {
  const { clock, freshness } = makeVm(1_000);
  let jumpMs = 0;
  const now = clock.now;
  clock.now = () => new Date(now().getTime() + jumpMs);
  read(freshness);
  clock.advance(1_500);
  jumpMs = -60_000;
  assert.is(freshness.getAgeMs(), 1_500);
});

test("a proof of a newer configuration counts once that arrived", () => {
  const vm = makeVm(1_000);
  const { freshness } = vm;
  const stamp = freshness.makeStamp();
  freshness.recordProof({ version: 2, ageMs: 0, stamp, heldMs: 0 });
  assert.is(freshness.getAgeMs(), Infinity);
  assert.ok(freshness.isBehind());
  vm.version = 2;
  vm.clock.advance(100);
  assert.is(freshness.getAgeMs(), 100);
  assert.not(freshness.isBehind());
});

test("a proof is passed on with its age", () => {
  const [reader, hub, member] = [1_000, 22_000, 33_000].map(makeVm);
  const advance = (ms: number) =>
    [reader, hub, member].forEach(({ clock }) => clock.advance(ms));
  const hubStamp = hub.freshness.makeStamp();
  const memberStamp = member.freshness.makeStamp();
  const atReader = reader.freshness.getInstant();
  const atHub = hub.freshness.getInstant();
  advance(300);
  read(reader.freshness);
  advance(50);
  hub.freshness.recordProof(reader.freshness.makeProof(hubStamp, atReader)!);
  assert.is(hub.freshness.getAgeMs(), 50);
  advance(400);
  member.freshness.recordProof(hub.freshness.makeProof(memberStamp, atHub)!);
  assert.is(member.freshness.getAgeMs(), 450);
});

test.run();
