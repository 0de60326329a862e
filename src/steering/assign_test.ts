import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { assessWeights, assign } from "./assign.ts";
import type { AssignInput, DomainCapacity } from "./types.ts";

const SEED = 20261202;

const DELAY: Record<string, number> = {
  "a a": 1,
  "b b": 1,
  "c c": 1,
  "a b": 12,
  "b a": 12,
  "a c": 30,
  "c a": 30,
  "b c": 20,
  "c b": 20,
};

function makeInput(
  demand: Record<string, number>,
  slots: Record<string, number>,
  { linkSlots = Infinity, delays = DELAY }: {
    linkSlots?: number;
    delays?: Record<string, number>;
  } = {},
): AssignInput {
  return {
    demand: Object.entries(demand)
      .map(([region, needed]) => ({ region, slots: needed })),
    domainCapacities: Object.entries(slots).map((
      [failureDomain, free],
    ): DomainCapacity => ({
      failureDomain,
      region: failureDomain[0],
      slots: free,
    })),
    delayMs: (from, to) => delays[`${from} ${to}`],
    linkSlots: (from, to) => from === to ? Infinity : linkSlots,
  };
}

test("demand that fits stays in its own region", () => {
  const weights = assign(makeInput({ a: 5, b: 5 }, { a1: 8, a2: 8, b1: 8 }));
  assert.equal(weights.a, { a1: 0.5, a2: 0.5 });
  assert.equal(weights.b, { b1: 1 });
});

test("demand beyond a region's capacity goes where it adds the least delay", () => {
  const weights = assign(
    makeInput({ a: 12, b: 2, c: 2 }, { a1: 10, b1: 10, c1: 10 }),
  );
  assert.ok(Math.abs(weights.a.b1 - 2 / 12) < 1e-9);
  assert.is(weights.a.c1, undefined);
});

test("demand beyond a link's capacity goes to another region", () => {
  const weights = assign(
    makeInput({ a: 12, b: 0, c: 0 }, { a1: 8, b1: 10, c1: 10 }, {
      linkSlots: 2,
    }),
  );
  assert.ok(Math.abs(weights.a.b1 - 2 / 12) < 1e-9);
  assert.ok(Math.abs(weights.a.c1 - 2 / 12) < 1e-9);
});

test("a region without slots sends its callers to the nearest with capacity", () => {
  const weights = assign(makeInput({ a: 4 }, { a1: 0, b1: 9, c1: 9 }));
  assert.equal(weights.a, { b1: 1 });
});

test("without any capacity, callers stay in their own region", () => {
  const weights = assign(makeInput({ a: 4 }, { a1: 0, b1: 0 }));
  assert.equal(weights.a, { a1: 1 });
});

const inputs = fc.record({
  demand: fc.record({
    a: fc.integer({ min: 0, max: 20 }),
    b: fc.integer({ min: 0, max: 20 }),
    c: fc.integer({ min: 0, max: 20 }),
  }),
  slots: fc.record({
    a1: fc.integer({ min: 0, max: 20 }),
    a2: fc.integer({ min: 0, max: 20 }),
    b1: fc.integer({ min: 0, max: 20 }),
    c1: fc.integer({ min: 0, max: 20 }),
  }),
});

test("rows sum to 1, and no domain is overloaded while capacity suffices", () => {
  fc.assert(
    fc.property(inputs, ({ demand, slots }) => {
      const input = makeInput(demand, slots);
      const weights = assign(input);
      for (const row of Object.values(weights)) {
        const sum = Object.values(row).reduce((all, part) => all + part, 0);
        assert.ok(Math.abs(sum - 1) < 1e-9);
      }
      const needed = sumOf(demand);
      if (needed > 0 && needed <= sumOf(slots)) {
        assert.ok(assessWeights(input, weights).maxUtilization <= 1 + 1e-9);
      }
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

function sumOf(values: Record<string, number>): number {
  return Object.values(values).reduce((sum, value) => sum + value, 0);
}

/**
 * Finds the least total delay over all whole-slot assignments of three regions.
 */
function findOptimum(
  demand: Record<string, number>,
  slots: Record<string, number>,
  delays: Record<string, number>,
): number {
  const regions = ["a", "b", "c"];
  const free = new Map(
    regions.map((region) => [
      region,
      sumOf(Object.fromEntries(
        Object.entries(slots).filter(([domain]) => domain[0] === region),
      )),
    ]),
  );
  let best = Infinity;

  function tryAssignments(
    index: number,
    remaining: Map<string, number>,
    cost: number,
  ): void {
    if (cost >= best) return;
    if (index === regions.length) {
      best = cost;
      return;
    }
    const from = regions[index];
    const needed = demand[from];
    for (
      let first = 0;
      first <= Math.min(needed, remaining.get("a")!);
      first++
    ) {
      const rest = needed - first;
      for (
        let second = 0;
        second <= Math.min(rest, remaining.get("b")!);
        second++
      ) {
        const third = rest - second;
        if (third > remaining.get("c")!) continue;
        const next = new Map([
          ["a", remaining.get("a")! - first],
          ["b", remaining.get("b")! - second],
          ["c", remaining.get("c")! - third],
        ]);
        const added = first * delays[`${from} a`] +
          second * delays[`${from} b`] + third * delays[`${from} c`];
        tryAssignments(index + 1, next, cost + added);
      }
    }
  }

  tryAssignments(0, free, 0);
  return best;
}

test("the mean delay is within 1 ms of the exhaustive optimum", () => {
  const regrets: number[] = [];
  const small = fc.integer({ min: 0, max: 7 });
  fc.assert(
    fc.property(
      fc.record({ a: small, b: small, c: small }),
      fc.record({ a1: small, b1: small, c1: small }),
      fc.array(fc.integer({ min: 5, max: 60 }), { minLength: 6, maxLength: 6 }),
      (demand, slots, far) => {
        const delays = {
          "a a": 1,
          "b b": 1,
          "c c": 1,
          "a b": far[0],
          "b a": far[1],
          "a c": far[2],
          "c a": far[3],
          "b c": far[4],
          "c b": far[5],
        };
        const needed = sumOf(demand);
        fc.pre(needed > 0 && needed <= sumOf(slots));
        const input = makeInput(demand, slots, { delays });
        const cost = assessWeights(input, assign(input)).meanDelayMs * needed;
        const optimum = findOptimum(demand, slots, delays);
        assert.ok(cost >= optimum - 1e-6, "better than the optimum");
        regrets.push((cost - optimum) / needed);
      },
    ),
    { seed: SEED, numRuns: 1_000 },
  );
  const worst = Math.max(...regrets);
  const mean = regrets.reduce((sum, regret) => sum + regret, 0) /
    regrets.length;
  console.log(
    `regret over ${regrets.length} cases: worst ${worst.toFixed(2)} ms, ` +
      `mean ${mean.toFixed(3)} ms`,
  );
  assert.ok(worst <= 1, `worst regret ${worst} ms`);
});

test.run();
