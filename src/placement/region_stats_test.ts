import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
  TEST_REGIONS,
} from "../gateway/fixture.ts";
import { createMemberTable } from "../members/table.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createDemandSmoother } from "./demand_smoothing.ts";
import {
  createRegionStatsReader,
  type RegionStatsOptions,
} from "./region_stats.ts";

const DIGEST = { facts: 0, versionSum: 0 };

function startReader(changes: Partial<RegionStatsOptions> = {}) {
  const clock = createFakeClock();
  const table = createMemberTable("self", clock);
  const registry = makeRegistry(clock);
  const reader = createRegionStatsReader({
    ownRegion: "oslo",
    regions: TEST_REGIONS,
    registry,
    table,
    demandSmoother: createDemandSmoother(clock),
    getSlots: ({ slots }) => slots,
    getFleetDemand: () => undefined,
    getOwnDemand: () => ({ s: 20, t: 5 }),
    ...changes,
  });
  const getSlots = () =>
    reader.read("s").find(({ region }) => region === "oslo")?.slots;
  return { table, registry, reader, getSlots };
}

test("the usable slots of a server are counted", () => {
  const { registry, getSlots } = startReader({ getSlots: () => 0.5 });
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  assert.is(getSlots(), 0.5);
});

test("slots of cold servers are counted, those of unreachable ones aren't", () => {
  const { registry, getSlots } = startReader();
  registry.apply(makeServerUpdate(makeServer("1"), 1));
  registry.apply(makeServerUpdate(makeServer("2", { coldLeftMs: 3_000 }), 2));
  assert.is(getSlots(), 8);
  const [{ health }] = registry.listUsable("s");
  health.recordOutcome("unreachable");
  assert.is(getSlots(), 8);
  health.recordOutcome("unreachable");
  assert.is(getSlots(), 4);
  health.recordOutcome("answered");
  assert.is(getSlots(), 8);
});

test("requests per second are summed over the VMs and services of the region", () => {
  const { table, reader } = startReader();
  for (const [id, region] of [["near", "oslo"], ["far", "bergen"]]) {
    table.recordHello({
      id,
      incarnation: "1",
      region,
      failureDomain: `${region}-a`,
      frontAddress: "127.0.0.1:1",
      peerAddress: "127.0.0.1:2",
      cores: 1,
    });
    table.recordReport(id, {
      state: "serving",
      demandPerS: { s: 10 },
      digests: { operations: DIGEST, servers: DIGEST, suspects: DIGEST },
    });
  }
  assert.is(reader.getRequestsPerS(), 35);
});

test.run();
