import * as assert from "uvu/assert";
import { test } from "uvu";
import type { FleetDocument } from "../config/schema.ts";
import type { Role } from "../membership/types.ts";
import {
  listPeerAddresses,
  listRelays,
  RELAYS_PER_DOMAIN,
} from "./topology.ts";

function makeFleet(domains: number, vmsPerDomain: number): FleetDocument {
  const entryVms = Array.from(
    { length: domains * vmsPerDomain },
    (_, index) => {
      const id = `vm-${index}`;
      const address = { caller: "", peer: id, operator: "" };
      const failureDomain = `domain-${index % domains}`;
      return { id, failureDomain, steer: address, entry: address };
    },
  );
  return { entryVms } as unknown as FleetDocument;
}

/** @returns Linked VM ids of every steer, in both directions, by VM id. */
function connectAll(fleet: FleetDocument): Map<string, Set<string>> {
  const links = new Map(
    fleet.entryVms.map((vm) => [vm.id, new Set<string>()]),
  );
  for (const { id: vmId, failureDomain } of fleet.entryVms) {
    const self = { vmId, failureDomain, role: "steer" as Role };
    for (const peer of listPeerAddresses(fleet, self)) {
      assert.not.ok(links.get(vmId)!.has(peer), `${vmId} and ${peer} twice`);
      links.get(vmId)!.add(peer);
      links.get(peer)!.add(vmId);
    }
  }
  return links;
}

for (const [domains, vms] of [[2, 1], [6, 2], [6, 4], [12, 8], [87, 15]]) {
  test(`${domains} domains of ${vms}: every relay links to every other relay`, () => {
    const fleet = makeFleet(domains, vms);
    const links = connectAll(fleet);
    const names = [...new Set(fleet.entryVms.map((vm) => vm.failureDomain))];
    const relays = names.flatMap((name) => listRelays(fleet, name));
    for (const a of relays) {
      for (const b of relays) {
        if (a !== b) assert.ok(links.get(a.id)!.has(b.id), `${a.id} ${b.id}`);
      }
    }
    const maxLinks = Math.max(...[...links.values()].map(({ size }) => size));
    assert.ok(
      maxLinks <= vms - 1 + (domains - 1) * RELAYS_PER_DOMAIN,
      `${maxLinks}`,
    );
  });

  test(`${domains} domains of ${vms}: a full mesh within each domain`, () => {
    const fleet = makeFleet(domains, vms);
    const links = connectAll(fleet);
    for (const a of fleet.entryVms) {
      for (const b of fleet.entryVms) {
        const isPair = a !== b && a.failureDomain === b.failureDomain;
        if (isPair) assert.ok(links.get(a.id)!.has(b.id));
      }
    }
  });
}

test("an entry links to the steers of its own failure domain only", () => {
  const fleet = makeFleet(6, 4);
  const self = {
    vmId: "vm-0",
    failureDomain: "domain-0",
    role: "entry" as Role,
  };
  const links = listPeerAddresses(fleet, self).sort();
  assert.equal(links, ["vm-0", "vm-12", "vm-18", "vm-6"]);
});

test.run();
