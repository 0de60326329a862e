import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import {
  createModelFleet,
  createWriters,
  listServerStates,
  listSourceStates,
  type ModelVm,
  RestoredSource,
} from "./fleet_model.ts";
import { CONFIGURATION_KEY } from "./types.ts";

const STEP_MS = 50;
const ACTIVE_MS = 40_000;
const QUIET_MS = 10_000;
const VMS = 5;
const READERS = 2;
/** Time after a disruption from which a VM has to keep its bounds. */
const CONTACT_MS = 4_000;
/** Time in which a VM has to know that a server was removed. */
const REMOVAL_MS = 2_500;
const MAX_DISRUPTION_MS = 6_000;
/** Longer than removals are kept. */
const LONG_DISRUPTION_MS = 130_000;

/** A disruption that ends. */
interface Disruption {
  endsAtMs: number;
  end: () => void;
}

async function play(seed: number, hasLongCuts: boolean): Promise<void> {
  const random = createRandom(seed);
  const clock = createFakeClock();
  const source = new RestoredSource(clock, random);
  const writers = createWriters(source, random);
  const fleet = createModelFleet({
    source,
    clock,
    random,
    lostShare: 0,
    announcesReads: true,
  });
  for (let index = 0; index < VMS; index++) fleet.add(index < READERS);
  let disruptions: Disruption[] = [];
  let starts: { atMs: number; hasReadDuty: boolean }[] = [];
  const startMs = clock.monotonicMs();

  function pickVm(): ModelVm | undefined {
    return fleet.vms[Math.floor(random() * fleet.vms.length)];
  }

  function getDurationMs(): number {
    return hasLongCuts && random() < 0.3
      ? LONG_DISRUPTION_MS
      : 300 + random() * MAX_DISRUPTION_MS;
  }

  function disrupt(vm: ModelVm, state: "isCut" | "isFrozen"): void {
    if (vm.isCut || vm.isFrozen) return;
    vm[state] = true;
    vm.calmSinceMs = Infinity;
    disruptions.push({
      endsAtMs: clock.monotonicMs() + getDurationMs(),
      end() {
        vm[state] = false;
        vm.calmSinceMs = clock.monotonicMs();
      },
    });
  }

  /** Kills VMs that start again: one, or all but one. */
  function kill(): void {
    const spared = random() < 0.5 ? pickVm() : undefined;
    const killed = spared === undefined
      ? fleet.vms.slice(0, 1)
      : fleet.vms.filter((vm) => vm !== spared);
    for (const vm of killed) {
      fleet.kill(vm);
      const atMs = clock.monotonicMs() + 300 + random() * 2_000;
      starts.push({ atMs, hasReadDuty: vm.hasReadDuty });
    }
  }

  function endDue(): void {
    const nowMs = clock.monotonicMs();
    const due = disruptions.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    disruptions = disruptions.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { end } of due) end();
    const starting = starts.filter(({ atMs }) => atMs <= nowMs);
    starts = starts.filter(({ atMs }) => atMs > nowMs);
    for (const { hasReadDuty } of starting) fleet.add(hasReadDuty);
  }

  /** Fails if a VM that is in touch knows a server that has left. */
  function checkRemovals(): void {
    const nowMs = clock.monotonicMs();
    for (const { store, calmSinceMs } of fleet.vms) {
      if (nowMs - calmSinceMs < CONTACT_MS) continue;
      for (const { key, fact } of store.listTopic("servers")) {
        const row = source.rows.get(key);
        const isGone = row !== undefined && row.fact === undefined &&
          nowMs - row.atMs > REMOVAL_MS;
        const message = `${key} was removed ${nowMs - (row?.atMs ?? 0)} ms ago`;
        assert.not(isGone && fact !== undefined, message);
      }
    }
  }

  async function step(isQuiet: boolean): Promise<void> {
    clock.advance(STEP_MS);
    endDue();
    if (!isQuiet) {
      if (random() < 0.1) writers.change();
      if (random() < 0.02) disrupt(pickVm()!, "isCut");
      if (random() < 0.01) disrupt(pickVm()!, "isFrozen");
      if (random() < 0.01 && starts.length === 0) kill();
    }
    fleet.deliver();
    for (let turn = 0; turn < 30; turn++) await Promise.resolve();
    checkRemovals();
  }

  const activeMs = hasLongCuts ? 4 * LONG_DISRUPTION_MS : ACTIVE_MS;
  while (clock.monotonicMs() < startMs + activeMs) await step(false);
  for (const disruption of disruptions) disruption.endsAtMs = 0;
  const quietMs = clock.monotonicMs() + QUIET_MS;
  while (clock.monotonicMs() < quietMs) await step(true);
  const stored = source.rows.get(CONFIGURATION_KEY)!.fact;
  for (const { store } of fleet.vms) {
    assert.equal(listServerStates(store), listSourceStates(source));
    assert.equal(store.get(CONFIGURATION_KEY)?.fact, stored);
  }
}

// Guards against facts that the source has dropped, and that a VM which was cut
// off, frozen or not yet started brings back.
for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 50, 173, 262]) {
  test(`VMs that are cut off, frozen and killed bring back nothing, seed ${seed}`, () =>
    play(seed, false));
}

for (const seed of [1, 2, 8, 32]) {
  test(`VMs that are cut off for longer than removals are kept bring back nothing, seed ${seed}`, () =>
    play(seed, true));
}

test.run();
