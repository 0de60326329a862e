/**
 * The weights in force in a process, with one follower per service.
 *
 * @module
 */
import type { ServiceDocument } from "../config/schema.ts";
import type { ControlAgent } from "../control/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { getShiftCap } from "./decide.ts";
import { makeDefaultWeights } from "./defaults.ts";
import { getDelayMs } from "./estimate.ts";
import {
  createFollower,
  type FollowerState,
  followPlan,
  moveWithinLocalCap,
} from "./follower.ts";
import { LEASE_KEY } from "./lease.ts";
import { makeLocalTarget } from "./local_target.ts";
import { readPlan } from "./plan_rows.ts";
import { getPlanKey, type WeightRow } from "./types.ts";

/** Time between two updates of the followers, in ms. */
const TICK_PERIOD_MS = 250;
/**
 * Time without a renewal of the lease after which the planner counts as lost,
 * in ms.
 */
const PLANNER_TIMEOUT_MS = 6_000;

/** The weights in force. */
export interface Steering {
  /** @returns Weights for a region's callers; empty for an unknown service. */
  getWeightRow(service: string, callerRegion: string): WeightRow;
  /** @returns Number of the plan in force; 0 before any. */
  planNumber(service: string): number;
  /** @returns The followers' state by service, for the state dump. */
  dump(): unknown;
  /** Stops following plans. */
  close(): void;
}

/** Dependencies of steering. */
export interface SteeringOptions {
  agent: ControlAgent;
  clock: Clock;
}

/**
 * Starts to follow plans. Without a planner, the process moves by itself
 * towards the newest plan, with lost regions replaced.
 *
 * @param options The dependencies.
 * @returns The weights in force.
 */
export function startSteering({ agent, clock }: SteeringOptions): Steering {
  const followers = new Map<string, FollowerState>();
  let leaseSeenMs = clock.monotonicMs();

  function tick(): void {
    for (const { document } of agent.config().services.values()) {
      updateFollower(document);
    }
  }

  function updateFollower(document: ServiceDocument): void {
    const { service } = document;
    const follower = followers.get(service) ?? startFollower(document);
    if (follower === undefined) return;
    followers.set(service, follower);
    const context = {
      cap: getShiftCap(document),
      regionOf: agent.config().regionOf,
      nowMs: clock.monotonicMs(),
      wallMs: clock.now().getTime(),
    };
    const plan = readPlan(agent.row(getPlanKey(service)));
    if (context.nowMs - leaseSeenMs < PLANNER_TIMEOUT_MS) {
      if (plan) followPlan(follower, plan, context);
      return;
    }
    const planWeights = plan?.weights ?? follower.weights;
    const target = makeLocalTarget({
      weights: planWeights,
      aliveRegions: listAliveRegions(document),
      regionOf: context.regionOf,
      delayMs: (from, to) =>
        getDelayMs(agent.config().fleet!.document, from, to),
    });
    moveWithinLocalCap(follower, target, context);
  }

  /** Creates a follower, unless the fleet's document is still unknown. */
  function startFollower(document: ServiceDocument): FollowerState | undefined {
    const { fleet, regionOf } = agent.config();
    if (fleet === undefined) return undefined;
    const context = {
      fleet: fleet.document,
      regionOf,
      wallMs: clock.now().getTime(),
    };
    return createFollower(makeDefaultWeights(document, context));
  }

  /** Lists the service's regions in which this process sees a serving entry. */
  function listAliveRegions(document: ServiceDocument): Set<string> {
    const alive = agent.serving("entry").map((member) => member.region);
    return new Set(
      alive.filter((region) => document.regions.includes(region)),
    );
  }

  agent.onRows((rows) => {
    if (rows.some((row) => row.key === LEASE_KEY)) {
      leaseSeenMs = clock.monotonicMs();
    }
    tick();
  });
  tick();
  const timer = clock.every(TICK_PERIOD_MS, tick);
  return {
    getWeightRow: (service, callerRegion) =>
      followers.get(service)?.weights[callerRegion] ?? {},
    planNumber: (service) => followers.get(service)?.number ?? 0,
    dump: () => Object.fromEntries(followers),
    close: () => timer.cancel(),
  };
}
