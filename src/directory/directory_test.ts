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
  return answerDirectory({ vms, ttlMs: 1_500 }, region)?.addresses;
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

test("a loop that runs late again and again is an overload, once is not", () => {
  const clock = createFakeClock();
  let delayMs = 0;
  const late = {
    ...clock,
    after: (periodMs: number, run: () => void) =>
      clock.after(periodMs + delayMs, run),
  };
  const changes: boolean[] = [];
  const watch = watchOverload(late, (next) => void changes.push(next));
  clock.advance(1_000);
  delayMs = 400;
  clock.advance(400);
  delayMs = 0;
  clock.advance(1_000);
  assert.equal(changes, []);
  delayMs = 150;
  clock.advance(600);
  assert.ok(watch.isOverloaded());
  delayMs = 0;
  clock.advance(2_500);
  assert.ok(watch.isOverloaded());
  clock.advance(1_000);
  assert.not(watch.isOverloaded());
  assert.equal(changes, [true, false]);
  watch.stop();
});

test.run();
