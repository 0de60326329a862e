import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeVmIdentity } from "../gateway/fixture.ts";
import type { VmIdentity } from "../members/types.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createProxySelection, rankProxies } from "./proxy_selection.ts";

const REGIONS = ["oslo", "bergen", "trondheim"];

/** Three regions of two failure domains with so many VMs each. */
function makeFleet(vmsPerDomain: number): VmIdentity[] {
  return REGIONS.flatMap((region) =>
    ["a", "b"].flatMap((domain) =>
      Array.from(
        { length: vmsPerDomain },
        (_, index) =>
          makeVmIdentity(`${region}-${domain}-${index}`, {
            region,
            failureDomain: `${region}-${domain}`,
          }),
      )
    )
  );
}

function startSelection(fleet: VmIdentity[], self = fleet[0]) {
  const clock = createFakeClock();
  const others = fleet.filter((vm) => vm !== self);
  const selection = createProxySelection({
    clock,
    self,
    listServing: () => others,
  });
  return { clock, selection, self };
}

test("VMs of the own region but of another failure domain come first", () => {
  const fleet = makeFleet(3);
  const ranked = rankProxies(fleet[0], fleet.slice(1), []);
  assert.is(ranked.length, fleet.length - 1);
  assert.ok(
    ranked.slice(0, 3).every((vm) => vm.failureDomain === "oslo-b"),
  );
  assert.ok(ranked.slice(-2).every((vm) => vm.failureDomain === "oslo-a"));
});

// Guards against three VMs that lost their servers falling on one neighbour.
test("a failure domain without enough neighbours is spread over all regions", () => {
  const fleet = makeFleet(4).filter(({ failureDomain, id }) =>
    failureDomain !== "oslo-b" || id.endsWith("0")
  );
  const used = new Map<string, number>();
  for (const self of fleet.slice(0, 4)) {
    const { selection } = startSelection(fleet, self);
    for (let request = 0; request < 80; request++) {
      const vm = selection.choose("s", [])!;
      used.set(vm.id, (used.get(vm.id) ?? 0) + 1);
    }
  }
  assert.ok(Math.max(...used.values()) <= 80, JSON.stringify([...used]));
  assert.ok(used.size >= 8);
});

// Load: half of 2,600 VMs lose their servers.
test("the requests of many VMs are spread evenly over the others", () => {
  const fleet = makeFleet(433);
  const cut = fleet.filter(({ failureDomain }) => failureDomain.endsWith("a"));
  const used = new Map<string, number>();
  for (const self of cut.slice(0, 200)) {
    const { selection } = startSelection(fleet, self);
    for (let request = 0; request < 8; request++) {
      const vm = selection.choose("s", [])!;
      used.set(vm.id, (used.get(vm.id) ?? 0) + 1);
    }
  }
  assert.ok(Math.max(...used.values()) <= 20, `${Math.max(...used.values())}`);
});

test("homes restrict the regions, none may be left", () => {
  const fleet = makeFleet(2);
  const { selection } = startSelection(fleet);
  for (let request = 0; request < 10; request++) {
    assert.is(selection.choose("s", ["bergen"])?.region, "bergen");
  }
  assert.is(selection.choose("s", ["nowhere"]), undefined);
});

test("a VM that declined a service is asked for others, one that is gone for none", () => {
  const fleet = makeFleet(1).slice(0, 2);
  const { clock, selection } = startSelection(fleet);
  const [, other] = fleet;
  selection.recordOutcome(other, "s", "declined");
  assert.is(selection.choose("s", []), undefined);
  assert.is(selection.choose("t", []), other);
  clock.advance(1_001);
  assert.is(selection.choose("s", []), other);
  selection.recordOutcome(other, "s", "unreachable");
  assert.is(selection.choose("t", []), undefined);
});

// Guards against a region that lost its servers and asked only itself: VMs of a
// region come first, and declines were forgotten before all had been asked.
test("a region that lost its servers soon asks another one", () => {
  const fleet = makeFleet(65);
  const { selection } = startSelection(fleet);
  let asked = 0;
  for (;;) {
    const vm = selection.choose("s", [])!;
    asked++;
    if (vm.region !== "oslo") break;
    selection.recordOutcome(vm, "s", "declined");
  }
  assert.ok(asked <= 3, `${asked} VMs were asked`);
});

test("a failure domain in which one VM declined is asked last", () => {
  const fleet = makeFleet(2);
  const { clock, selection } = startSelection(fleet);
  const first = selection.choose("s", [])!;
  selection.recordOutcome(first, "s", "declined");
  for (let request = 0; request < 20; request++) {
    const { failureDomain } = selection.choose("s", [])!;
    assert.is.not(failureDomain, first.failureDomain);
  }
  for (const vm of fleet.slice(1)) {
    if (vm.failureDomain !== first.failureDomain) {
      selection.recordOutcome(vm, "s", "declined");
    }
  }
  assert.is(selection.choose("s", [])?.failureDomain, first.failureDomain);
  clock.advance(1_001);
  assert.ok(selection.choose("s", []));
});

test.run();
