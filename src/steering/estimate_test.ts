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

/** Figures of one entry of each domain, as old as told. */
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
    input.domainCapacities.map((place) => [place.failureDomain, place.slots]),
  );
  return { demand, slots, input };
}

const cases: [string, Partial<EstimateInput>, string, number, number][] = [
  ["fresh figures", { loads: makeLoads({ a1: 0, b1: 0 }) }, "a", 8, 18],
  ["no figures at all: what is declared, the widest reserve", {}, "a", 5, 12],
  [
    "figures of one domain only: the others' demand is not nothing",
    { loads: makeLoads({ a1: 0 }) },
    "b",
    3,
    18,
  ],
  [
    "old figures: at least what is declared, a wider reserve",
    { loads: makeLoads({ a1: 9_000, b1: 9_000 }, { requestsPerS: 1 }) },
    "a",
    5,
    16,
  ],
  [
    "fresh figures of no demand never read as none",
    { loads: makeLoads({ a1: 0, b1: 0 }, { requestsPerS: 0 }) },
    "a",
    0.1,
    18,
  ],
  [
    "more slots than declared are not believed",
    { loads: makeLoads({ a1: 0, b1: 0 }, { usableSlots: 900 }) },
    "a",
    8,
    18,
  ],
  [
    "fewer usable slots than declared are",
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
    "a drain that has not begun changes nothing",
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
    const found = run(changes);
    assert.ok(Math.abs(found.demand[region] - demand) < 1e-9, name);
    assert.ok(
      Math.abs(found.slots.a1 - slots) < 1e-9,
      `${found.slots.a1} slots`,
    );
  });
}

test("a link carries what its limit allows, none without a link", () => {
  const { input } = run({ loads: makeLoads({ a1: 0, b1: 0 }) });
  assert.ok(Math.abs(input.linkSlots("a", "b") - 8.5) < 1e-9);
  assert.is(input.linkSlots("a", "a"), Infinity);
  assert.is(input.linkSlots("a", "z"), 0);
});

test("the reserve grows with age, to a bound", () => {
  const reserves = [0, 4_000, 9_000, 900_000].map((ageMs) =>
    Number(getReserveShare(0.1, ageMs).toFixed(3))
  );
  assert.equal(reserves, [0.1, 0.1, 0.2, 0.4]);
});

test.run();
