import * as assert from "uvu/assert";
import { test } from "uvu";
import type { VmState } from "../members/types.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { watchOverload } from "../runtime/overload.ts";
import { answerDirectory, type VmView } from "./directory.ts";

function makeVms(region: string, ...states: (VmState | undefined)[]): VmView[] {
  return states.map((state, index) => {
    const id = `${region}-${index}`;
    const identity = {
      id,
      incarnation: "1",
      region,
      failureDomain: `${region}-a`,
      frontAddress: id,
      peerAddress: id,
    };
    return { identity, state };
  });
}

function ask(region: string, ...vms: VmView[]): string[] | undefined {
  return answerBound(true, region, vms);
}

function answerBound(
  isBoundToRegions: boolean,
  region: string,
  vms: VmView[],
): string[] | undefined {
  const view = { vms, isBoundToRegions, ttlMs: 1_500 };
  return answerDirectory(view, region)?.addresses;
}

test("a client is told of the serving VMs of its region", () => {
  const oslo = makeVms("oslo", "serving", "starting", "leaving", undefined);
  const bergen = makeVms("bergen", "serving");
  assert.equal(ask("oslo", ...oslo, ...bergen), ["oslo-0"]);
  assert.equal(ask("trondheim", ...oslo, ...bergen), ["bergen-0", "oslo-0"]);
  assert.is(ask("oslo", ...makeVms("oslo", "starting")), undefined);
});

test("a VM that falls behind is left out while half of the others are able", () => {
  const vms = makeVms("oslo", "serving", "overloaded", "serving");
  assert.equal(ask("oslo", ...vms), ["oslo-0", "oslo-2"]);
  const most = makeVms("oslo", "serving", "overloaded", "overloaded");
  assert.is(ask("oslo", ...most)?.length, 3);
  const all = makeVms("oslo", "overloaded", "overloaded");
  assert.is(ask("oslo", ...all)?.length, 2);
});

test("where a region's VMs fall behind, able ones elsewhere help out", () => {
  const oslo = makeVms("oslo", "overloaded", "leaving");
  const bergen = makeVms("bergen", "serving", "overloaded");
  const vms = [...oslo, ...bergen];
  assert.equal(answerBound(false, "oslo", vms), ["bergen-0", "oslo-0"]);
  assert.equal(answerBound(true, "oslo", vms), ["oslo-0"]);
  assert.equal(answerBound(false, "bergen", vms), ["bergen-0"]);
});

test("a loop that is busy again and again is an overload, once is not", () => {
  const clock = createFakeClock();
  let use = 0.3;
  const changes: boolean[] = [];
  const note = (next: boolean) => void changes.push(next);
  const watch = watchOverload(clock, note, () => use);
  const run = (next: number, durationMs: number) => {
    use = next;
    clock.advance(durationMs);
  };
  run(1, 500);
  run(0.3, 250);
  assert.equal(changes, []);
  run(1, 750);
  assert.ok(watch.isOverloaded());
  run(0.5, 1_750);
  run(0.9, 250);
  assert.ok(watch.isOverloaded());
  run(0.5, 2_000);
  assert.equal(changes, [true, false]);
  watch.stop();
});

test.run();
