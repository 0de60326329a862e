import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRetryBudget } from "./budget.ts";

const SEED = 20261202;
const SETTINGS = { ratio: 0.2, allowance: 64 };

function createBudget(countVms: () => number, ownId = "vm-1") {
  return createRetryBudget(SETTINGS, countVms, ownId);
}

test("all VMs together stay within the budget for any number of requests", () => {
  const requests = fc.array(fc.integer({ min: 0, max: 400 }), {
    minLength: 12,
    maxLength: 12,
  });
  fc.assert(
    fc.property(requests, (perVm) => {
      let spent = 0;
      for (const count of perVm) {
        const budget = createBudget(() => perVm.length);
        for (let sent = 0; sent < count; sent++) {
          budget.recordRequest("s");
          while (budget.take("s")) spent++;
        }
      }
      const total = perVm.reduce((sum, count) => sum + count, 0);
      return spent <= total * SETTINGS.ratio + SETTINGS.allowance;
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test("services have separate budgets", () => {
  const budget = createBudget(() => 1);
  while (budget.take("s"));
  assert.ok(budget.take("t"));
});

test("some VMs can retry when the allowance is less than one per VM", () => {
  // Guards against a budget that can never be spent: an allowance of 64 over
  // 195 VMs gave each VM a capacity of 0.25, always less than one whole retry.
  const VMS = 195;
  let spent = 0;
  for (let vm = 0; vm < VMS; vm++) {
    const budget = createBudget(() => VMS, `vm-${vm}`);
    while (budget.take("s")) spent++;
  }
  assert.ok(spent > SETTINGS.allowance / 2, `${spent}`);
  assert.ok(spent <= SETTINGS.allowance, `${spent}`);
});

test.run();
