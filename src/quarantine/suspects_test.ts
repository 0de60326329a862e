import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFactStore } from "../news/fact_store.ts";
import type { FactUpdate } from "../news/types.ts";
import { createFakeClock, type FakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { toAnswerNews, toEndNews } from "./suspect_facts.ts";
import { createSuspects, type Suspects } from "./suspects.ts";

const SEED = 20261203;
const HOLD_MS = 600_000;
const MINUTE_MS = 60_000;

interface TestVm {
  suspects: Suspects;
  board: ReturnType<typeof createFactStore>;
  told: FactUpdate[];
}

/** VMs whose facts reach the others when they are told to. */
function startFleet(clock: FakeClock, size: number, maxServerEnds = 3) {
  const vms: TestVm[] = Array.from({ length: size }, (_, index) => {
    const board = createFactStore(clock);
    const told: FactUpdate[] = [];
    const suspects = createSuspects({
      clock,
      log: createSilentLog(),
      ownId: `vm-${index}`,
      terms: { maxServerEnds },
      publish: (items) => void told.push(...board.apply(items)),
      forget: (items) => void board.apply(items),
    });
    board.subscribe(suspects.apply);
    return { suspects, board, told };
  });
  return {
    vms,
    /** Passes all facts on, until there are no new ones. */
    spread() {
      while (vms.some(({ told }) => told.length > 0)) {
        const items = vms.flatMap(({ told }) => told.splice(0));
        for (const { board } of vms) board.apply(items);
      }
    },
    judgeAll: () => vms.map(({ suspects }) => suspects.judge("r").kind),
  };
}

test("three ends at three VMs set a request aside at all of them", () => {
  const { vms, spread, judgeAll } = startFleet(createFakeClock(), 5);
  vms.slice(0, 3).forEach(({ suspects }, index) => {
    suspects.noteEnd("r", `server-${index}`);
  });
  assert.not(judgeAll().includes("set_aside"));
  spread();
  assert.equal(judgeAll(), Array(5).fill("set_aside"));
  assert.is(vms[4].suspects.judge("another").kind, "clear");
});

test("copies on one server ended it once", () => {
  const { vms, spread, judgeAll } = startFleet(createFakeClock(), 3);
  for (const { suspects } of vms) {
    suspects.noteEnd("r", "server-1");
    suspects.noteEnd("r", "server-2");
  }
  spread();
  assert.equal(judgeAll(), Array(3).fill("suspect"));
});

test("an answer clears a request; ends of before it that are told late don't count", () => {
  const { vms, spread, judgeAll } = startFleet(createFakeClock(), 3);
  const [first, second, third] = vms;
  first.suspects.noteEnd("r", "server-1");
  second.suspects.noteEnd("r", "server-2");
  const late = second.told.splice(0);
  spread();
  third.suspects.noteAnswer("r");
  spread();
  assert.equal(judgeAll(), Array(3).fill("clear"));
  second.told.push(...late);
  spread();
  assert.equal(judgeAll(), Array(3).fill("clear"));
  const digests = vms.map(({ board }) => board.getDigest("suspects"));
  assert.equal(digests[1], digests[0]);
  assert.equal(digests[2], digests[0]);
});

test("a popular request that lost three servers at once is not set aside", () => {
  const clock = createFakeClock();
  const { vms, spread, judgeAll } = startFleet(clock, 9);
  vms[8].suspects.noteAnswer("r");
  clock.advance(5_000);
  vms.slice(0, 4).forEach(({ suspects }, index) => {
    suspects.noteEnd("r", `server-${index}`);
  });
  spread();
  assert.equal(judgeAll(), Array(9).fill("clear"));
});

test("an answer of before speaks once for a request that became deadly", () => {
  const { vms, spread, judgeAll } = startFleet(createFakeClock(), 9);
  for (const { suspects } of vms) suspects.noteAnswer("r");
  let ends = 0;
  while (!judgeAll().includes("set_aside")) {
    vms[ends % 9].suspects.noteEnd("r", `server-${ends}`);
    spread();
    ends++;
  }
  assert.is(ends, 4);
});

test("one VM tries a request again after a pause that doubles", () => {
  const clock = createFakeClock();
  const { vms, spread, judgeAll } = startFleet(clock, 9);
  for (let server = 0; server < 3; server++) {
    vms[server].suspects.noteEnd("r", `server-${server}`);
  }
  spread();
  const waits: number[] = [];
  for (let server = 3; server < 5; server++) {
    let waitedMs = 0;
    while (!judgeAll().includes("suspect")) {
      clock.advance(100);
      waitedMs += 100;
    }
    waits.push(waitedMs);
    const tryers = vms.filter(({ suspects }) =>
      suspects.judge("r").kind === "suspect"
    );
    assert.is(tryers.length, 1);
    tryers[0].suspects.noteTried("r");
    assert.not(judgeAll().includes("suspect"));
    tryers[0].suspects.noteEnd("r", `server-${server}`);
    spread();
  }
  assert.ok(waits[0] >= MINUTE_MS && waits[0] < 2 * MINUTE_MS, `${waits}`);
  assert.ok(waits[1] >= 2 * MINUTE_MS && waits[1] < 4 * MINUTE_MS, `${waits}`);
});

test("a request that is answered when it is tried again is served by all", () => {
  const clock = createFakeClock();
  const { vms, spread, judgeAll } = startFleet(clock, 3);
  for (let server = 0; server < 3; server++) {
    vms[0].suspects.noteEnd("r", `server-${server}`);
  }
  spread();
  clock.advance(2 * MINUTE_MS);
  vms[1].suspects.noteTried("r");
  vms[1].suspects.noteAnswer("r");
  spread();
  assert.equal(judgeAll(), Array(3).fill("clear"));
});

test("running copies are taken back once a request is set aside", () => {
  const { vms, spread } = startFleet(createFakeClock(), 2);
  const stopped: string[] = [];
  vms[1].suspects.watch("r", () => void stopped.push("r"));
  vms[1].suspects.watch("another", () => void stopped.push("another"));
  vms[1].suspects.watch("r", () => void stopped.push("ended"))();
  for (let server = 0; server < 3; server++) {
    assert.equal(stopped, []);
    vms[0].suspects.noteEnd("r", `server-${server}`);
    spread();
  }
  assert.equal(stopped, ["r"]);
});

test("what is long past is forgotten, also on the boards", () => {
  const clock = createFakeClock();
  const { vms, spread, judgeAll } = startFleet(clock, 3);
  for (let server = 0; server < 4; server++) {
    vms[0].suspects.noteEnd("r", `server-${server}`);
    if (server === 0) vms[0].suspects.noteAnswer("r");
  }
  spread();
  clock.advance(HOLD_MS + 10_000);
  assert.equal(judgeAll(), Array(3).fill("clear"));
  for (const { board, suspects } of vms) {
    assert.equal(board.getDigest("suspects"), { facts: 0, versionSum: 0 });
    assert.equal(suspects.list(), []);
    suspects.stop();
  }
});

test("of ten thousand suspects the latest stay, the same everywhere", () => {
  const clock = createFakeClock();
  const { vms, spread } = startFleet(clock, 2);
  const [first, second] = vms;
  for (let count = 0; count < 10_000; count++) {
    if ([9_200, 9_500, 9_800].includes(count)) {
      first.suspects.noteEnd("r", `server-${count}`);
    }
    first.suspects.noteEnd(`request-${count}`, "server-9");
    clock.advance(1);
  }
  const items = first.told.splice(0).reverse();
  second.board.apply(items);
  spread();
  for (const { suspects, board } of vms) {
    assert.is(suspects.list().length, 1_000);
    assert.is(suspects.judge("r").kind, "set_aside");
    assert.is(board.getDigest("suspects").facts, 1_002);
  }
  assert.equal(
    second.board.getDigest("suspects"),
    first.board.getDigest("suspects"),
  );
});

test("facts mean the same in whatever order they come, and twice", () => {
  const step = fc.record({
    isAnswer: fc.boolean(),
    round: fc.nat(3),
    server: fc.nat(4),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), fc.nat(), (steps, turn) => {
      const items = steps.map(({ isAnswer, round, server }) =>
        isAnswer ? toAnswerNews("r", round + 1) : toEndNews({
          request: "r",
          round,
          server: `server-${server}`,
          vm: "vm-0",
          seenAtMs: 0,
        })
      );
      const { vms } = startFleet(createFakeClock(), 2);
      vms[0].board.apply(items);
      const cut = items.length === 0 ? 0 : turn % items.length;
      const turned = [...items.slice(cut), ...items.slice(0, cut)].reverse();
      vms[1].board.apply([...turned, ...turned]);
      const listEnds = ({ suspects }: TestVm) =>
        suspects.list().flatMap(({ judgement }) =>
          judgement.kind === "clear"
            ? []
            : judgement.ends.map(({ server }) => server).sort()
        );
      assert.equal(listEnds(vms[1]), listEnds(vms[0]));
      assert.equal(
        vms[1].board.getDigest("suspects"),
        vms[0].board.getDigest("suspects"),
      );
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test("switched off, nothing is told and nothing set aside", () => {
  const { vms, judgeAll } = startFleet(createFakeClock(), 1, 0);
  for (let server = 0; server < 9; server++) {
    vms[0].suspects.noteEnd("r", `server-${server}`);
  }
  assert.equal(judgeAll(), ["clear"]);
  assert.equal(vms[0].told, []);
});

test.run();
