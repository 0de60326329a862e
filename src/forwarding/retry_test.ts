import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRetryBudget, decideRetry, type RetryInput } from "./retry.ts";

const base: RetryInput = {
  result: { kind: "failed", reason: "" },
  idempotent: true,
  attempts: 1,
  mayHaveRun: false,
  hasBudget: true,
  hasTime: true,
};
const shed = { kind: "shed", leaving: false } as const;
const notSent = { kind: "not_sent", reason: "" } as const;

const cases: [string, Partial<RetryInput>, string][] = [
  ["failed, idempotent", {}, "retry"],
  ["failed, at most once", { idempotent: false }, "unknown"],
  ["shed, at most once", { idempotent: false, result: shed }, "retry"],
  ["not sent, at most once", { idempotent: false, result: notSent }, "retry"],
  ["shed, no budget", { result: shed, hasBudget: false }, "not_run"],
  ["shed, no time", { result: shed, hasTime: false }, "not_run"],
  ["shed for the third time", { result: shed, attempts: 3 }, "not_run"],
  [
    "shed after an attempt that may have run",
    { result: shed, attempts: 3, mayHaveRun: true },
    "unknown",
  ],
  ["failed, no budget", { hasBudget: false }, "unknown"],
];

for (const [name, changes, expected] of cases) {
  test(`${name}: ${expected}`, () => {
    assert.is(decideRetry({ ...base, ...changes }), expected);
  });
}

test("once the saved retries are used up, a tenth of the requests may be retried", () => {
  const budget = createRetryBudget();
  while (budget.hasBudget()) budget.recordRetry();
  let retries = 0;
  for (let count = 0; count < 1_000; count++) {
    budget.recordRequest();
    if (!budget.hasBudget()) continue;
    budget.recordRetry();
    retries += 1;
  }
  assert.ok(retries >= 98 && retries <= 101, `${retries}`);
});

test.run();
