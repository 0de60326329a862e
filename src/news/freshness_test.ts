import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createFreshnessTracker, type FreshnessTracker } from "./freshness.ts";

/** A VM with a clock of its own, of which only the pace is common. */
function makeVm(startMs: number) {
  const clock: FakeClock = createFakeClock(startMs);
  clock.advance(startMs % 10_000);
  const vm = { clock, version: 1 };
  const knowledge = createFreshnessTracker({
    clock,
    getVersion: () => vm.version,
  });
  return Object.assign(vm, { knowledge });
}

function read(knowledge: FreshnessTracker): void {
  knowledge.recordRead(knowledge.getInstant());
}

test("a reading speaks as of when it was asked for", () => {
  const { clock, knowledge } = makeVm(1_000);
  assert.is(knowledge.getAgeMs(), Infinity);
  const askedAt = knowledge.getInstant();
  clock.advance(700);
  knowledge.recordRead(askedAt);
  assert.is(knowledge.getAgeMs(), 700);
});

test("an older reading that ends later changes nothing", () => {
  const { clock, knowledge } = makeVm(1_000);
  const early = knowledge.getInstant();
  clock.advance(500);
  read(knowledge);
  knowledge.recordRead(early);
  assert.is(knowledge.getAgeMs(), 0);
});

test("age travels, whatever the clocks show and however late the proof", () => {
  const reader = makeVm(5_000);
  const other = makeVm(98_000);
  const advance = (ms: number) => {
    reader.clock.advance(ms);
    other.clock.advance(ms);
  };
  read(reader.knowledge);
  const stamp = other.knowledge.makeStamp();
  advance(40);
  const arrivedAt = reader.knowledge.getInstant();
  advance(100);
  const proof = reader.knowledge.makeProof(stamp, arrivedAt)!;
  advance(3_000);
  other.knowledge.recordProof(proof);
  // The way of the stamp, 40 ms, is lost; 3,140 ms is the truth.
  assert.is(other.knowledge.getAgeMs(), 3_180);
});

test("a VM that slept between reading the time and sending proves less", () => {
  const reader = makeVm(5_000);
  const other = makeVm(98_000);
  read(reader.knowledge);
  const stamp = other.knowledge.makeStamp();
  const arrivedAt = reader.knowledge.getInstant();
  const proof = reader.knowledge.makeProof(stamp, arrivedAt)!;
  other.clock.advance(8_000);
  other.knowledge.recordProof(proof);
  assert.is(other.knowledge.getAgeMs(), 8_000);
});

test("an answer to a stamp that was not made here proves nothing", () => {
  const { knowledge } = makeVm(1_000);
  knowledge.recordProof({ version: 1, ageMs: 0, stamp: 77, heldMs: 0 });
  assert.is(knowledge.getAgeMs(), Infinity);
});

test("a suspended VM, whose steady clock stood still, knows it by the other", () => {
  const { clock, knowledge } = makeVm(1_000);
  let suspendedMs = 0;
  const now = clock.now;
  clock.now = () => new Date(now().getTime() + suspendedMs);
  read(knowledge);
  suspendedMs = 7_000;
  assert.is(knowledge.getAgeMs(), 7_000);
});

test("a time of day that jumps back makes nothing newer", () => {
  const { clock, knowledge } = makeVm(1_000);
  let jumpMs = 0;
  const now = clock.now;
  clock.now = () => new Date(now().getTime() + jumpMs);
  read(knowledge);
  clock.advance(1_500);
  jumpMs = -60_000;
  assert.is(knowledge.getAgeMs(), 1_500);
});

test("a proof of a newer configuration counts once that has arrived", () => {
  const vm = makeVm(1_000);
  const { knowledge } = vm;
  const stamp = knowledge.makeStamp();
  knowledge.recordProof({ version: 2, ageMs: 0, stamp, heldMs: 0 });
  assert.is(knowledge.getAgeMs(), Infinity);
  assert.ok(knowledge.isBehind());
  vm.version = 2;
  vm.clock.advance(100);
  assert.is(knowledge.getAgeMs(), 100);
  assert.not(knowledge.isBehind());
});

test("what another VM proved is told on with the age that it has", () => {
  const [reader, hub, member] = [1_000, 22_000, 33_000].map(makeVm);
  const advance = (ms: number) =>
    [reader, hub, member].forEach(({ clock }) => clock.advance(ms));
  const hubStamp = hub.knowledge.makeStamp();
  const memberStamp = member.knowledge.makeStamp();
  const atReader = reader.knowledge.getInstant();
  const atHub = hub.knowledge.getInstant();
  advance(300);
  read(reader.knowledge);
  advance(50);
  hub.knowledge.recordProof(reader.knowledge.makeProof(hubStamp, atReader)!);
  assert.is(hub.knowledge.getAgeMs(), 50);
  advance(400);
  member.knowledge.recordProof(hub.knowledge.makeProof(memberStamp, atHub)!);
  assert.is(member.knowledge.getAgeMs(), 450);
});

test.run();
