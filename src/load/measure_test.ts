import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { CallResult } from "../caller/types.ts";
import type { LoadSettings } from "../deployment/types.ts";
import type { BackendReport } from "../standin/backends.ts";
import type { RunRecord } from "../standin/backend_server.ts";
import { makeReport, measureLargestShift, type RunData } from "./measure.ts";
import type { CallRecord } from "./types.ts";

const settings = {
  deployment: "test",
  durationS: 20,
  linkLimitBytesPerS: 1_000,
  serverRegions: { "a-1": "a", "b-1": "b" },
  services: [{ name: "s", cap: { maxShare: 0.1, windowS: 10 } }],
} as unknown as LoadSettings;

function makeCall(
  index: number,
  result: Partial<CallResult> & { kind: CallResult["kind"] },
  changes: Partial<CallRecord> = {},
): CallRecord {
  const requestId = `r${index}`;
  const body = Buffer.from(JSON.stringify({ requestId, path: "/" }));
  return {
    service: "s",
    className: "read",
    weight: 1,
    idempotent: true,
    clientIp: `10.0.${index}.1`,
    path: "/",
    deadlineMs: 100,
    dueMs: 1_000,
    latencyMs: 50,
    result: {
      status: 200,
      body,
      requestId,
      serverId: "a-1",
      reason: "",
      ...result,
    } as unknown as CallResult,
    ...changes,
  };
}

function makeBackend(records: Partial<RunRecord>[], peak = 1): BackendReport {
  return {
    id: "a-1",
    address: "",
    service: "s",
    region: "a",
    slots: 2,
    peak,
    records: records.map((record) => ({
      requestId: "x",
      key: undefined,
      block: "",
      server: "a-1",
      startMs: 1_000,
      endMs: 1_100,
      ...record,
    })),
  };
}

function report(changes: Partial<RunData>) {
  return makeReport({
    settings,
    calls: [],
    backends: [],
    links: [],
    drain: undefined,
    configInForceMs: 0,
    configReverts: 0,
    cutOffInFlight: 0,
    ...changes,
  });
}

test("answers in time count by weight; late, failed and refused do not", () => {
  const calls = [
    makeCall(1, { kind: "answer" }, { weight: 2 }),
    makeCall(2, { kind: "answer" }, { latencyMs: 101 }),
    makeCall(3, { kind: "answer", status: 500 }),
    makeCall(4, { kind: "not_run" }),
  ];
  assert.is(report({ calls }).answeredInTimeShare, 2 / 5);
});

const broken: [string, Partial<RunData>, string][] = [
  [
    "a key that ran twice",
    { backends: [makeBackend([{ key: "k" }, { key: "k" }])] },
    "duplicateRuns",
  ],
  [
    "an answer of another request",
    {
      calls: [
        makeCall(1, {
          kind: "answer",
          body: Buffer.from('{"requestId":"r2"}'),
        }),
      ],
    },
    "crossedAnswers",
  ],
  [
    "a truncated answer",
    { calls: [makeCall(1, { kind: "answer", body: Buffer.from('{"req') })] },
    "crossedAnswers",
  ],
  [
    "a request that ran but was reported as not run",
    {
      calls: [makeCall(1, { kind: "not_run" })],
      backends: [makeBackend([{ requestId: "r1" }])],
    },
    "falselyNotRun",
  ],
  [
    "more requests at a server than its slots",
    { backends: [makeBackend([], 3)] },
    "overloadedRegions",
  ],
  [
    "a request started after a drain",
    {
      backends: [makeBackend([{ startMs: 13_001 }])],
      drain: { server: "a-1", startMs: 11_000, endMs: 20_000 },
    },
    "workAfterLeaving",
  ],
];

for (const [name, data, invariant] of broken) {
  test(`${name} is counted as ${invariant}`, () => {
    const counted = Object.entries(report(data).invariants)
      .filter(([, count]) => count > 0);
    assert.equal(counted, [[invariant, 1]]);
  });
}

/**
 * Calls of ten client blocks in region a; later some are in b, and some are
 * refused.
 */
function makeShift(moved: number, refused: number): CallRecord[] {
  return Array.from({ length: 20 }, (_, index) => {
    const block = index % 10;
    const isLater = index >= 10;
    const changes = {
      clientIp: `10.0.${block}.1`,
      dueMs: isLater ? 9_000 : 1_000,
    };
    if (isLater && block < moved) {
      return makeCall(index, { kind: "answer", serverId: "b-1" }, changes);
    }
    const isRefused = isLater && block >= 10 - refused;
    return makeCall(index, { kind: isRefused ? "not_run" : "answer" }, changes);
  });
}

test("a shift is the share of all traffic, refused traffic included", () => {
  const at = (moved: number, refused: number) =>
    measureLargestShift({ settings, calls: makeShift(moved, refused) });
  assert.is(at(0, 0).maxShiftToCapRatio, 0);
  assert.equal(at(1, 0), { overCapWindows: 0, maxShiftToCapRatio: 1 });
  assert.equal(at(1, 5), { overCapWindows: 0, maxShiftToCapRatio: 1 });
  const two = at(2, 0);
  assert.ok(two.overCapWindows > 0 && two.maxShiftToCapRatio === 2);
});

test("drain time ends with the server's last request", () => {
  const backends = [
    makeBackend([{ startMs: 900, endMs: 1_400 }, { startMs: 500, endMs: 600 }]),
  ];
  const drain = { server: "a-1", startMs: 1_000, endMs: 9_000 };
  assert.is(report({ backends, drain }).maxDrainMs, 400);
});

test("headroom is that of the busiest second and link", () => {
  const backends = [makeBackend([{ startMs: 1_000, endMs: 2_000 }])];
  const links = [{ from: "a", to: "b", second: 1, bytes: 250 }];
  const result = report({ backends, links });
  assert.is(result.minRegionHeadroomShare, 0.5);
  assert.is(result.minLinkHeadroomShare, 0.75);
});

test.run();
