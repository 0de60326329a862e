import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRanking } from "./ranking.ts";
import { makeVersion } from "../news/version.ts";

/** Servers with numbered ids, some with twice the slots. */
function startRanking(count: number, slotsOf: (index: number) => number) {
  const registry = makeRegistry(createFakeClock());
  for (let index = 0; index < count; index++) {
    const server = makeServer(`i-${index}`, { slots: slotsOf(index) });
    registry.apply(makeServerUpdate(server, index + 1));
  }
  const ranking = createRanking(registry);
  const listFirst = (objects: number) =>
    Array.from(
      { length: objects },
      (_, object) => ranking.rank("s", "oslo", `${object}`)[0].listed.id,
    );
  return { registry, listFirst };
}

function countBy(ids: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const id of ids) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

test("servers get objects in proportion to their slots, within five deviations", () => {
  const { listFirst } = startRanking(40, (index) => index < 20 ? 4 : 8);
  const counts = countBy(listFirst(60_000));
  for (const [id, count] of counts) {
    const expected = Number(id.slice(2)) < 20 ? 1_000 : 2_000;
    assert.ok(Math.abs(count - expected) < 5 * Math.sqrt(expected), id);
  }
  assert.is(counts.size, 40);
});

test("removing a server moves only its own objects, to all others", () => {
  const { registry, listFirst } = startRanking(20, () => 4);
  const before = listFirst(4_000);
  registry.apply({
    topic: "servers",
    key: "server/i-7",
    version: makeVersion(100),
  });
  const after = listFirst(4_000);
  const moved = after.filter((id, object) => id !== before[object]);
  assert.is(moved.length, before.filter((id) => id === "i-7").length);
  assert.is(countBy(moved).size, 19);
});

test.run();
