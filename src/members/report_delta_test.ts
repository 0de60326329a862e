import * as assert from "uvu/assert";
import { test } from "uvu";
import { diffReport, mergeReport } from "./report_delta.ts";
import type { VmReport } from "./types.ts";

function makeReport(changes: Partial<VmReport> = {}): VmReport {
  const digest = { facts: 1, versionSum: 5 };
  return {
    state: "serving",
    demandPerS: { s: 20 },
    digests: { operations: digest, servers: digest, suspects: digest },
    ...changes,
  };
}

test("a first report is sent whole", () => {
  assert.equal(diffReport(undefined, makeReport()), makeReport());
});

test("small changes are left out", () => {
  const now = makeReport({ demandPerS: { s: 21 } });
  assert.equal(diffReport(makeReport(), now), {});
});

const CHANGES: Partial<VmReport>[] = [
  { state: "leaving" },
  { demandPerS: { s: 30 } },
  { demandPerS: { s: 20, t: 2 } },
  { demandPerS: {} },
  {
    digests: {
      operations: { facts: 1, versionSum: 5 },
      servers: { facts: 1, versionSum: 6 },
      suspects: { facts: 1, versionSum: 5 },
    },
  },
  {
    digests: {
      operations: { facts: 1, versionSum: 5 },
      servers: { facts: 1, versionSum: 5 },
      suspects: { facts: 2, versionSum: 6 },
    },
  },
];

for (const change of CHANGES) {
  test(`${JSON.stringify(change)} is sent and merged`, () => {
    const now = makeReport(change);
    const delta = diffReport(makeReport(), now);
    assert.equal(delta, change);
    assert.equal(mergeReport(makeReport(), delta), now);
  });
}

test("an incomplete report is not returned", () => {
  assert.is(mergeReport(undefined, { state: "serving" }), undefined);
});

test.run();
