/**
 * Requests that run on a server beside a poison request crash together with it
 * and look just like it. Here nine VMs send 140 requests a second to twelve
 * servers. Either a poison request is among them three times a second, or four
 * servers crash at once by themselves. The poison request has to be set aside,
 * and no harmless request may be.
 */
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFactStore } from "../news/fact_store.ts";
import type { FactUpdate } from "../news/types.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { hashToUnit, rankByRendezvous } from "../runtime/hash.ts";
import { createRandom, type Random } from "../runtime/random.ts";
import { createSilentLog } from "../telemetry/log.ts";
import {
  createSuspectTracker,
  type SuspectTracker,
} from "./suspect_tracker.ts";

const VMS = 9;
const SERVERS = 12;
const SLOTS = 3;
const RUN_MS = 240;
const POISON_RUN_MS = 80;
const RESTART_MS = 3_000;
const PROPAGATION_MS = 25;
/** A VM checks whether the server crashed before it retries. */
const CRASH_CHECK_MS = 3;
const REQUESTS_PER_S = 140;
const POISON_PER_S = 3;
const MAX_ATTEMPTS = 2;
/** A client repeats a failed request once. */
const CLIENT_ATTEMPTS = 2;
const SIMULATION_MS = 60_000;
/**
 * Distinct harmless requests; some repeat within a second, others never do.
 */
const HARMLESS_KEYS = 4_000;
const POISON = "deadly";

interface TestServer {
  startCount: number;
  isUp: boolean;
  running: Set<() => void>;
}

interface Scenario {
  seed: number;
  maxServerCrashes: number;
  hasPoison: boolean;
  /** Number of servers that crash by themselves every 5 s. */
  crashingServers: number;
  /** Time over which these crashes are spread. */
  spreadMs: number;
}

function startVms(
  clock: FakeClock,
  maxServerCrashes: number,
): SuspectTracker[] {
  const stores = Array.from({ length: VMS }, () => createFactStore(clock));
  return stores.map((store, index) => {
    const tracker = createSuspectTracker({
      clock,
      log: createSilentLog(),
      ownId: `vm-${index}`,
      quarantineSettings: { maxServerCrashes },
      publish(updates: FactUpdate[]) {
        const applied = store.apply(updates);
        clock.after(
          PROPAGATION_MS,
          () => stores.forEach((other) => other.apply(applied)),
        );
      },
      forget: (updates) => void store.apply(updates),
    });
    store.subscribe(tracker.apply);
    return tracker;
  });
}

/**
 * @returns How many harmless requests were refused, whether the poison request
 *   was, and how often the poison request ran.
 */
function simulate(
  { seed, maxServerCrashes, hasPoison, crashingServers, spreadMs }: Scenario,
) {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const vms = startVms(clock, maxServerCrashes);
  const servers: TestServer[] = Array.from(
    { length: SERVERS },
    () => ({ startCount: 0, isUp: true, running: new Set() }),
  );
  const ranked = servers.map((_, index) => ({ id: `${index}`, weight: 1 }));
  const refusals = new Map<string, number>();
  let poisonRuns = 0;

  function crashServer(server: TestServer): void {
    server.isUp = false;
    const running = [...server.running];
    server.running.clear();
    running.forEach((failRequest) => failRequest());
    clock.after(RESTART_MS, () => {
      server.isUp = true;
      server.startCount++;
    });
  }

  function attempt(
    key: string,
    vm: SuspectTracker,
    triedServers: Set<string>,
    fail: () => void,
  ): void {
    if (vm.assess(key).kind === "set_aside") {
      refusals.set(key, (refusals.get(key) ?? 0) + 1);
      return fail();
    }
    const choice = rankByRendezvous(key, ranked).find(({ id }) =>
      !triedServers.has(id) && servers[Number(id)].isUp
    );
    if (choice === undefined || triedServers.size >= MAX_ATTEMPTS) {
      return fail();
    }
    triedServers.add(choice.id);
    const server = servers[Number(choice.id)];
    const startId = `${choice.id} ${server.startCount}`;
    const failRequest = () => {
      timer.cancel();
      clock.after(CRASH_CHECK_MS, () => {
        vm.recordCrash(key, startId);
        attempt(key, vm, triedServers, fail);
      });
    };
    server.running.add(failRequest);
    const slowdown = Math.max(1, server.running.size / SLOTS);
    const isPoison = key === POISON;
    if (isPoison) poisonRuns++;
    const runMs = (isPoison ? POISON_RUN_MS : RUN_MS) * slowdown;
    const timer = clock.after(runMs, () => {
      if (isPoison) return crashServer(server);
      server.running.delete(failRequest);
      vm.recordAnswer(key);
    });
  }

  function call(key: string, attemptsLeft: number): void {
    if (attemptsLeft === 0) return;
    const vm = vms[Math.floor(random() * VMS)];
    attempt(key, vm, new Set(), () => call(key, attemptsLeft - 1));
  }

  clock.every(1_000 / REQUESTS_PER_S, () => {
    call(drawHarmless(random), CLIENT_ATTEMPTS);
  });
  if (hasPoison) {
    clock.every(1_000 / POISON_PER_S, () => call(POISON, CLIENT_ATTEMPTS));
  }
  if (crashingServers > 0) {
    clock.every(5_000, () => {
      servers.slice(0, crashingServers).forEach((server) =>
        clock.after(random() * spreadMs, () => crashServer(server))
      );
    });
  }
  clock.advance(SIMULATION_MS);
  const isPoisonSetAside = refusals.delete(POISON);
  const harmless = [...refusals.values()].reduce((sum, n) => sum + n, 0);
  return { harmless, isPoisonSetAside, poisonRuns };
}

/** Half of the requests are for the most popular fiftieth of the keys. */
function drawHarmless(random: Random): string {
  const isPopular = random() < 0.5;
  const keys = isPopular ? HARMLESS_KEYS / 50 : HARMLESS_KEYS;
  return `${Math.floor(hashToUnit(`${random()}`) * keys)}`;
}

for (const seed of [1, 2, 3]) {
  test(`a poison request is set aside, requests beside it never are, seed ${seed}`, () => {
    const scenario = {
      seed,
      maxServerCrashes: 3,
      hasPoison: true,
      crashingServers: 0,
      spreadMs: 0,
    };
    const { harmless, isPoisonSetAside, poisonRuns } = simulate(scenario);
    assert.ok(isPoisonSetAside);
    assert.is(harmless, 0);
    assert.ok(poisonRuns <= 6, `${poisonRuns} runs`);
  });

  test(`servers that crash together set no request aside, seed ${seed}`, () => {
    const scenario = {
      seed,
      maxServerCrashes: 3,
      hasPoison: false,
      crashingServers: 4,
      spreadMs: 0,
    };
    assert.is(simulate(scenario).harmless, 0);
  });
}

test.run();
