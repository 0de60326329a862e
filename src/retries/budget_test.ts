import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRetryBudget } from "./budget.ts";

const SEED = 20261202;
const TERMS = { ratio: 0.2, allowance: 64 };

function createBudget(countVms: () => number, ownId = "vm-1") {
  return createRetryBudget(TERMS, countVms, ownId);
}

test("VMs together stay within the terms, whatever comes in a window", () => {
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
      return spent <= total * TERMS.ratio + TERMS.allowance;
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test("a service's retries leave another service's alone", () => {
  const budget = createBudget(() => 1);
  while (budget.take("s"));
  assert.ok(budget.take("t"));
});

test("where the allowance is under one for each VM, some VMs retry", () => {
  // With 195 VMs and 64 retries each VM had 0.25, and no VM ever had a whole
  // one to spend, however many requests came.
  const VMS = 195;
  let spent = 0;
  for (let vm = 0; vm < VMS; vm++) {
    const budget = createBudget(() => VMS, `vm-${vm}`);
    while (budget.take("s")) spent++;
  }
  assert.ok(spent > TERMS.allowance / 2, `${spent}`);
  assert.ok(spent <= TERMS.allowance, `${spent}`);
});

test.run();
