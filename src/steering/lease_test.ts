import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { MemoryTable } from "../standin/memory_table.ts";
import {
  createLeaseState,
  decideLease,
  isHolder,
  LEASE_KEY,
  LEASE_TERM_MS,
  type LeaseAction,
  type LeaseState,
  recordLease,
} from "./lease.ts";

const SEED = 20261202;
const PLAN_KEY = "plan/s";

/**
 * A decision and the write of it some steps later, on rows that may have
 * changed.
 */
interface PendingWrite {
  action: Extract<LeaseAction, { action: "write" }>;
  /** Version of the plan's row at the decision. */
  planVersion: number;
  /** Steps until the write. */
  delay: number;
}

interface Candidate {
  state: LeaseState;
  pausedSteps: number;
  pending: PendingWrite | undefined;
}

/**
 * Writes the lease and, as its holder, a plan in one conditional transaction.
 *
 * @returns The epoch of the plan, if one was written.
 */
async function writePending(
  table: MemoryTable,
  candidate: Candidate,
): Promise<number | undefined> {
  const { action, planVersion } = candidate.pending!;
  candidate.pending = undefined;
  const wasHolder = isHolder(candidate.state);
  const { lease, ifVersion } = action;
  const puts = [{ key: LEASE_KEY, value: JSON.stringify(lease) }];
  if (wasHolder) puts.push({ key: PLAN_KEY, value: String(lease.epoch) });
  const commit = (await table.transact({
    writeId: "w",
    conditions: [
      { key: LEASE_KEY, version: ifVersion },
      ...(wasHolder ? [{ key: PLAN_KEY, version: planVersion }] : []),
    ],
    puts,
  }))._unsafeUnwrap();
  return commit.outcome === "committed" && wasHolder ? lease.epoch : undefined;
}

test("plans are written under epochs that never decrease", async () => {
  let steps = 0;
  let plans = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record({
          who: fc.nat(2),
          pause: fc.oneof(
            { weight: 9, arbitrary: fc.constant(0) },
            { weight: 1, arbitrary: fc.nat(30) },
          ),
          delay: fc.oneof(
            { weight: 4, arbitrary: fc.constant(0) },
            { weight: 1, arbitrary: fc.nat(12) },
          ),
          lost: fc.boolean(),
        }),
        { minLength: 100, maxLength: 200 },
      ),
      async (events) => {
        const table = new MemoryTable();
        const candidates = [0, 1, 2].map((index): Candidate => ({
          state: createLeaseState(`steer-${index}`, 1, 0),
          pausedSteps: 0,
          pending: undefined,
        }));
        const epochs: number[] = [];
        let nowMs = 0;
        let leaseEpoch = 0;
        for (const { who, pause, delay, lost } of events) {
          nowMs += 500;
          steps += 1;
          candidates[who].pausedSteps += pause;
          for (const [rank, candidate] of candidates.entries()) {
            if (candidate.pausedSteps > 0) {
              candidate.pausedSteps -= 1;
              continue;
            }
            if (candidate.pending && candidate.pending.delay > 0) {
              candidate.pending.delay -= 1;
              continue;
            }
            if (candidate.pending) {
              const epoch = await writePending(table, candidate);
              if (epoch !== undefined) epochs.push(epoch);
              if (lost) continue;
            }
            const row = (await table.read(LEASE_KEY))._unsafeUnwrap();
            const { epoch = 0 } = row.version > 0 ? JSON.parse(row.value) : {};
            assert.ok(epoch >= leaseEpoch, "the lease's epoch fell");
            leaseEpoch = epoch;
            if (row.version > 0) recordLease(candidate.state, row, nowMs);
            const plan = (await table.read(PLAN_KEY))._unsafeUnwrap();
            const action = decideLease(candidate.state, rank, nowMs);
            if (action.action === "wait") continue;
            candidate.pending = { action, planVersion: plan.version, delay };
          }
        }
        plans += epochs.length;
        for (let index = 1; index < epochs.length; index++) {
          assert.ok(epochs[index] >= epochs[index - 1], "an old epoch wrote");
        }
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
  console.log(`${steps} steps, ${plans} plans written`);
  assert.ok(plans > 100);
});

test("a candidate waits until the whole term has passed without renewal", () => {
  const state = createLeaseState("b", 1, 0);
  const lease = { holder: "a", incarnation: 1, epoch: 4 };
  const value = JSON.stringify(lease);
  recordLease(state, { key: LEASE_KEY, version: 9, writeId: "", value }, 0);
  assert.is(decideLease(state, 0, LEASE_TERM_MS - 1).action, "wait");
  assert.equal(decideLease(state, 0, LEASE_TERM_MS), {
    action: "write",
    lease: { holder: "b", incarnation: 1, epoch: 5 },
    ifVersion: 9,
  });
});

test("a new process of the holder's VM does not consider itself the holder", () => {
  const state = createLeaseState("a", 2, 0);
  const value = JSON.stringify({ holder: "a", incarnation: 1, epoch: 4 });
  recordLease(state, { key: LEASE_KEY, version: 9, writeId: "", value }, 0);
  assert.is(isHolder(state), false);
});

test.run();
