import * as assert from "uvu/assert";
import { test } from "uvu";
import { computeConnectionLimit } from "./connection_limit.ts";

const ACCEPTED = 18;
const VMS = 6;

test("parts add up to no more than a server accepts", () => {
  const part = computeConnectionLimit(ACCEPTED, { serving: VMS, known: VMS });
  assert.is(part, 2);
  assert.is(computeConnectionLimit(390, { serving: 12, known: 12 }), 26);
  assert.is(computeConnectionLimit(undefined, { serving: 12, known: 12 }), 16);
});

// VMs kept what they opened while two others were down, which then came back.
test("VMs that are down leave the others no larger part", () => {
  const part = computeConnectionLimit(ACCEPTED, {
    serving: VMS - 2,
    known: VMS,
  });
  assert.ok(part * VMS <= 0.8 * ACCEPTED, `${part} of each of ${VMS} VMs`);
});

test("VMs that only hubs know count as well", () => {
  assert.is(computeConnectionLimit(3_600, { serving: 195, known: 40 }), 14);
});

test.run();
