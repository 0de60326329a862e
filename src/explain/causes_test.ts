import * as assert from "uvu/assert";
import { test } from "uvu";
import { type Cause, findCause } from "./causes.ts";
import { type LogContent, parseLogLines } from "./lines.ts";
import { renderMoves, renderTable } from "./report.ts";

const MEDIANS = { serviceMedianMs: () => 100, serverMedianMs: () => 100 };
const BASE = { time: 10_000, vm: "vm-1", requestId: "q" };

type Fields = Record<string, unknown>;

function gather(...lines: Fields[]): LogContent {
  return parseLogLines(
    lines.map((line) => `0.5 vm-1 ${JSON.stringify({ ...BASE, ...line })}`),
  );
}

function makeLines(choice: Fields, attempt: Fields, end: Fields): Fields[] {
  return [
    { msg: "choose", service: "s", region: "oslo", server: "1", ...choice },
    { msg: "attempt ended", server: "1", outcome: "answer", ...attempt },
    { msg: "request ended", targetMs: 200, outcome: "answer", ...end },
  ];
}

const refused = { outcome: "refused", reason: "all_full", tookMs: 1 };
const answered: [Cause, Fields, Fields, Fields][] = [
  ["in time", { use: 0 }, { tookMs: 90 }, { tookMs: 91 }],
  ["late, server saturated", { use: 1.5 }, { tookMs: 290 }, { tookMs: 291 }],
  ["late, cache miss", { use: 0.5 }, { tookMs: 290, isFirst: true }, {
    tookMs: 291,
  }],
  ["late, unexpected cache miss", { use: 0.5 }, { tookMs: 290 }, {
    tookMs: 291,
  }],
  ["late, other", { use: 0.5 }, { tookMs: 190 }, { tookMs: 201 }],
  ["lost", { use: 0.5 }, { tookMs: 90 }, { outcome: "failed" }],
  ["refused by servers", { use: 0.5 }, { tookMs: 2 }, {
    outcome: "refused",
    reason: "not_run_anywhere",
  }],
  ["refused, key unproven", { use: 0.5 }, { tookMs: 2 }, {
    outcome: "refused",
    reason: "key_unproven",
  }],
  ["refused, memory short", { use: 0.5 }, { tookMs: 2 }, {
    outcome: "refused",
    reason: "memory_short",
  }],
  ["refused, out of reach", { use: 0.5 }, { outcome: "no_path" }, {
    outcome: "refused",
    reason: "out_of_reach",
  }],
  ["refused, VM leaving", { use: 0.5 }, { outcome: "withdrawn" }, {
    outcome: "refused",
    reason: "leaving",
  }],
  ["over the account's limit", { use: 0.5 }, { tookMs: 2 }, {
    outcome: "limited",
  }],
  ["unknown caller", { use: 0.5 }, { tookMs: 2 }, {
    outcome: "unknown_caller",
  }],
  ["client left", { use: 0.5 }, { tookMs: 90 }, { outcome: "client_left" }],
];

for (const [cause, choice, attempt, end] of answered) {
  test(`a request is classified as ${cause}`, () => {
    const { requests } = gather(...makeLines(choice, attempt, end));
    assert.is(findCause(requests.get("q")!, MEDIANS), cause);
  });
}

const refusals: [Cause, Record<string, number>][] = [
  ["refused, capacity elsewhere", { oslo: 2, bergen: 0.4 }],
  ["refused, all saturated", { oslo: 2, bergen: 1.4 }],
];

for (const [cause, uses] of refusals) {
  test(`a refusal with regions at ${Object.values(uses)} requests per slot is ${cause}`, () => {
    const { requests } = gather(
      { msg: "choose", service: "s", region: "oslo", choice: "full", uses },
      { msg: "request ended", targetMs: 200, ...refused },
    );
    assert.is(findCause(requests.get("q")!, MEDIANS), cause);
  });
}

// Guards against refusals by priority that are counted as saturation, and
// against ones where more urgent requests can wait and keep no slot free.
test("a refusal that left free slots to more urgent requests is told apart", () => {
  const choice = {
    msg: "choose",
    service: "s",
    region: "oslo",
    choice: "full",
  };
  for (
    const [use, slotsLeftFree, cause] of [
      [0.7, 1, "refused, slots left to more urgent"],
      [0.7, 0, "refused, all saturated"],
      [1.2, 1, "refused, all saturated"],
    ] as const
  ) {
    const { requests } = gather(
      { ...choice, uses: { oslo: use }, moreUrgent: [0], slotsLeftFree },
      { msg: "request ended", targetMs: 200, ...refused },
    );
    assert.is(findCause(requests.get("q")!, MEDIANS), cause);
  }
});

test("a server that is slow for all requests is distinguished from a cache miss", () => {
  const slow = { ...MEDIANS, serverMedianMs: () => 900 };
  const { requests } = gather(
    ...makeLines({ use: 0.5 }, { tookMs: 950 }, { tookMs: 951 }),
  );
  assert.is(findCause(requests.get("q")!, slow), "late, slow server");
});

test("tables count by window and service; lines of other programs are skipped", () => {
  const content = gather(
    ...makeLines({ use: 0 }, { tookMs: 90 }, { tookMs: 91 }),
  );
  parseLogLines(["no line of ours", "{cut", '{"msg":"choose"}']);
  assert.match(renderTable(content, "service", 9_000), /in time\ns +1$/);
  assert.match(renderTable(content, "window", 5_000), /\n4 +1$/);
});

test("moves within a window are summed, except those after a loss", () => {
  const { moves } = gather(
    { msg: "region shares moved", service: "s", moved: 0.05, loss: 0 },
    { msg: "region shares moved", service: "s", moved: 0.06, loss: 0 },
    { msg: "region shares moved", service: "s", moved: 0.5, loss: 0.5 },
  );
  assert.match(renderMoves(moves, 0.15), /s +0\.110 +0\.15/);
});

test.run();
