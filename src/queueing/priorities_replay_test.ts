import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  createFleet,
  type Load,
  type Outcome,
  UPLOADS,
  URGENT_READS,
} from "./fixture.ts";

const FLEET = { vms: 65, servers: 31, slots: 3 };
/** Urgent reads and uploads that burst to 2.6 times on shared servers. */
const BURST: Load[] = [
  { route: URGENT_READS, workMs: 217, getRatePerS: () => 150 },
  {
    route: UPLOADS,
    workMs: 644,
    getRatePerS: (atMs) => atMs < 4_000 ? 71 : 71 * 2.6,
  },
];

function getUnansweredShare({ unanswered, requests }: Outcome): number {
  return unanswered / requests;
}

// Guards against uploads that fill the servers' queues, so that urgent reads
// are late.
test("urgent reads keep their value while uploads burst", async () => {
  const fleet = createFleet({ ...FLEET, competingPriorities: [0, 2] });
  const [reads, uploads] = await fleet.run(BURST, 12_000);
  const shown = JSON.stringify({ reads, uploads });
  assert.ok(reads.valueShare > 0.8, shown);
  assert.ok(reads.valueShare > uploads.valueShare - 0.15, shown);
  assert.ok(
    getUnansweredShare(reads) < getUnansweredShare(uploads) + 0.05,
    shown,
  );
});

// Guards against a change for deployments whose services have one priority.
test("where all requests have one priority, choices are as without limits", async () => {
  const loads = BURST.map((load) => ({
    ...load,
    route: { ...load.route, priority: 1 },
  }));
  const outcomes = [];
  for (const competingPriorities of [[], [1]]) {
    const fleet = createFleet({ ...FLEET, competingPriorities });
    outcomes.push(await fleet.run(loads, 6_000));
  }
  assert.equal(outcomes[0], outcomes[1]);
});

test.run();
