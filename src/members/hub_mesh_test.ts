import * as assert from "uvu/assert";
import { test } from "uvu";
import { setTimeout as sleep } from "node:timers/promises";
import {
  makeReachability,
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFactStore } from "../news/fact_store.ts";
import { createFreshnessTracker } from "../news/freshness.ts";
import { makeCrashUpdate } from "../quarantine/suspect_facts.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { createServerRateLimits } from "../servers/rate_limits.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { buildTopology, isHub, MAX_FULL_MESH_VMS } from "./hubs.ts";
import { startMesh } from "./mesh.ts";
import { createMemberTable } from "./table.ts";
import { type VmIdentity, VmRegistry, type VmState } from "./types.ts";

const clock = createSystemClock();
const REGIONS = ["oslo", "bergen", "trondheim"];
const VMS = MAX_FULL_MESH_VMS + 3;

/** The registry that all VMs of a test share. */
class SharedRegistry extends VmRegistry {
  readonly #vms = new Map<string, VmIdentity>();
  lists = 0;

  override register(identity: VmIdentity): Promise<undefined> {
    this.#vms.set(identity.id, identity);
    return Promise.resolve(undefined);
  }

  override list(): Promise<VmIdentity[]> {
    this.lists++;
    return Promise.resolve([...this.#vms.values()]);
  }
}

async function startVm(index: number, registry: VmRegistry) {
  const http = await listen(createRouter(), "127.0.0.1:0");
  const factStore = createFactStore(clock);
  const region = REGIONS[index % REGIONS.length];
  const self: VmIdentity = {
    id: `vm-${index}`,
    incarnation: "1",
    region,
    failureDomain: `${region}-${index % 2}`,
    frontAddress: http.address,
    peerAddress: http.address,
    cores: 1,
  };
  const table = createMemberTable(self.id, clock);
  let state: VmState = "serving";
  const log = createSilentLog();
  const rateLimits = createServerRateLimits({ clock, log, ownId: self.id });
  const reachability = makeReachability(clock, makeRegistry(clock), self);
  const mesh = startMesh({
    self,
    table,
    factStore,
    freshness: createFreshnessTracker({ clock, getVersion: () => 0 }),
    needsProofs: () => false,
    registry,
    clock,
    log,
    server: http.server,
    seeds: [],
    isFleetBootstrap: true,
    makeReport: () => ({
      state,
      demandPerS: { s: 2 },
      digests: factStore.getDigests(),
    }),
    onFound: () => {},
    onActivity: () => {},
    onUsage: () => {},
    onServerUsage: () => {},
    onServerRateLimits: ({ id }, rates) => rateLimits.receive(id, rates),
    onUnreachableServers: reachability.receive,
  });
  return {
    self,
    factStore,
    table,
    mesh,
    rateLimits,
    reachability,
    leave() {
      state = "leaving";
      mesh.sendReport();
    },
    async stop() {
      mesh.stop();
      http.server.closeAllConnections();
      await http.close();
    },
  };
}

type TestVm = Awaited<ReturnType<typeof startVm>>;

async function startFleet() {
  const registry = new SharedRegistry();
  const vms = await Promise.all(
    Array.from({ length: VMS }, (_, index) => startVm(index, registry)),
  );
  const topology = buildTopology(vms.map(({ self }) => self));
  const isHubVm = ({ self }: TestVm) => isHub(topology, self);
  await waitUntil(() => vms.every((vm) => countServing(vm) === VMS - 1));
  return {
    registry,
    vms,
    hubs: vms.filter(isHubVm),
    others: vms.filter((vm) => !isHubVm(vm)),
    stop: () => Promise.all(vms.map((vm) => vm.stop())),
  };
}

function countServing({ table }: TestVm): number {
  return table.listServing().length;
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let count = 0; count < 400 && !isMet(); count++) await sleep(25);
  assert.ok(isMet());
}

test("VMs of a large fleet discover each other through two hubs per region", async () => {
  const { vms, hubs, others, stop } = await startFleet();
  assert.is(hubs.length, 6);
  await waitUntil(() =>
    others.every(({ table }) => table.listLinked().length === 2)
  );
  await waitUntil(() =>
    vms.every(({ mesh }) => mesh.getDemand()?.oslo?.s === 2 * VMS / 3)
  );
  await stop();
});

test("facts reach all VMs of a large fleet, whichever VM learned them", async () => {
  const { vms, others, stop } = await startFleet();
  const seenAtMs = 0;
  const updates = [
    makeServerUpdate(makeServer("1"), 1),
    makeCrashUpdate({
      request: "r",
      round: 0,
      server: "1",
      vm: "vm-0",
      seenAtMs,
    }),
  ];
  others[0].factStore.apply(updates);
  others[0].mesh.broadcastFacts(updates);
  await waitUntil(() =>
    vms.every(({ factStore }) =>
      factStore.listTopic("servers").length === 1 &&
      factStore.listTopic("suspects").length === 1
    )
  );
  await stop();
});

test("a server's rate limit reaches all VMs of a large fleet", async () => {
  const { vms, others, stop } = await startFleet();
  const [limited] = others;
  limited.rateLimits.record("1", 3.5);
  limited.mesh.broadcastServerRateLimits(limited.rateLimits.takeUpdates());
  await waitUntil(() =>
    vms.every(({ rateLimits }) => rateLimits.getRatePerS("1") === 3.5)
  );
  await stop();
});

function tellReachability({ reachability, mesh }: TestVm): void {
  mesh.broadcastUnreachableServers(reachability.takeReports());
}

function countReceived(vms: readonly TestVm[], reports: number): number {
  return vms.filter(({ reachability }) =>
    reachability.getStats().received === reports
  ).length;
}

// Guards against reports that stop at a hub, circulate between hubs, or need
// both hubs of a region.
test("reports of an unresponsive server reach all VMs once, also without one hub", async () => {
  const { vms, hubs, others, stop } = await startFleet();
  const [reporter] = others;
  const rest = vms.filter((vm) => vm !== reporter);
  for (const id of ["2", "3"]) reporter.reachability.recordOwn(id, "responded");
  reporter.reachability.recordOwn("1", "unreachable");
  tellReachability(reporter);
  await waitUntil(() => countReceived(rest, 1) === VMS - 1);
  const [lostHub] = hubs;
  await lostHub.stop();
  reporter.reachability.recordOwn("1", "responded");
  tellReachability(reporter);
  const left = rest.filter((vm) => vm !== lostHub);
  await waitUntil(() => countReceived(left, 2) === VMS - 2);
  await sleep(300);
  assert.is(countReceived(left, 2), VMS - 2);
  assert.is(reporter.reachability.getStats().received, 0);
  await stop();
});

test("no VM of a large fleet lists a VM that leaves", async () => {
  const { vms, others, stop } = await startFleet();
  const [leaver] = others;
  leaver.leave();
  const rest = vms.filter((vm) => vm !== leaver);
  await waitUntil(() => rest.every((vm) => countServing(vm) === VMS - 2));
  await stop();
});

test("a large fleet survives the loss of a hub, and of both hubs of a region", async () => {
  const { vms, hubs, stop } = await startFleet();
  const [first] = hubs;
  const second = hubs.find(({ self }) =>
    self.region === first.self.region && self.id !== first.self.id
  )!;
  await first.stop();
  let rest = vms.filter((vm) => vm !== first);
  await waitUntil(() => rest.every((vm) => countServing(vm) === VMS - 2));
  await second.stop();
  rest = rest.filter((vm) => vm !== second);
  await waitUntil(() => rest.every((vm) => countServing(vm) === VMS - 3));
  await sleep(2_500);
  assert.ok(rest.every((vm) => countServing(vm) === VMS - 3));
  await stop();
});

test("VMs behind hubs list the registry once, when they start", async () => {
  const { registry, hubs, others, stop } = await startFleet();
  await sleep(2_500);
  assert.ok(
    registry.lists <= others.length + 3 * hubs.length,
    `${registry.lists} lists`,
  );
  await stop();
});

test.run();
