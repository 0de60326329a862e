import * as assert from "uvu/assert";
import { test } from "uvu";
import { fleetSchema, serviceSchema } from "../config/schema.ts";
import type { LoadState } from "../measurement/state.ts";
import { estimate, type EstimateInput, getReserveShare } from "./estimate.ts";

const endpoint = {
  caller: "127.0.0.1:1",
  peer: "127.0.0.1:2",
  operator: "127.0.0.1:3",
};
const fleet = fleetSchema.parse({
  regions: [
    { name: "a", failureDomains: ["a1"] },
    { name: "b", failureDomains: ["b1"] },
  ],
  entryVms: [
    { id: "a", failureDomain: "a1", steer: endpoint, entry: endpoint },
  ],
  links: [{ from: "a", to: "b", oneWayMs: 30, limitBytesPerS: 100_000 }],
  clientBlocks: [{ cidr: "10.0.0.0/16", region: "a" }],
});
const document = serviceSchema.parse({
  service: "s",
  regions: ["a", "b"],
  backendServers: ["a1", "b1"].map((failureDomain) => ({
    id: `s-${failureDomain}`,
    failureDomain,
    address: "127.0.0.1:9000",
    slots: 20,
  })),
  shiftCap: { maxShare: 0.1, windowS: 10 },
  headroomShare: 0.1,
  expectedServiceMs: 100,
  expectedRequestsPerS: { a: 50, b: 30 },
  classes: [{ name: "read", methods: ["GET"], idempotent: true }],
});

/** Builds measurements of one entry per domain, with the given ages in ms. */
function makeLoads(
  ages: Record<string, number>,
  changes: { usableSlots?: number; requestsPerS?: number } = {},
): LoadState {
  const { usableSlots = 20, requestsPerS = 80 } = changes;
  return new Map(
    Object.entries(ages).map(([failureDomain, ageMs]) => [failureDomain, {
      receivedMs: 100_000 - ageMs,
      load: {
        entryId: failureDomain,
        failureDomain,
        utilization: 0,
        services: [{
          service: "s",
          usableSlots,
          inFlight: 1,
          serviceMs: 100,
          arrivals: [{ region: failureDomain[0], requestsPerS }],
          bytesPerRequest: 1_000,
        }],
      },
    }]),
  );
}

function run(changes: Partial<EstimateInput>) {
  const { input } = estimate({
    document,
    fleet,
    regionOf: new Map([["a1", "a"], ["b1", "b"]]),
    loads: new Map(),
    aliveDomains: new Set(["a1", "b1"]),
    leavingServers: new Set(),
    serviceCount: 1,
    nowMs: 100_000,
    wallMs: 0,
    ...changes,
  });
  const demand = Object.fromEntries(
    input.demand.map(({ region, slots }) => [region, slots]),
  );
  const slots = Object.fromEntries(
    input.domainCapacities.map((
      domain,
    ) => [domain.failureDomain, domain.slots]),
  );
  return { demand, slots, input };
}

const cases: [string, Partial<EstimateInput>, string, number, number][] = [
  ["fresh measurements", { loads: makeLoads({ a1: 0, b1: 0 }) }, "a", 8, 18],
  ["no measurements: declared demand, the largest reserve", {}, "a", 5, 12],
  [
    "measurements of one domain only: at least the declared demand",
    { loads: makeLoads({ a1: 0 }) },
    "b",
    3,
    18,
  ],
  [
    "old measurements: at least the declared demand, a larger reserve",
    { loads: makeLoads({ a1: 9_000, b1: 9_000 }, { requestsPerS: 1 }) },
    "a",
    5,
    16,
  ],
  [
    "a fresh measurement of 0 is not taken for zero demand",
    { loads: makeLoads({ a1: 0, b1: 0 }, { requestsPerS: 0 }) },
    "a",
    0.1,
    18,
  ],
  [
    "reported slots beyond the declared ones are ignored",
    { loads: makeLoads({ a1: 0, b1: 0 }, { usableSlots: 900 }) },
    "a",
    8,
    18,
  ],
  [
    "fewer usable slots than declared are used",
    { loads: makeLoads({ a1: 0, b1: 0 }, { usableSlots: 10 }) },
    "a",
    8,
    9,
  ],
  ["a dead domain has no slots", { aliveDomains: new Set(["b1"]) }, "a", 5, 0],
  [
    "a leaving server has no slots",
    { leavingServers: new Set(["s-a1"]) },
    "a",
    5,
    0,
  ],
  [
    "a drained region has no slots",
    {
      document: { ...document, drains: [{ scope: "region", name: "a" }] },
    },
    "a",
    5,
    0,
  ],
  [
    "a drain that has not begun has no effect",
    {
      document: {
        ...document,
        drains: [{
          scope: "region",
          name: "a",
          startsAt: "2030-01-01T00:00:00Z",
        }],
      },
    },
    "a",
    5,
    12,
  ],
];

for (const [name, changes, region, demand, slots] of cases) {
  test(name, () => {
    const result = run(changes);
    assert.ok(Math.abs(result.demand[region] - demand) < 1e-9, name);
    assert.ok(
      Math.abs(result.slots.a1 - slots) < 1e-9,
      `${result.slots.a1} slots`,
    );
  });
}

test("a link carries what its limit allows; without a link, nothing", () => {
  const { input } = run({ loads: makeLoads({ a1: 0, b1: 0 }) });
  assert.ok(Math.abs(input.linkSlots("a", "b") - 8.5) < 1e-9);
  assert.is(input.linkSlots("a", "a"), Infinity);
  assert.is(input.linkSlots("a", "z"), 0);
});

test("the reserve grows with age up to a limit", () => {
  const reserves = [0, 4_000, 9_000, 900_000].map((ageMs) =>
    Number(getReserveShare(0.1, ageMs).toFixed(3))
  );
  assert.equal(reserves, [0.1, 0.1, 0.2, 0.4]);
});

test.run();
