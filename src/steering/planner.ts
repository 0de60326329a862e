/**
 * Keeps the lease and writes plans: one transaction a second that renews the
 * lease and holds every new plan.
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
  noteLeaseRow,
} from "./lease.ts";
import { readPlan } from "./plan_rows.ts";
import { getPlanKey, type Plan } from "./types.ts";

const log = createLogger("steering");

const TICK_MS = 500;
/** Time in which a new steer learns who is alive before it judges anybody. */
const LEARN_MS = 4_000;
/** Time between two snapshots of the rows. */
const SNAPSHOT_PERIOD_MS = 10_000;

/** What the planner needs. */
export interface PlannerOptions {
  agent: ControlAgent;
  platform: Platform;
  clock: Clock;
  metrics: Metrics;
}

/** A running planner. */
export interface Planner {
  dump(): unknown;
  close(): void;
}

/**
 * Starts a candidate for the lease.
 *
 * @param options See there.
 * @returns The running planner.
 */
export function startPlanner(options: PlannerOptions): Planner {
  const { agent, platform, clock, metrics } = options;
  const startedMs = clock.monotonicMs();
  const writes = new PQueue({ concurrency: 1 });
  const { id, incarnation } = agent.self;
  const lease = createLeaseState(id, incarnation, startedMs);
  let snapshotMs = startedMs;
  let plansWritten = 0;

  agent.onRows((rows) => {
    for (const row of rows) {
      if (row.key === LEASE_KEY) noteLeaseRow(lease, row, clock.monotonicMs());
    }
  });

  function tick(): void {
    if (writes.size + writes.pending > 0) return;
    if (clock.monotonicMs() - startedMs < LEARN_MS || agent.replaced()) return;
    void writes.add(act);
  }

  async function act(): Promise<void> {
    const nowMs = clock.monotonicMs();
    const decision = decideLease(lease, getRank(), nowMs);
    if (decision.action === "wait") return;
    const plans = isHolder(lease) ? makePlans(decision.lease.epoch) : [];
    await write(decision.lease, decision.ifVersion, plans);
    if (isHolder(lease)) await keepSnapshot();
  }

  function getRank(): number {
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
      const known = estimate({
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
        defaults: makeDefaultWeights(document, {
          fleet,
          regionOf: config.regionOf,
          wallMs: clock.now().getTime(),
        }),
        current: readPlan(agent.row(getPlanKey(document.service))),
        estimate: known,
        regionOf: config.regionOf,
        blockCount: countBlocks(fleet.clientBlocks),
        epoch,
        wallMs: clock.now().getTime(),
      });
      return plan ? [plan] : [];
    });
  }

  async function write(
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
      log.info("Another steer wrote first", { step: "planner.write" });
      return;
    }
    const { version } = commit.value;
    noteWritten([leasePut, ...planPuts], { writeId, version });
    plansWritten += plans.length;
    for (const plan of plans) {
      metrics.gauge("plan.number", plan.number, { service: plan.service });
    }
  }

  function noteWritten(
    puts: RowPut[],
    written: { writeId: string; version: number },
  ): void {
    const throughVersion = agent.throughVersion();
    agent.applyCommittedWrite({
      afterVersion: throughVersion,
      throughVersion,
      rows: puts.map((put) => ({ ...put, ...written })),
    });
  }

  async function keepSnapshot(): Promise<void> {
    if (clock.monotonicMs() - snapshotMs < SNAPSHOT_PERIOD_MS) return;
    snapshotMs = clock.monotonicMs();
    const text = JSON.stringify(agent.allRows());
    const put = await platform.objects.put(SNAPSHOT_NAME, text);
    if (put.isErr()) log.info(describeError(put.error), { step: "snapshot" });
  }

  const timer = clock.every(TICK_MS, tick);
  return {
    dump: () => ({
      holding: isHolder(lease),
      lease: lease.lease,
      plansWritten,
    }),
    close() {
      timer.cancel();
      writes.clear();
    },
  };
}
