import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeServerUpdate } from "../gateway/fixture.ts";
import { createFactStore } from "../news/fact_store.ts";
import type { Topic } from "../news/types.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createFactRepair } from "./repair.ts";

const OTHER = { facts: 2, versionSum: 7 };

function startRepair() {
  const clock = createFakeClock();
  const factStore = createFactStore(clock);
  const repair = createFactRepair({
    factStore,
    clock,
    log: createSilentLog(),
  });
  const asked: Topic[] = [];
  const peer = {
    peer: "a",
    requestTopic: (topic: Topic) => void asked.push(topic),
  };
  return { clock, factStore, repair, asked, peer };
}

test("a VM without facts requests them at once, from one VM at a time", () => {
  const { repair, asked, peer } = startRepair();
  assert.ok(repair.compare(peer, "servers", OTHER));
  assert.ok(repair.compare({ ...peer }, "servers", OTHER));
  assert.equal(asked, ["servers"]);
});

test("no facts are requested from a VM that has none", () => {
  const { repair, asked, peer } = startRepair();
  repair.compare(peer, "servers", { facts: 0, versionSum: 3 });
  assert.equal(asked, []);
});

test("facts are requested for a lasting difference, not for a passing one", () => {
  const { clock, factStore, repair, asked, peer } = startRepair();
  factStore.apply([makeServerUpdate(makeServer("1"), 1)]);
  assert.not(repair.compare(peer, "servers", OTHER));
  clock.advance(300);
  assert.not(repair.compare(peer, "servers", OTHER));
  assert.not(repair.compare(peer, "servers", { facts: 1, versionSum: 1 }));
  clock.advance(900);
  assert.equal(asked, []);
  assert.not(repair.compare(peer, "servers", OTHER));
  clock.advance(399);
  assert.equal(asked, []);
  clock.advance(1);
  assert.equal(asked, ["servers"]);
  clock.advance(600);
  assert.ok(repair.compare(peer, "servers", OTHER));
  assert.equal(asked, ["servers", "servers"]);
});

test("a difference is no reason to request facts while changes arrive", () => {
  const { clock, factStore, repair, asked, peer } = startRepair();
  factStore.apply([makeServerUpdate(makeServer("1"), 1)]);
  assert.not(repair.compare(peer, "servers", OTHER));
  clock.advance(200);
  factStore.apply([makeServerUpdate(makeServer("1"), 2)]);
  clock.advance(700);
  assert.equal(asked, []);
  clock.advance(100);
  assert.ok(repair.compare(peer, "servers", OTHER));
  assert.equal(asked, ["servers"]);
});

test("continuous changes are no lasting difference", () => {
  const { clock, factStore, repair, asked, peer } = startRepair();
  for (let version = 1; version < 30; version++) {
    repair.compare(peer, "servers", { facts: 1, versionSum: version });
    factStore.apply([makeServerUpdate(makeServer("1"), version)]);
    clock.advance(330);
    if (version > 1) {
      repair.compare(peer, "servers", { facts: 1, versionSum: version });
    }
  }
  assert.is(asked.length, 1, "only while it had no facts");
});

test("a VM started after a restore requests facts from one that ran before", () => {
  const { factStore, repair, asked, peer } = startRepair();
  factStore.recordEpochs("servers", [{ epoch: 2, copiedThrough: 50 }]);
  factStore.apply([makeServerUpdate(makeServer("1"), 40, 2)]);
  const epochs = [
    { epoch: 1, copiedThrough: 0, isSettled: true },
    { epoch: 2, copiedThrough: 48 },
  ];
  assert.ok(repair.compare(peer, "servers", { ...OTHER, epochs }));
  assert.equal(asked, ["servers"]);
  assert.equal(factStore.listEpochs("servers"), epochs);
});

// Guards against VMs that missed a change and don't read it themselves, since
// another VM announces that it is current.
test("a VM with other facts than a reader does not count as complete", () => {
  const { factStore, repair, peer } = startRepair();
  factStore.apply([makeServerUpdate(makeServer("1"), 1)]);
  const digest = { facts: 1, versionSum: 2 };
  assert.not(repair.recordRead(peer, { topic: "servers", digest }));
  assert.is(factStore.getAgeMs("servers"), Infinity);
  factStore.apply([makeServerUpdate(makeServer("1"), 2)]);
  assert.ok(repair.recordRead(peer, { topic: "servers", digest }));
  assert.is(factStore.getAgeMs("servers"), 0);
});

test.run();
