import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import type { FactStore } from "./fact_store.ts";
import {
  createModelFleet,
  createWriters,
  listServerStates,
  listSourceStates,
  RestoredSource,
} from "./fleet_model.ts";
import { CONFIGURATION_KEY } from "./types.ts";

const STEP_MS = 50;
const ACTIVE_MS = 40_000;
/** Longer than an older configuration takes to be accepted as intended (60 s). */
const QUIET_MS = 75_000;
const VMS = 5;
const READERS = 2;

function getConfigurationNumber(store: FactStore): number {
  const fact = store.get(CONFIGURATION_KEY)?.fact;
  return fact?.kind === "configuration" ? fact.configuration.version : 0;
}

/** Fails if a VM reverts to an older configuration or server state. */
function createRegressionCheck(store: FactStore) {
  let configuration = 0;
  const draining = new Set<string>();
  return () => {
    const now = getConfigurationNumber(store);
    assert.ok(now >= configuration, `configuration ${now} < ${configuration}`);
    configuration = now;
    for (const state of listServerStates(store)) {
      const [id, name] = state.split(" ");
      if (name === "draining") draining.add(id);
      else assert.not(draining.has(id), `${id} is ready again`);
    }
  };
}

async function play(seed: number): Promise<void> {
  const random = createRandom(seed);
  const clock = createFakeClock();
  const source = new RestoredSource(clock, random);
  const writers = createWriters(source, random);
  const fleet = createModelFleet({
    source,
    clock,
    random,
    lostShare: 0.1,
    announcesReads: false,
  });
  const checks = Array.from(
    { length: VMS },
    (_, index) => createRegressionCheck(fleet.add(index < READERS).store),
  );
  let copy = { rows: new Map(source.rows), counter: source.counter };
  let downUntilMs = Infinity;
  let rewriteAtMs = Infinity;
  const startMs = clock.monotonicMs();

  async function step(isQuiet: boolean): Promise<void> {
    clock.advance(STEP_MS);
    const nowMs = clock.monotonicMs();
    if (!isQuiet && !source.isDown) {
      if (random() < 0.1) writers.change();
      if (random() < 0.02) {
        copy = { rows: new Map(source.rows), counter: source.counter };
      }
      if (random() < 0.008) {
        source.isDown = true;
        downUntilMs = nowMs + 300 + random() * 2_200;
      }
      if (random() < 0.002) {
        checks.push(createRegressionCheck(fleet.add(true).store));
      }
    }
    if (nowMs >= downUntilMs) {
      downUntilMs = Infinity;
      source.isDown = false;
      source.rows = new Map(copy.rows);
      source.counter = copy.counter;
      source.epoch += random() < 0.2 ? 2 : 1;
      rewriteAtMs = nowMs + random() * 1_500;
    }
    if (nowMs >= rewriteAtMs && !source.isDown) {
      rewriteAtMs = Infinity;
      writers.rewriteAll();
    }
    fleet.deliver();
    for (let turn = 0; turn < 12; turn++) await Promise.resolve();
    for (const check of checks) check();
  }

  while (clock.monotonicMs() < startMs + ACTIVE_MS) await step(false);
  while (clock.monotonicMs() < startMs + ACTIVE_MS + QUIET_MS) await step(true);
  const stored = source.rows.get(CONFIGURATION_KEY)!.fact;
  for (const { store } of fleet.vms) {
    assert.equal(listServerStates(store), listSourceStates(source));
    assert.equal(store.get(CONFIGURATION_KEY)?.fact, stored);
  }
}

for (const seed of [1, 2, 3, 4, 208, 209, 290, 301]) {
  test(`repeated restores: no VM reverts a fact, all VMs agree, seed ${seed}`, () =>
    play(seed));
}

test.run();
