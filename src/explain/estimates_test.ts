import * as assert from "uvu/assert";
import { test } from "uvu";
import { renderEstimates } from "./estimates.ts";
import { parseLogLines } from "./lines.ts";

type Fields = Record<string, unknown>;

/** Log lines of one request at server 1, which has two slots. */
function makeRun(
  requestId: string,
  [startMs, endMs]: [number, number],
  choice: Fields,
  attempt: Fields = {},
): string[] {
  const base = { vm: "vm-1", requestId, server: "1" };
  const tookMs = endMs - startMs;
  return [
    { msg: "choose", time: startMs, service: "s", slots: 2, ...choice },
    {
      msg: "attempt ended",
      time: endMs,
      tookMs,
      outcome: "answer",
      ...attempt,
    },
  ].map((line) => JSON.stringify({ ...base, ...line }));
}

test("estimated load is compared with actual load, and predicted hits with misses", () => {
  const table = renderEstimates(parseLogLines([
    ...makeRun("a", [0, 800], { use: 0, isKnown: false }, { isFirst: true }),
    ...makeRun("b", [100, 300], { use: 0, isKnown: true }),
    ...makeRun("c", [200, 1_000], { use: 0.5, isKnown: true }),
    ...makeRun("d", [900, 1_100], { use: 0.5, isKnown: true }),
    ...makeRun("e", [1_100, 3_100], { use: 0, isKnown: false }, {
      outcome: "timeout",
    }),
  ]));
  const cells = table.split("\n")[1].trim().split(/ +/);
  assert.equal(cells, ["s", "5", "0.20", "0.40", "0.333", "0.500"]);
});

test("a log without requests gives a table without rows", () => {
  assert.is(renderEstimates(parseLogLines([])).split("\n").length, 1);
});

test.run();
