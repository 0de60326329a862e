/**
 * Simulates a fleet whose demand may exceed its limits, under a fake clock, and
 * compares what a strategy serves with what a single limiter would serve that
 * knows of every request at once.
 *
 * @module
 */
import { makeVmIdentity } from "../../gateway/fixture.ts";
import { buildTopology } from "../../members/hubs.ts";
import type { VmIdentity } from "../../members/types.ts";
import { createFakeClock, type FakeClock } from "../../runtime/clock.ts";
import { createRandom, type Random } from "../../runtime/random.ts";
import { refill, type TokenBucket } from "../bucket.ts";
import { EqualShareLimiter } from "../equal_share_limiter.ts";
import type { LimitedSubject, LimitMargin, RateLimiter } from "../limiter.ts";
import { createLimitShares } from "../shares.ts";
import { SharedUsageLimiter } from "../shared_usage_limiter.ts";
import { RankedSenderLimiter } from "./ranked_sender_limiter.ts";
import {
  startUsageSharing,
  type UsageSharing,
  type UsageUpdate,
} from "../usage_sharing.ts";

/** A strategy to enforce limits. */
export type LimitStrategy = "equal_parts" | "shared_usage" | "ranked_senders";

/** Demand on a fleet, and the faults that it has to cope with. */
export interface LimitScenario {
  name: string;
  vms: number;
  ratePerS: number;
  burst: number;
  durationMs: number;
  /**
   * @param vm Index of a VM.
   * @param nowMs Time since the start.
   * @returns Requests a second that reach the VM.
   */
  getDemandPerS: (vm: number, nowMs: number) => number;
  /** Whether messages from one region to another, or within one, are lost. */
  isCutOff?: (from: string, to: string, nowMs: number) => boolean;
  /** VMs that restart, and when. */
  restarts?: { atMs: number; vms: readonly number[]; downMs: number }[];
  /** Tolerated excess; by default that of client accounts. */
  margin?: LimitMargin;
  /** Whether the bucket starts empty: the limit was set while in use. */
  startsEmpty?: boolean;
  /** A lower limit, and when it is set. */
  lowered?: { atMs: number; ratePerS: number; burst: number };
}

/** Results of a simulation. */
export interface LimitStats {
  /** Requests that arrived. */
  asked: number;
  /** Requests that were admitted. */
  served: number;
  /** Requests that a limiter with complete knowledge would have admitted. */
  allowed: number;
  /** `served` divided by `allowed`. */
  servedShare: number;
  /** Most requests served in any window, divided by the limit plus margin. */
  maxBoundRatio: number;
}

const REGIONS = ["oslo", "bergen", "trondheim"];
const STEP_MS = 10;
const REGION_DELAY_MS = 35;
const LOCAL_DELAY_MS = 2;
/** Time before the first request, in which the VMs hear from each other. */
const WARM_UP_MS = 3_000;
const ACCOUNT_MARGIN: LimitMargin = {
  windowMs: 5_000,
  ratio: 0.1,
  allowance: 20,
};
const SUBJECT = "subject";
/** Region of a subject that is located in one, such as a server. */
const SUBJECT_REGION = REGIONS[0];

interface ModelVm {
  identity: VmIdentity;
  limiter: RateLimiter;
  sharing: UsageSharing | undefined;
  isUp: boolean;
}

/**
 * Simulates a fleet that enforces one limit.
 *
 * @param strategy How the limit is enforced.
 * @param scenario Demand and faults.
 * @param seed Seed of the arrival times.
 * @returns Numbers of requests, and how close they came to the bound.
 */
export function simulateLimits(
  strategy: LimitStrategy,
  scenario: LimitScenario,
  seed = 1,
): LimitStats {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const { ratePerS, burst } = scenario;
  const subject: LimitedSubject = { name: SUBJECT, ratePerS, burst };
  const fleet = startFleet(strategy, scenario, { clock, random, subject });
  const level = scenario.startsEmpty ? 0 : burst;
  const ideal: TokenBucket = { level, refilledAtMs: WARM_UP_MS };
  const servedAtMs: number[] = [];
  let asked = 0;
  let allowed = 0;
  clock.advance(WARM_UP_MS);
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    applyEvents(scenario, nowMs, subject, fleet);
    for (let index = 0; index < scenario.vms; index++) {
      const vm = fleet.vms[index];
      const mean = scenario.getDemandPerS(index, nowMs) * STEP_MS / 1_000;
      for (let count = drawPoisson(random, mean); count > 0; count--) {
        if (!vm.isUp) continue;
        asked++;
        refill(
          ideal,
          { ratePerS: subject.ratePerS, burst: subject.burst },
          WARM_UP_MS + nowMs,
        );
        if (ideal.level >= 1) {
          ideal.level--;
          allowed++;
        }
        if (vm.limiter.take(subject).kind === "within") servedAtMs.push(nowMs);
      }
    }
    clock.advance(STEP_MS);
  }
  for (const { sharing } of fleet.vms) sharing?.stop();
  return {
    asked,
    served: servedAtMs.length,
    allowed,
    servedShare: servedAtMs.length / allowed,
    maxBoundRatio: getMaxBoundRatio(servedAtMs, scenario),
  };
}

interface Fleet {
  vms: ModelVm[];
  restart(index: number): void;
}

function startFleet(
  strategy: LimitStrategy,
  scenario: LimitScenario,
  { clock, random, subject }: {
    clock: FakeClock;
    random: Random;
    subject: LimitedSubject;
  },
): Fleet {
  const identities = Array.from(
    { length: scenario.vms },
    (_, index) =>
      makeVmIdentity(`vm-${index}`, {
        region: REGIONS[index % REGIONS.length],
      }),
  );
  const topology = buildTopology(identities);
  const vms: ModelVm[] = [];

  function deliver(from: VmIdentity, toId: string, update: UsageUpdate): void {
    const to = vms.find(({ identity }) => identity.id === toId);
    if (to === undefined) return;
    const isSameRegion = from.region === to.identity.region;
    const delayMs = isSameRegion ? LOCAL_DELAY_MS : REGION_DELAY_MS;
    const nowMs = clock.monotonicMs() - WARM_UP_MS;
    if (scenario.isCutOff?.(from.region, to.identity.region, nowMs)) return;
    clock.after(delayMs, () => {
      if (to.isUp) to.sharing?.receive(from, update);
    });
  }

  function listRunning(region: string): string[] {
    return vms.filter(({ identity, isUp }) =>
      isUp && identity.region === region
    ).map(({ identity }) => identity.id);
  }

  function startVm(identity: VmIdentity): ModelVm {
    if (strategy === "equal_parts") {
      const limiter = new EqualShareLimiter(clock, () => scenario.vms);
      return { identity, limiter, sharing: undefined, isUp: true };
    }
    if (strategy === "ranked_senders") {
      const limiter = new RankedSenderLimiter(clock, identity.id, {
        region: SUBJECT_REGION,
        listVms: listRunning,
      });
      return { identity, limiter, sharing: undefined, isUp: true };
    }
    const limitShares = createLimitShares(clock, () => scenario.vms);
    const limiter = new SharedUsageLimiter({
      clock,
      random,
      getShare: limitShares.getShare,
      getOwnShare: limitShares.getOwnShare,
      getStableMs: scenario.startsEmpty ? () => 0 : limitShares.getStableMs,
      margin: scenario.margin ?? ACCOUNT_MARGIN,
      findSubject: () => subject,
    });
    const sharing = startUsageSharing({
      self: identity,
      clock,
      limiter,
      limitShares,
      hasLimits: () => true,
      listPeers: () => identities.filter(({ id }) => id !== identity.id),
      getTopology: () => topology,
      send: (ids, update) => ids.forEach((id) => deliver(identity, id, update)),
    });
    return { identity, limiter, sharing, isUp: true };
  }

  identities.forEach((identity) => vms.push(startVm(identity)));
  return {
    vms,
    restart(index) {
      vms[index] = startVm(identities[index]);
    },
  };
}

function applyEvents(
  { lowered, restarts = [] }: LimitScenario,
  nowMs: number,
  subject: LimitedSubject,
  fleet: Fleet,
): void {
  if (lowered?.atMs === nowMs) {
    subject.ratePerS = lowered.ratePerS;
    subject.burst = lowered.burst;
  }
  for (const { atMs, vms, downMs } of restarts) {
    for (const index of vms) {
      if (atMs === nowMs) {
        fleet.vms[index].isUp = false;
        fleet.vms[index].sharing?.stop();
      }
      if (atMs + downMs === nowMs) fleet.restart(index);
    }
  }
}

/** A lowered limit applies from one window after it was lowered. */
function getMaxBoundRatio(
  servedAtMs: readonly number[],
  { ratePerS, burst, lowered, margin = ACCOUNT_MARGIN }: LimitScenario,
): number {
  let maxRatio = 0;
  let first = 0;
  servedAtMs.forEach((endMs, index) => {
    while (servedAtMs[first] <= endMs - margin.windowMs) first++;
    const isLowered = lowered !== undefined &&
      endMs >= lowered.atMs + margin.windowMs;
    const limit = isLowered ? lowered : { ratePerS, burst };
    const allowed = limit.ratePerS * margin.windowMs / 1_000 + limit.burst;
    const bound = allowed * (1 + margin.ratio) + margin.allowance;
    maxRatio = Math.max(maxRatio, (index - first + 1) / bound);
  });
  return maxRatio;
}

function drawPoisson(random: Random, mean: number): number {
  if (mean <= 0) return 0;
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}
