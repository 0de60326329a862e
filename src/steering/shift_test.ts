import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { measureShift, stepTowards } from "./shift.ts";
import type { WeightRow, Weights } from "./types.ts";

const SEED = 20261202;
const DOMAINS = ["a1", "a2", "b1", "c1"];
const regionOf = new Map(DOMAINS.map((domain) => [domain, domain[0]]));
const demandShare = { a: 0.5, b: 0.3, c: 0.2 };

const row = fc.array(fc.integer({ min: 0, max: 10 }), {
  minLength: 4,
  maxLength: 4,
}).filter((parts) => parts.some((part) => part > 0)).map((parts): WeightRow => {
  const sum = parts.reduce((all, part) => all + part, 0);
  return Object.fromEntries(
    parts.map((part, index) => [DOMAINS[index], part / sum]),
  );
});
const weights: fc.Arbitrary<Weights> = fc.record({ a: row, b: row, c: row });

test("a step stays within its budget, and its rows sum to 1", () => {
  fc.assert(
    fc.property(
      weights,
      weights,
      fc.oneof(fc.constant(0), fc.double({ min: 0, max: 1, noNaN: true })),
      fc.subarray(["a", "b", "c"]),
      (from, to, budget, urgent) => {
        const change = { from, to, regionOf };
        const next = stepTowards(change, {
          budget,
          demandShare,
          isUrgent: (region) => urgent.includes(region),
        });
        const shift = measureShift({ ...change, to: next }, demandShare);
        assert.ok(shift <= budget + 1e-9, `${shift} of ${budget}`);
        const requiredShare = measureShift(change, demandShare);
        if (requiredShare <= budget) {
          assert.ok(Math.abs(shift - requiredShare) < 1e-9);
        }
        for (const weightRow of Object.values(next)) {
          const sum = Object.values(weightRow).reduce(
            (all, part) => all + part,
            0,
          );
          assert.ok(Math.abs(sum - 1) < 1e-9, JSON.stringify(next));
        }
      },
    ),
    { seed: SEED, numRuns: 5_000 },
  );
});

test("an exhausted budget leaves unchanged the rows that need no move", () => {
  const unchangedRow = { b1: 1 };
  const to = { a: { b1: 1 }, b: unchangedRow };
  for (let thousandths = 1; thousandths < 300; thousandths++) {
    const from = { a: { a1: 0.46, b1: 0.54 }, b: unchangedRow };
    const next = stepTowards({ from, to, regionOf }, {
      budget: thousandths / 1_000,
      demandShare: { a: 0.7, b: 0.3 },
      isUrgent: (region) => region === "a",
    });
    assert.equal(next.b, unchangedRow, `budget ${thousandths / 1_000}`);
  }
});

test.run();
