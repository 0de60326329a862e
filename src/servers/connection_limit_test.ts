import * as assert from "uvu/assert";
import { test } from "uvu";
import { computeConnectionLimit } from "./connection_limit.ts";

const ACCEPTED = 18;
const VMS = 6;

test("the limits of all VMs add up to no more than a server accepts", () => {
  const limit = computeConnectionLimit(ACCEPTED, { serving: VMS, known: VMS });
  assert.is(limit, 2);
  assert.is(computeConnectionLimit(390, { serving: 12, known: 12 }), 26);
  assert.is(computeConnectionLimit(undefined, { serving: 12, known: 12 }), 16);
});

// VMs kept the connections that they opened while two others were down. When
// these came back, the server got more connections than it accepts.
test("VMs that are down don't raise the limit of the others", () => {
  const limit = computeConnectionLimit(ACCEPTED, {
    serving: VMS - 2,
    known: VMS,
  });
  assert.ok(limit * VMS <= 0.8 * ACCEPTED, `${limit} for each of ${VMS} VMs`);
});

test("VMs that only hubs know are counted", () => {
  assert.is(computeConnectionLimit(3_600, { serving: 195, known: 40 }), 14);
});

test.run();
