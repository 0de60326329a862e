import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFactStore } from "../news/fact_store.ts";
import type { FactUpdate } from "../news/types.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { makeAnswerUpdate, makeCrashUpdate } from "./suspect_facts.ts";
import {
  createSuspectTracker,
  type SuspectTracker,
} from "./suspect_tracker.ts";

const SEED = 20261203;
const CRASH_LIFETIME_MS = 600_000;
const MINUTE_MS = 60_000;

interface TestVm {
  tracker: SuspectTracker;
  store: ReturnType<typeof createFactStore>;
  unsent: FactUpdate[];
}

/** Starts VMs whose facts reach the others only by `propagate`. */
function startFleet(clock: FakeClock, size: number, maxServerCrashes = 3) {
  const vms: TestVm[] = Array.from({ length: size }, (_, index) => {
    const store = createFactStore(clock);
    const unsent: FactUpdate[] = [];
    const tracker = createSuspectTracker({
      clock,
      log: createSilentLog(),
      ownId: `vm-${index}`,
      quarantineSettings: { maxServerCrashes },
      publish: (updates) => void unsent.push(...store.apply(updates)),
      forget: (updates) => void store.apply(updates),
    });
    store.subscribe(tracker.apply);
    return { tracker, store, unsent };
  });
  return {
    vms,
    /** Delivers all facts to all VMs, until there are no new ones. */
    propagate() {
      while (vms.some(({ unsent }) => unsent.length > 0)) {
        const updates = vms.flatMap(({ unsent }) => unsent.splice(0));
        for (const { store } of vms) store.apply(updates);
      }
    },
    assessAll: () => vms.map(({ tracker }) => tracker.assess("r").kind),
  };
}

test("three crashes seen by three VMs set a request aside on all VMs", () => {
  const { vms, propagate, assessAll } = startFleet(createFakeClock(), 5);
  vms.slice(0, 3).forEach(({ tracker }, index) => {
    tracker.recordCrash("r", `server-${index}`);
  });
  assert.not(assessAll().includes("set_aside"));
  propagate();
  assert.equal(assessAll(), Array(5).fill("set_aside"));
  assert.is(vms[4].tracker.assess("another").kind, "clear");
});

test("copies of a request on one server count as one crash", () => {
  const { vms, propagate, assessAll } = startFleet(createFakeClock(), 3);
  for (const { tracker } of vms) {
    tracker.recordCrash("r", "server-1");
    tracker.recordCrash("r", "server-2");
  }
  propagate();
  assert.equal(assessAll(), Array(3).fill("suspect"));
});

test("an answer clears a request; earlier crashes that arrive late don't count", () => {
  const { vms, propagate, assessAll } = startFleet(createFakeClock(), 3);
  const [first, second, third] = vms;
  first.tracker.recordCrash("r", "server-1");
  second.tracker.recordCrash("r", "server-2");
  const late = second.unsent.splice(0);
  propagate();
  third.tracker.recordAnswer("r");
  propagate();
  assert.equal(assessAll(), Array(3).fill("clear"));
  second.unsent.push(...late);
  propagate();
  assert.equal(assessAll(), Array(3).fill("clear"));
  const digests = vms.map(({ store }) => store.getDigest("suspects"));
  assert.equal(digests[1], digests[0]);
  assert.equal(digests[2], digests[0]);
});

test("a request answered recently is not set aside as four servers crash", () => {
  const clock = createFakeClock();
  const { vms, propagate, assessAll } = startFleet(clock, 9);
  vms[8].tracker.recordAnswer("r");
  clock.advance(5_000);
  vms.slice(0, 4).forEach(({ tracker }, index) => {
    tracker.recordCrash("r", `server-${index}`);
  });
  propagate();
  assert.equal(assessAll(), Array(9).fill("clear"));
});

test("an earlier answer clears a request that became poisonous only once", () => {
  const { vms, propagate, assessAll } = startFleet(createFakeClock(), 9);
  for (const { tracker } of vms) tracker.recordAnswer("r");
  let crashes = 0;
  while (!assessAll().includes("set_aside")) {
    vms[crashes % 9].tracker.recordCrash("r", `server-${crashes}`);
    propagate();
    crashes++;
  }
  assert.is(crashes, 4);
});

test("one VM at a time probes a request, after a pause that doubles", () => {
  const clock = createFakeClock();
  const { vms, propagate, assessAll } = startFleet(clock, 9);
  for (let server = 0; server < 3; server++) {
    vms[server].tracker.recordCrash("r", `server-${server}`);
  }
  propagate();
  const waitsMs: number[] = [];
  for (let server = 3; server < 5; server++) {
    let waitedMs = 0;
    while (!assessAll().includes("suspect")) {
      clock.advance(100);
      waitedMs += 100;
    }
    waitsMs.push(waitedMs);
    const probers = vms.filter(({ tracker }) =>
      tracker.assess("r").kind === "suspect"
    );
    assert.is(probers.length, 1);
    probers[0].tracker.recordProbe("r");
    assert.not(assessAll().includes("suspect"));
    probers[0].tracker.recordCrash("r", `server-${server}`);
    propagate();
  }
  assert.ok(
    waitsMs[0] >= MINUTE_MS && waitsMs[0] < 2 * MINUTE_MS,
    `${waitsMs}`,
  );
  assert.ok(
    waitsMs[1] >= 2 * MINUTE_MS && waitsMs[1] < 4 * MINUTE_MS,
    `${waitsMs}`,
  );
});

test("a request that is answered when it is probed is served by all VMs", () => {
  const clock = createFakeClock();
  const { vms, propagate, assessAll } = startFleet(clock, 3);
  for (let server = 0; server < 3; server++) {
    vms[0].tracker.recordCrash("r", `server-${server}`);
  }
  propagate();
  clock.advance(2 * MINUTE_MS);
  vms[1].tracker.recordProbe("r");
  vms[1].tracker.recordAnswer("r");
  propagate();
  assert.equal(assessAll(), Array(3).fill("clear"));
});

test("running copies are aborted once a request is set aside", () => {
  const { vms, propagate } = startFleet(createFakeClock(), 2);
  const stopped: string[] = [];
  vms[1].tracker.watch("r", () => void stopped.push("r"));
  vms[1].tracker.watch("another", () => void stopped.push("another"));
  vms[1].tracker.watch("r", () => void stopped.push("ended"))();
  for (let server = 0; server < 3; server++) {
    assert.equal(stopped, []);
    vms[0].tracker.recordCrash("r", `server-${server}`);
    propagate();
  }
  assert.equal(stopped, ["r"]);
});

test("expired crashes are removed, also from the fact stores", () => {
  const clock = createFakeClock();
  const { vms, propagate, assessAll } = startFleet(clock, 3);
  for (let server = 0; server < 4; server++) {
    vms[0].tracker.recordCrash("r", `server-${server}`);
    if (server === 0) vms[0].tracker.recordAnswer("r");
  }
  propagate();
  clock.advance(CRASH_LIFETIME_MS + 10_000);
  assert.equal(assessAll(), Array(3).fill("clear"));
  for (const { store, tracker } of vms) {
    assert.equal(store.getDigest("suspects"), { facts: 0, versionSum: 0 });
    assert.equal(tracker.list(), []);
    tracker.stop();
  }
});

test("of 10,000 suspects all VMs keep the same latest ones", () => {
  const clock = createFakeClock();
  const { vms, propagate } = startFleet(clock, 2);
  const [first, second] = vms;
  for (let count = 0; count < 10_000; count++) {
    if ([9_200, 9_500, 9_800].includes(count)) {
      first.tracker.recordCrash("r", `server-${count}`);
    }
    first.tracker.recordCrash(`request-${count}`, "server-9");
    clock.advance(1);
  }
  const updates = first.unsent.splice(0).reverse();
  second.store.apply(updates);
  propagate();
  for (const { tracker, store } of vms) {
    assert.is(tracker.list().length, 1_000);
    assert.is(tracker.assess("r").kind, "set_aside");
    assert.is(store.getDigest("suspects").facts, 1_002);
  }
  assert.equal(
    second.store.getDigest("suspects"),
    first.store.getDigest("suspects"),
  );
});

test("facts have the same effect in any order and when repeated", () => {
  const step = fc.record({
    isAnswer: fc.boolean(),
    round: fc.nat(3),
    server: fc.nat(4),
  });
  fc.assert(
    fc.property(
      fc.array(step, { maxLength: 12 }),
      fc.nat(),
      (steps, offset) => {
        const updates = steps.map(({ isAnswer, round, server }) =>
          isAnswer ? makeAnswerUpdate("r", round + 1) : makeCrashUpdate({
            request: "r",
            round,
            server: `server-${server}`,
            vm: "vm-0",
            seenAtMs: 0,
          })
        );
        const { vms } = startFleet(createFakeClock(), 2);
        vms[0].store.apply(updates);
        const cut = updates.length === 0 ? 0 : offset % updates.length;
        const reordered = [...updates.slice(cut), ...updates.slice(0, cut)]
          .reverse();
        vms[1].store.apply([...reordered, ...reordered]);
        const listCrashedServers = ({ tracker }: TestVm) =>
          tracker.list().flatMap(({ judgement }) =>
            judgement.kind === "clear"
              ? []
              : judgement.ends.map(({ server }) => server).sort()
          );
        assert.equal(listCrashedServers(vms[1]), listCrashedServers(vms[0]));
        assert.equal(
          vms[1].store.getDigest("suspects"),
          vms[0].store.getDigest("suspects"),
        );
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
});

test("a disabled quarantine publishes nothing and sets nothing aside", () => {
  const { vms, assessAll } = startFleet(createFakeClock(), 1, 0);
  for (let server = 0; server < 9; server++) {
    vms[0].tracker.recordCrash("r", `server-${server}`);
  }
  assert.equal(assessAll(), ["clear"]);
  assert.equal(vms[0].unsent, []);
});

// Guards against crashes that VMs hand back to each other for ever.
test("a VM that starts later keeps a crash no longer than the others", () => {
  const clock = createFakeClock();
  const [first] = startFleet(clock, 1).vms;
  for (const server of ["1", "2", "3"]) first.tracker.recordCrash("r", server);
  clock.advance(CRASH_LIFETIME_MS - MINUTE_MS);
  const [later] = startFleet(clock, 1).vms;
  later.store.apply(first.store.listTopic("suspects"));
  assert.is(later.tracker.assess("r").kind, first.tracker.assess("r").kind);
  clock.advance(2 * MINUTE_MS);
  assert.is(first.store.getDigest("suspects").facts, 0);
  assert.is(later.store.getDigest("suspects").facts, 0);
  clock.advance(3 * MINUTE_MS);
  first.store.apply(later.store.listTopic("suspects"));
  assert.is(first.tracker.assess("r").kind, "clear");
});

test.run();
