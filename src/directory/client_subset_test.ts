import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeVmIdentity } from "../gateway/fixture.ts";
import type { VmIdentity } from "../members/types.ts";
import {
  limitSubset,
  selectClientSubset,
  type SubsetClient,
} from "./client_subset.ts";

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.27;
const CLIENTS = 2_000;
const PEAK_PER_S = 450 * 2.6;
const REQUEST_CPU_S = 0.003;

/** A region of 4 large and 18 small VMs in two failure domains. */
function makeUnevenRegion(): VmIdentity[] {
  return Array.from(
    { length: 22 },
    (_, index) =>
      makeVmIdentity(`vm-${index}`, {
        failureDomain: index % 2 === 0 ? "a" : "b",
        cores: index < 4 ? LARGE_CORES : SMALL_CORES,
      }),
  );
}

function makeClient(index: number, preferredDomain?: string): SubsetClient {
  return { key: `10.0.0.${index}`, preferredDomain };
}

/** Expected connections of each VM if each client opens one. */
function countConnections(vms: readonly VmIdentity[]): Map<string, number> {
  const connections = new Map(vms.map(({ id }) => [id, 0]));
  for (let client = 0; client < CLIENTS; client++) {
    const subset = selectClientSubset(vms, makeClient(client));
    for (const { id } of subset) {
      connections.set(id, connections.get(id)! + 1 / subset.length);
    }
  }
  return connections;
}

// Load: 450 requests a second in a region of uneven VMs, 2.6 times as many in a
// burst at the peak of a wave, each 3 ms of CPU time. Guards against saturating
// VMs of a quarter of a core while others are nearly idle.
test("no VM is used above its cores at the peak, small ones least", () => {
  const vms = makeUnevenRegion();
  const connections = countConnections(vms);
  const uses = vms.map(({ id, cores }) => ({
    cores,
    use: connections.get(id)! / CLIENTS * PEAK_PER_S * REQUEST_CPU_S / cores,
  }));
  const large = uses.filter(({ cores }) => cores === LARGE_CORES);
  const small = uses.filter(({ cores }) => cores === SMALL_CORES);
  for (const { use } of large) assert.ok(use < 0.85, `large: ${use}`);
  for (const { use } of small) assert.ok(use < 0.4, `small: ${use}`);
});

// Guards against clients without an address after a failure domain is lost.
test("each client has addresses in two failure domains", () => {
  const vms = makeUnevenRegion();
  for (let client = 0; client < CLIENTS; client++) {
    const subset = selectClientSubset(vms, makeClient(client));
    assert.ok(subset.length >= 3);
    assert.is(new Set(subset.map((vm) => vm.failureDomain)).size, 2);
  }
});

// Clients close connections to addresses that a later answer omits.
test("the loss of a VM changes the subset only by that VM", () => {
  const vms = makeUnevenRegion();
  const rest = vms.slice(1);
  for (let client = 0; client < 200; client++) {
    const before = selectClientSubset(vms, makeClient(client));
    const after = selectClientSubset(rest, makeClient(client));
    const kept = before.filter(({ id }) => id !== "vm-0");
    assert.ok(kept.every((vm) => after.includes(vm)));
    assert.ok(after.length <= Math.max(3, kept.length) + 1);
  }
});

test("all VMs are listed where they are of similar size", () => {
  const vms = makeUnevenRegion().map((vm) => ({ ...vm, cores: 0.54 }));
  assert.is(selectClientSubset(vms, makeClient(1)), vms);
});

// Load: uploads of 60 KB from clients of both domains. Guards against half of
// their bytes taking the links between failure domains.
test("most connections stay in a preferred domain, with a fallback", () => {
  const vms = makeUnevenRegion();
  let inDomain = 0;
  for (let client = 0; client < CLIENTS; client++) {
    const subset = selectClientSubset(vms, makeClient(client, "b"));
    const own = subset.filter((vm) => vm.failureDomain === "b").length;
    assert.ok(own < subset.length, "no address outside the domain");
    inDomain += own / subset.length;
  }
  assert.ok(inDomain > 0.65 * CLIENTS, `${inDomain}`);
});

// Guards against directing all clients of a domain to the few VMs that remain
// there after a failure.
test("a domain with too few VMs is not preferred", () => {
  const vms = makeUnevenRegion().filter((vm, index) =>
    vm.failureDomain === "a" || index < 4
  );
  const clients = Array.from(
    { length: 200 },
    (_, index) => makeClient(index, "b"),
  );
  const outside = clients.filter((client) => {
    const subset = selectClientSubset(vms, client);
    return subset.filter((vm) => vm.failureDomain === "a").length >= 2;
  });
  assert.ok(outside.length > 180, `${outside.length}`);
});

// Guards against an endless search for a second domain, and an empty answer.
test("a fleet of one failure domain still gets enough addresses", () => {
  const vms = makeUnevenRegion().map((vm) => ({ ...vm, failureDomain: "a" }));
  const unknown = { key: "", preferredDomain: "elsewhere" };
  for (const client of [makeClient(1, "a"), unknown]) {
    assert.ok(selectClientSubset(vms, client).length >= 4);
  }
});

// Load: a client without VMs in its region gets those of all regions, up to 112.
// Guards against directing all such clients to the 64 first addresses, which may
// be in one failure domain, and leaving the other VMs idle.
test("a client that is given too many VMs keeps 64, in two failure domains", () => {
  const vms = Array.from(
    { length: 112 },
    (_, index) =>
      makeVmIdentity(`vm-${index}`, {
        failureDomain: index < 110 ? "a" : "b",
      }),
  );
  const used = new Set<VmIdentity>();
  for (let index = 0; index < 200; index++) {
    const { key } = makeClient(index);
    const limited = limitSubset(vms, key, 64);
    assert.is(new Set(limited).size, 64);
    assert.is(new Set(limited.map((vm) => vm.failureDomain)).size, 2);
    assert.equal(limitSubset([...vms].reverse(), key, 64), limited);
    const [lost] = limited;
    const rest = limitSubset(vms.filter((vm) => vm !== lost), key, 64);
    const kept = limited.filter((vm) => rest.includes(vm));
    assert.ok(kept.length >= 62, `${kept.length} kept`);
    limited.forEach((vm) => used.add(vm));
  }
  assert.is(used.size, vms.length);
});

test.run();
