/**
 * What runs on a server beside a deadly request ends with it as well, and looks
 * like it. Here nine VMs send 140 requests a second to twelve servers, among
 * them a deadly one three times a second, or servers end by themselves, four at
 * once. Of harmless requests none may be set aside, and the deadly one must be.
 */
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFactStore } from "../news/fact_store.ts";
import type { FactUpdate } from "../news/types.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { hashToUnit, rankByRendezvous } from "../runtime/hash.ts";
import { createRandom, type Random } from "../runtime/random.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createSuspects, type Suspects } from "./suspects.ts";

const VMS = 9;
const SERVERS = 12;
const SLOTS = 3;
const RUN_MS = 240;
const DEADLY_RUN_MS = 80;
const RESTART_MS = 3_000;
const NEWS_MS = 25;
/** A VM looks whether the server ended before it sends again. */
const CHECK_MS = 3;
const REQUESTS_PER_S = 140;
const DEADLY_PER_S = 3;
const MAX_ATTEMPTS = 2;
/** A client asks again once after a failure. */
const CLIENT_TRIES = 2;
const DAY_MS = 60_000;
/** Harmless requests of which some come again within a second, others never. */
const HARMLESS = 4_000;
const DEADLY = "deadly";

interface TestServer {
  start: number;
  isUp: boolean;
  running: Set<() => void>;
}

interface Day {
  seed: number;
  maxServerEnds: number;
  hasDeadly: boolean;
  /** Servers that end by themselves, every 5 s. */
  herd: number;
  /** Time within which they do. */
  spreadMs: number;
}

function startVms(clock: FakeClock, maxServerEnds: number): Suspects[] {
  const boards = Array.from({ length: VMS }, () => createFactStore(clock));
  return boards.map((board, index) => {
    const suspects = createSuspects({
      clock,
      log: createSilentLog(),
      ownId: `vm-${index}`,
      terms: { maxServerEnds },
      publish(items: FactUpdate[]) {
        const news = board.apply(items);
        clock.after(
          NEWS_MS,
          () => boards.forEach((other) => other.apply(news)),
        );
      },
      forget: (items) => void board.apply(items),
    });
    board.subscribe(suspects.apply);
    return suspects;
  });
}

/** @returns How often harmless requests were turned away, and what was run. */
function play({ seed, maxServerEnds, hasDeadly, herd, spreadMs }: Day) {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const vms = startVms(clock, maxServerEnds);
  const servers: TestServer[] = Array.from(
    { length: SERVERS },
    () => ({ start: 0, isUp: true, running: new Set() }),
  );
  const ranked = servers.map((_, index) => ({ id: `${index}`, weight: 1 }));
  const turnedAway = new Map<string, number>();
  let deadlyRuns = 0;

  function endServer(server: TestServer): void {
    server.isUp = false;
    const cut = [...server.running];
    server.running.clear();
    cut.forEach((loseRequest) => loseRequest());
    clock.after(RESTART_MS, () => {
      server.isUp = true;
      server.start++;
    });
  }

  function attempt(
    key: string,
    vm: Suspects,
    tried: Set<string>,
    fail: () => void,
  ): void {
    if (vm.judge(key).kind === "set_aside") {
      turnedAway.set(key, (turnedAway.get(key) ?? 0) + 1);
      return fail();
    }
    const choice = rankByRendezvous(key, ranked).find(({ id }) =>
      !tried.has(id) && servers[Number(id)].isUp
    );
    if (choice === undefined || tried.size >= MAX_ATTEMPTS) return fail();
    tried.add(choice.id);
    const server = servers[Number(choice.id)];
    const startId = `${choice.id} ${server.start}`;
    const loseRequest = () => {
      timer.cancel();
      clock.after(CHECK_MS, () => {
        vm.noteEnd(key, startId);
        attempt(key, vm, tried, fail);
      });
    };
    server.running.add(loseRequest);
    const waits = Math.max(1, server.running.size / SLOTS);
    const isDeadly = key === DEADLY;
    if (isDeadly) deadlyRuns++;
    const runMs = (isDeadly ? DEADLY_RUN_MS : RUN_MS) * waits;
    const timer = clock.after(runMs, () => {
      if (isDeadly) return endServer(server);
      server.running.delete(loseRequest);
      vm.noteAnswer(key);
    });
  }

  function call(key: string, triesLeft: number): void {
    if (triesLeft === 0) return;
    const vm = vms[Math.floor(random() * VMS)];
    attempt(key, vm, new Set(), () => call(key, triesLeft - 1));
  }

  clock.every(1_000 / REQUESTS_PER_S, () => {
    call(drawHarmless(random), CLIENT_TRIES);
  });
  if (hasDeadly) {
    clock.every(1_000 / DEADLY_PER_S, () => call(DEADLY, CLIENT_TRIES));
  }
  if (herd > 0) {
    clock.every(5_000, () => {
      servers.slice(0, herd).forEach((server) =>
        clock.after(random() * spreadMs, () => endServer(server))
      );
    });
  }
  clock.advance(DAY_MS);
  const isDeadlySetAside = turnedAway.delete(DEADLY);
  const harmless = [...turnedAway.values()].reduce((sum, n) => sum + n, 0);
  return { harmless, isDeadlySetAside, deadlyRuns };
}

/** Few are popular: half of the requests are for a fiftieth of the keys. */
function drawHarmless(random: Random): string {
  const isPopular = random() < 0.5;
  const keys = isPopular ? HARMLESS / 50 : HARMLESS;
  return `${Math.floor(hashToUnit(`${random()}`) * keys)}`;
}

for (const seed of [1, 2, 3]) {
  test(`a deadly request is set aside, what ran beside it never, seed ${seed}`, () => {
    const day = {
      seed,
      maxServerEnds: 3,
      hasDeadly: true,
      herd: 0,
      spreadMs: 0,
    };
    const { harmless, isDeadlySetAside, deadlyRuns } = play(day);
    assert.ok(isDeadlySetAside);
    assert.is(harmless, 0);
    assert.ok(deadlyRuns <= 6, `${deadlyRuns} runs`);
  });

  test(`servers that end together set nothing aside, seed ${seed}`, () => {
    const day = {
      seed,
      maxServerEnds: 3,
      hasDeadly: false,
      herd: 4,
      spreadMs: 0,
    };
    assert.is(play(day).harmless, 0);
  });
}

test.run();
