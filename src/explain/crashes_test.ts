import * as assert from "uvu/assert";
import { test } from "uvu";
import { renderCrashes } from "./crashes.ts";
import { parseLogLines } from "./lines.ts";

function makeCut(
  request: string,
  server: string,
  time: number,
  verdict = "ended",
): string {
  return JSON.stringify({
    msg: "connection cut",
    vm: `vm-${time}`,
    time,
    requestId: `q${time}`,
    request,
    method: "GET",
    path: `/${request}`,
    server,
    verdict,
  });
}

test("the request during which most servers crashed comes first", () => {
  const table = renderCrashes(
    parseLogLines([
      makeCut("beside", "1", 1_000),
      makeCut("poison", "1", 1_001),
      makeCut("poison", "2", 2_000),
      makeCut("poison", "2", 2_001),
      makeCut("unlucky", "3", 3_000, "runs"),
      makeCut("unlucky", "3", 3_001, "runs"),
    ]),
    0,
  );
  const rows = table.split("\n").map((row) => row.trim().split(/ {2,}/));
  assert.equal(rows[1], [
    "poison GET /poison",
    "2",
    "3",
    "3",
    "1.001",
    "2.001",
  ]);
  assert.equal(rows.map((row) => row[1]), ["servers crashed", "2", "1", "0"]);
});

test.run();
