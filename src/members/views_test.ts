import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeVmIdentity } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { buildTopology } from "./hubs.ts";
import { createMemberTable } from "./table.ts";
import type { VmIdentity } from "./types.ts";
import { createVmViews } from "./views.ts";

function makeVm(region: string, index: number): VmIdentity {
  const failureDomain = `${region}-a`;
  return makeVmIdentity(`${region}-${index}`, { region, failureDomain });
}

/** Lists the VMs that read the platform, each in its own local view. */
function listReaders(perRegion: number): VmIdentity[] {
  const fleet = ["oslo", "bergen"].flatMap((region) =>
    Array.from({ length: perRegion }, (_, index) => makeVm(region, index))
  );
  const topology = buildTopology(fleet);
  return fleet.filter((self) => {
    const table = createMemberTable(self.id, createFakeClock());
    for (const vm of fleet) {
      table.recordHello(vm);
    }
    return createVmViews(self, table).isReader(topology);
  });
}

test("in a small fleet one VM of each region reads the platform", () => {
  const readers = listReaders(6);
  assert.equal(readers.map(({ region }) => region), ["oslo", "bergen"]);
});

test("in a large fleet one hub reads the platform for all", () => {
  assert.is(listReaders(60).length, 1);
});

test.run();
