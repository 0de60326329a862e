import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeVmIdentity } from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { startDiscovery } from "./discovery.ts";
import { type VmIdentity, VmRegistry } from "./types.ts";

class CountingRegistry extends VmRegistry {
  epoch: number | undefined = 1;
  registeredAtMs: number[] = [];

  constructor(private readonly getNowMs: () => number) {
    super();
  }

  override register(): Promise<number | undefined> {
    this.registeredAtMs.push(this.getNowMs());
    return Promise.resolve(this.epoch);
  }

  override list(): Promise<VmIdentity[]> {
    return Promise.resolve([]);
  }
}

function start(vms: number, index = 0) {
  const clock = createFakeClock();
  const registry = new CountingRegistry(clock.monotonicMs);
  const heard = { epoch: 0 };
  const discovery = startDiscovery({
    self: makeVmIdentity(`vm-${index}`),
    registry,
    clock,
    log: createSilentLog(),
    listAfterMs: 0,
    countKnown: () => vms,
    getEpoch: () => heard.epoch,
    shouldList: () => true,
    isAlone: () => false,
    onListed: () => {},
  });
  return { clock, registry, heard, discovery };
}

test("a VM registers again once after a restore of the registry", async () => {
  const { clock, registry, heard, discovery } = start(12);
  await Promise.resolve();
  heard.epoch = 1;
  clock.advance(10_000);
  assert.is(registry.registeredAtMs.length, 1);
  registry.epoch = 2;
  heard.epoch = 2;
  clock.advance(10_000);
  await Promise.resolve();
  clock.advance(10_000);
  assert.is(registry.registeredAtMs.length, 2);
  discovery.stop();
});

test("2,600 VMs register again at less than 200 writes a second", async () => {
  const bySecond = new Map<number, number>();
  for (let index = 0; index < 2_600; index++) {
    const { clock, registry, heard, discovery } = start(2_600, index);
    await Promise.resolve();
    heard.epoch = 2;
    for (let second = 0; second < 30; second++) clock.advance(1_000);
    discovery.stop();
    const [, againAtMs] = registry.registeredAtMs;
    const second = Math.floor(againAtMs / 1_000);
    bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
  }
  assert.ok(Math.max(...bySecond.values()) < 200);
});

test.run();
