import * as assert from "uvu/assert";
import { test } from "uvu";
import { setTimeout as sleep } from "node:timers/promises";
import { makeServer, makeServerNews } from "../gateway/fixture.ts";
import { createNewsBoard } from "../news/board.ts";
import { createKnowledge } from "../news/knowledge.ts";
import { toEndNews } from "../quarantine/suspect_facts.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { createServerRateLimits } from "../servers/rate_limits.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { arrange, isHub, MAX_FULL_MESH_VMS } from "./hubs.ts";
import { startMesh } from "./mesh.ts";
import { createMemberTable } from "./table.ts";
import { type VmIdentity, VmRegister, type VmState } from "./types.ts";

const clock = createSystemClock();
const REGIONS = ["oslo", "bergen", "trondheim"];
const VMS = MAX_FULL_MESH_VMS + 3;

/** The register that all VMs of a test share. */
class SharedRegister extends VmRegister {
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

async function startVm(index: number, register: VmRegister) {
  const http = await listen(createRouter(), "127.0.0.1:0");
  const board = createNewsBoard(clock);
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
  const mesh = startMesh({
    self,
    table,
    board,
    knowledge: createKnowledge({ clock, getVersion: () => 0 }),
    needsProofs: () => false,
    register,
    clock,
    log,
    server: http.server,
    seeds: [],
    startsWithAll: true,
    makeReport: () => ({
      state,
      demandPerS: { s: 2 },
      digests: board.getDigests(),
    }),
    onFound: () => {},
    onActivity: () => {},
    onUsage: () => {},
    onServerUsage: () => {},
    onServerRateLimits: ({ id }, rates) => rateLimits.receive(id, rates),
  });
  return {
    self,
    board,
    table,
    mesh,
    rateLimits,
    leave() {
      state = "leaving";
      mesh.reportNow();
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
  const register = new SharedRegister();
  const vms = await Promise.all(
    Array.from({ length: VMS }, (_, index) => startVm(index, register)),
  );
  const topology = arrange(vms.map(({ self }) => self));
  const isHubVm = ({ self }: TestVm) => isHub(topology, self);
  await waitUntil(() => vms.every((vm) => countServing(vm) === VMS - 1));
  return {
    register,
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

test("VMs of a large fleet know of each other by way of two hubs a region", async () => {
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

test("facts reach all VMs of a large fleet, whoever learned of them", async () => {
  const { vms, others, stop } = await startFleet();
  const seenAtMs = 0;
  const news = [
    makeServerNews(makeServer("1"), 1),
    toEndNews({ request: "r", round: 0, server: "1", vm: "vm-0", seenAtMs }),
  ];
  others[0].board.apply(news);
  others[0].mesh.passOn(news);
  await waitUntil(() =>
    vms.every(({ board }) =>
      board.listTopic("servers").length === 1 &&
      board.listTopic("suspects").length === 1
    )
  );
  await stop();
});

test("a rate limit of a server is known to all VMs of a large fleet", async () => {
  const { vms, others, stop } = await startFleet();
  const [told] = others;
  told.rateLimits.record("1", 3.5);
  told.mesh.tellServerRateLimits(told.rateLimits.takeUpdates());
  await waitUntil(() =>
    vms.every(({ rateLimits }) => rateLimits.getRatePerS("1") === 3.5)
  );
  await stop();
});

test("a VM that leaves is named by no VM of a large fleet any more", async () => {
  const { vms, others, stop } = await startFleet();
  const [leaver] = others;
  leaver.leave();
  const rest = vms.filter((vm) => vm !== leaver);
  await waitUntil(() => rest.every((vm) => countServing(vm) === VMS - 2));
  await stop();
});

test("a large fleet goes on without a hub, and without two of one region", async () => {
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

test("behind hubs, VMs ask the register once as they start", async () => {
  const { register, hubs, others, stop } = await startFleet();
  await sleep(2_500);
  assert.ok(
    register.lists <= others.length + 3 * hubs.length,
    `${register.lists} lists`,
  );
  await stop();
});

test.run();
