/**
 * Competes for the lease and, as its holder, writes plans: one transaction per
 * second renews the lease and writes all new plans.
 *
 * @module
 */
import PQueue from "p-queue";
import type { ControlAgent } from "../control/types.ts";
import { SNAPSHOT_NAME } from "../control/change_feed.ts";
import { countBlocks } from "../lookup/blocks.ts";
import type { Platform, RowPut } from "../platform/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import { rankByRendezvous } from "../runtime/hash.ts";
import { createId } from "../runtime/ids.ts";
import { createLogger } from "../runtime/logger.ts";
import type { Metrics } from "../runtime/metrics.ts";
import { decidePlan } from "./decide.ts";
import { makeDefaultWeights } from "./defaults.ts";
import { estimate } from "./estimate.ts";
import {
  createLeaseState,
  decideLease,
  isHolder,
  type Lease,
  LEASE_KEY,
  recordLease,
} from "./lease.ts";
import { readPlan } from "./plan_rows.ts";
import { getPlanKey, type Plan } from "./types.ts";

const log = createLogger("steering");

/** Time between two checks of the lease, in ms. */
const TICK_PERIOD_MS = 500;
/** Time in which a new steer discovers live members before it acts, in ms. */
const MEMBER_DISCOVERY_MS = 4_000;
/** Time between two snapshots of the rows, in ms. */
const SNAPSHOT_PERIOD_MS = 10_000;

/** Dependencies of the planner. */
export interface PlannerOptions {
  agent: ControlAgent;
  platform: Platform;
  clock: Clock;
  metrics: Metrics;
}

/** A running planner. */
export interface Planner {
  /** @returns The planner's state, for the state dump. */
  dump(): unknown;
  /** Stops the planner and discards writes that have not begun. */
  close(): void;
}

/**
 * Starts a planner: a candidate for the lease, which plans while it holds it.
 *
 * @param options The planner's dependencies.
 * @returns The running planner.
 */
export function startPlanner(options: PlannerOptions): Planner {
  const { agent, platform, clock, metrics } = options;
  const startedMs = clock.monotonicMs();
  const writeQueue = new PQueue({ concurrency: 1 });
  const { id, incarnation } = agent.self;
  const lease = createLeaseState(id, incarnation, startedMs);
  let lastSnapshotMs = startedMs;
  let plansWritten = 0;

  agent.onRows((rows) => {
    for (const row of rows) {
      if (row.key === LEASE_KEY) recordLease(lease, row, clock.monotonicMs());
    }
  });

  function tick(): void {
    if (writeQueue.size + writeQueue.pending > 0) return;
    if (
      clock.monotonicMs() - startedMs < MEMBER_DISCOVERY_MS || agent.replaced()
    ) return;
    void writeQueue.add(renewLeaseAndPlan);
  }

  async function renewLeaseAndPlan(): Promise<void> {
    const nowMs = clock.monotonicMs();
    const decision = decideLease(lease, getCandidateRank(), nowMs);
    if (decision.action === "wait") return;
    const plans = isHolder(lease) ? makePlans(decision.lease.epoch) : [];
    await commitLeaseAndPlans(decision.lease, decision.ifVersion, plans);
    if (isHolder(lease)) await storeSnapshot();
  }

  /**
   * @returns Rank of this steer among the serving steers; -1 if not among them.
   */
  function getCandidateRank(): number {
    const steers = agent.serving("steer").map((member) => ({
      id: member.id,
      weight: 1,
    }));
    return rankByRendezvous("planner", steers)
      .findIndex((steer) => steer.id === id);
  }

  function makePlans(epoch: number): Plan[] {
    const config = agent.config();
    const fleet = config.fleet?.document;
    if (fleet === undefined) return [];
    const aliveDomains = new Set(
      agent.serving("entry").map((member) => member.failureDomain),
    );
    return [...config.services.values()].flatMap(({ document }) => {
      const currentEstimate = estimate({
        document,
        fleet,
        regionOf: config.regionOf,
        loads: agent.loads(),
        aliveDomains,
        leavingServers: agent.leavingVms(),
        serviceCount: config.services.size,
        nowMs: clock.monotonicMs(),
        wallMs: clock.now().getTime(),
      });
      const plan = decidePlan({
        document,
        defaultWeights: makeDefaultWeights(document, {
          fleet,
          regionOf: config.regionOf,
          wallMs: clock.now().getTime(),
        }),
        current: readPlan(agent.row(getPlanKey(document.service))),
        estimate: currentEstimate,
        regionOf: config.regionOf,
        blockCount: countBlocks(fleet.clientBlocks),
        epoch,
        wallMs: clock.now().getTime(),
      });
      return plan ? [plan] : [];
    });
  }

  /** Writes the lease and plans unless one of their rows has changed. */
  async function commitLeaseAndPlans(
    next: Lease,
    ifVersion: number,
    plans: Plan[],
  ): Promise<void> {
    const leasePut = { key: LEASE_KEY, value: JSON.stringify(next) };
    const planPuts: RowPut[] = plans.map((plan) => ({
      key: getPlanKey(plan.service),
      value: JSON.stringify(plan),
    }));
    const writeId = createId();
    const commit = await platform.table.transact({
      writeId,
      conditions: [
        { key: LEASE_KEY, version: ifVersion },
        ...planPuts.map(({ key }) => ({
          key,
          version: agent.row(key)?.version ?? 0,
        })),
      ],
      puts: [leasePut, ...planPuts],
    });
    if (commit.isErr()) {
      log.warn(describeError(commit.error), { step: "planner.write" });
      return;
    }
    if (commit.value.outcome === "conflict") {
      log.info(
        "Lease and plans not written: another steer changed one of the rows first",
        { step: "planner.write" },
      );
      return;
    }
    const { version } = commit.value;
    applyCommittedRows([leasePut, ...planPuts], { writeId, version });
    plansWritten += plans.length;
    for (const plan of plans) {
      metrics.gauge("plan.number", plan.number, { service: plan.service });
    }
  }

  /**
   * Applies committed rows at once, before they arrive with the table's
   * changes.
   */
  function applyCommittedRows(
    puts: RowPut[],
    committed: { writeId: string; version: number },
  ): void {
    const throughVersion = agent.throughVersion();
    agent.applyCommittedWrite({
      afterVersion: throughVersion,
      throughVersion,
      rows: puts.map((put) => ({ ...put, ...committed })),
    });
  }

  /** Stores all rows as an object, at most once per period. */
  async function storeSnapshot(): Promise<void> {
    if (clock.monotonicMs() - lastSnapshotMs < SNAPSHOT_PERIOD_MS) return;
    lastSnapshotMs = clock.monotonicMs();
    const text = JSON.stringify(agent.allRows());
    const put = await platform.objects.put(SNAPSHOT_NAME, text);
    if (put.isErr()) log.info(describeError(put.error), { step: "snapshot" });
  }

  const timer = clock.every(TICK_PERIOD_MS, tick);
  return {
    dump: () => ({
      holding: isHolder(lease),
      lease: lease.lease,
      plansWritten,
    }),
    close() {
      timer.cancel();
      writeQueue.clear();
    },
  };
}
