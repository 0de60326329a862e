import * as assert from "uvu/assert";
import { test } from "uvu";
import { buildTopology, listLinkTargets, MAX_FULL_MESH_VMS } from "./hubs.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { VmIdentity } from "./types.ts";

const DOMAINS = ["a", "b", "c"];

function makeVm(region: string, index: number, cores = 1): VmIdentity {
  return {
    id: `${region}-${index}`,
    incarnation: "1",
    region,
    failureDomain: `${region}-${DOMAINS[index % DOMAINS.length]}`,
    frontAddress: "127.0.0.1:1",
    peerAddress: `127.0.0.1:${index}`,
    cores,
  };
}

function makeFleet(perRegion: number): VmIdentity[] {
  return ["oslo", "bergen", "trondheim"].flatMap((region) =>
    Array.from({ length: perRegion }, (_, index) => makeVm(region, index))
  );
}

test("a small fleet forms a full mesh", () => {
  const fleet = makeFleet(MAX_FULL_MESH_VMS / 3);
  const topology = buildTopology(fleet);
  assert.ok(topology.isFullMesh);
  assert.is(
    listLinkTargets(topology, fleet[0], false).length,
    fleet.length - 1,
  );
});

test("in a large fleet VMs link to two hubs, and hubs to each other", () => {
  const fleet = makeFleet(65);
  const topology = buildTopology(fleet);
  assert.not(topology.isFullMesh);
  const hubs = [...topology.hubs.values()].flat().map(({ id }) => id);
  assert.is(hubs.length, 6);
  let total = 0;
  for (const vm of fleet) {
    const linked = listLinkTargets(topology, vm, false);
    total += linked.length;
    assert.ok(linked.every(({ id }) => hubs.includes(id)));
    assert.is(linked.length, hubs.includes(vm.id) ? 5 : 2);
  }
  assert.is(total, 6 * 5 + 189 * 2);
});

test("the hubs of a region are in different failure domains", () => {
  for (const [, [first, second]] of buildTopology(makeFleet(30)).hubs) {
    assert.is.not(first.failureDomain, second.failureDomain);
  }
});

test("VMs with more cores become hubs", () => {
  const fleet = [...makeFleet(30), makeVm("oslo", 100, 5)];
  assert.is(buildTopology(fleet).hubs.get("oslo")![0].id, "oslo-100");
});

test("the loss of a hub changes no other hub", () => {
  const fleet = makeFleet(65);
  const before = buildTopology(fleet);
  const [first, second] = before.hubs.get("oslo")!;
  const after = buildTopology(fleet.filter((vm) => vm !== first));
  assert.ok(after.hubs.get("oslo")!.includes(second));
  assert.equal(after.hubs.get("bergen"), before.hubs.get("bergen"));
});

test("a VM that others use as a hub links to the hubs of all regions", () => {
  const fleet = makeFleet(65);
  const topology = buildTopology(fleet);
  const isHub = (vm: VmIdentity) =>
    [...topology.hubs.values()].flat().includes(vm);
  const other = fleet.find((vm) => !isHub(vm))!;
  assert.is(listLinkTargets(topology, other, true).length, 6);
});

// Guards against VMs that disagree about the hubs, which would cut regions off.
test("hubs are the first VMs by cores and hash, one of each domain", () => {
  for (let count = 25; count < 60; count++) {
    const fleet = Array.from({ length: count }, (_, index) => ({
      ...makeVm("oslo", index, [0.5, 1, 1][index * 7 % 3]),
      failureDomain: count % 5 === 0 ? "oslo-a" : `oslo-${index % 4}`,
    }));
    const ranked = [...fleet].sort((a, b) =>
      b.cores - a.cores || hashToUnit(a.id) - hashToUnit(b.id)
    );
    const second = ranked.find(({ failureDomain }) =>
      failureDomain !== ranked[0].failureDomain
    ) ?? ranked[1];
    const copies = fleet.toReversed().map((vm) => ({ ...vm }));
    for (const vms of [fleet, fleet, copies]) {
      const hubs = buildTopology(vms).hubs.get("oslo")!;
      assert.equal(hubs, [ranked[0], second]);
    }
  }
  assert.is(
    buildTopology([makeVm("oslo", 0)], false).hubs.get("oslo")!.length,
    1,
  );
});

test.run();
