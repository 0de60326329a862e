import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerNews } from "../gateway/fixture.ts";
import { createFactStore } from "../news/fact_store.ts";
import type { Topic } from "../news/types.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createFactRepair } from "./repair.ts";

const OTHER = { facts: 2, versionSum: 7 };

function startRepair() {
  const clock = createFakeClock();
  const board = createFactStore(clock);
  const repair = createFactRepair({ board, clock, log: createSilentLog() });
  const asked: Topic[] = [];
  const peer = { peer: "a", ask: (topic: Topic) => void asked.push(topic) };
  return { clock, board, repair, asked, peer };
}

test("a VM without facts asks at once, of one VM at a time", () => {
  const { repair, asked, peer } = startRepair();
  assert.ok(repair.compare(peer, "servers", OTHER));
  assert.ok(repair.compare({ ...peer }, "servers", OTHER));
  assert.equal(asked, ["servers"]);
});

test("nobody is asked for facts that it has none of", () => {
  const { repair, asked, peer } = startRepair();
  repair.compare(peer, "servers", { facts: 0, versionSum: 3 });
  assert.equal(asked, []);
});

test("a difference that lasts is asked about, one in passing is not", () => {
  const { clock, board, repair, asked, peer } = startRepair();
  board.apply([makeServerNews(makeServer("1"), 1)]);
  assert.not(repair.compare(peer, "servers", OTHER));
  clock.advance(900);
  assert.not(repair.compare(peer, "servers", OTHER));
  assert.not(repair.compare(peer, "servers", { facts: 1, versionSum: 1 }));
  clock.advance(900);
  assert.not(repair.compare(peer, "servers", OTHER));
  clock.advance(1_000);
  assert.ok(repair.compare(peer, "servers", OTHER));
  assert.equal(asked, ["servers"]);
});

test("changes that keep coming are no lasting difference", () => {
  const { clock, board, repair, asked, peer } = startRepair();
  for (let version = 1; version < 30; version++) {
    repair.compare(peer, "servers", { facts: 1, versionSum: version });
    board.apply([makeServerNews(makeServer("1"), version)]);
    clock.advance(330);
    if (version > 1) {
      repair.compare(peer, "servers", { facts: 1, versionSum: version });
    }
  }
  assert.is(asked.length, 1, "only while it had no facts");
});

test("a VM that began after a restore asks one that has lived through it", () => {
  const { board, repair, asked, peer } = startRepair();
  board.recordEpochs("servers", [{ epoch: 2, copiedThrough: 50 }]);
  board.apply([makeServerNews(makeServer("1"), 40, 2)]);
  const epochs = [
    { epoch: 1, copiedThrough: 0, isSettled: true },
    { epoch: 2, copiedThrough: 48 },
  ];
  assert.ok(repair.compare(peer, "servers", { ...OTHER, epochs }));
  assert.equal(asked, ["servers"]);
  assert.equal(board.listEpochs("servers"), epochs);
});

test.run();
