/**
 * A fleet under a fake clock in which more or less is asked than limits allow: what each way of limiting lets through, against what one VM that
 * knew everything would.
 *
 * @module
 */
import { makeVmIdentity } from "../../gateway/fixture.ts";
import { arrange } from "../../members/hubs.ts";
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

/** A way of keeping limits. */
export type LimitStrategy = "equal_parts" | "shared_usage" | "ranked_senders";

/** What happens to a fleet. */
export interface LimitScenario {
  name: string;
  vms: number;
  ratePerS: number;
  burst: number;
  durationMs: number;
  /**
   * @param vm Index of a VM.
   * @param nowMs Time since the start.
   * @returns Requests a second that come to it.
   */
  getDemandPerS: (vm: number, nowMs: number) => number;
  /** Whether two regions are cut off from each other. */
  isCut?: (from: string, to: string, nowMs: number) => boolean;
  /** When which VMs start anew. */
  restarts?: { atMs: number; vms: readonly number[]; downMs: number }[];
  /** What may be exceeded; that of client accounts unless given. */
  margin?: LimitMargin;
  /** Whether the limit was set on what is in use, so that nothing is saved up. */
  startsEmpty?: boolean;
  /** The limit from some time on. */
  lowered?: { atMs: number; ratePerS: number; burst: number };
}

/** What came of it. */
export interface LimitStats {
  asked: number;
  served: number;
  /** What one VM that knew everything would have served. */
  allowed: number;
  /** Served, of what was allowed. */
  servedShare: number;
  /** Most in any window, as a part of what the limit and its margin allow. */
  maxBoundRatio: number;
}

const REGIONS = ["oslo", "bergen", "trondheim"];
const STEP_MS = 10;
const REGION_DELAY_MS = 35;
const LOCAL_DELAY_MS = 2;
/** Before it, VMs get to know each other and nothing is asked. */
const LEAD_MS = 3_000;
const ACCOUNT_MARGIN: LimitMargin = {
  windowMs: 5_000,
  ratio: 0.1,
  allowance: 20,
};
const HOLDER = "a holder";
/** The region of a holder that stands in one, such as a server. */
const HOLDER_REGION = REGIONS[0];

interface ModelVm {
  identity: VmIdentity;
  limiter: RateLimiter;
  sharing: UsageSharing | undefined;
  isUp: boolean;
}

/**
 * @param way How limits are kept.
 * @param scenario What happens.
 * @param seed Draws the moments at which requests come.
 * @returns What came of it.
 */
export function simulateLimits(
  way: LimitStrategy,
  scenario: LimitScenario,
  seed = 1,
): LimitStats {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const { ratePerS, burst } = scenario;
  const holder: LimitedSubject = { name: HOLDER, ratePerS, burst };
  const fleet = startFleet(way, scenario, { clock, random, holder });
  const level = scenario.startsEmpty ? 0 : burst;
  const ideal: TokenBucket = { level, refilledAtMs: LEAD_MS };
  const servedAtMs: number[] = [];
  let asked = 0;
  let allowed = 0;
  clock.advance(LEAD_MS);
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    applyEvents(scenario, nowMs, holder, fleet);
    for (let index = 0; index < scenario.vms; index++) {
      const vm = fleet.vms[index];
      const mean = scenario.getDemandPerS(index, nowMs) * STEP_MS / 1_000;
      for (let count = drawPoisson(random, mean); count > 0; count--) {
        if (!vm.isUp) continue;
        asked++;
        refill(
          ideal,
          { ratePerS: holder.ratePerS, burst: holder.burst },
          LEAD_MS + nowMs,
        );
        if (ideal.level >= 1) {
          ideal.level--;
          allowed++;
        }
        if (vm.limiter.take(holder).kind === "within") servedAtMs.push(nowMs);
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
    maxBoundRatio: getMostOfBound(servedAtMs, scenario),
  };
}

interface Fleet {
  vms: ModelVm[];
  restart(index: number): void;
}

function startFleet(
  way: LimitStrategy,
  scenario: LimitScenario,
  { clock, random, holder }: {
    clock: FakeClock;
    random: Random;
    holder: LimitedSubject;
  },
): Fleet {
  const identities = Array.from(
    { length: scenario.vms },
    (_, index) =>
      makeVmIdentity(`vm-${index}`, {
        region: REGIONS[index % REGIONS.length],
      }),
  );
  const topology = arrange(identities);
  const vms: ModelVm[] = [];

  function deliver(from: VmIdentity, toId: string, news: UsageUpdate): void {
    const to = vms.find(({ identity }) => identity.id === toId);
    if (to === undefined) return;
    const isNear = from.region === to.identity.region;
    const delayMs = isNear ? LOCAL_DELAY_MS : REGION_DELAY_MS;
    const nowMs = clock.monotonicMs() - LEAD_MS;
    if (scenario.isCut?.(from.region, to.identity.region, nowMs)) return;
    clock.after(delayMs, () => {
      if (to.isUp) to.sharing?.receive(from, news);
    });
  }

  function listUp(region: string): string[] {
    return vms.filter(({ identity, isUp }) =>
      isUp && identity.region === region
    ).map(({ identity }) => identity.id);
  }

  function startVm(identity: VmIdentity): ModelVm {
    if (way === "equal_parts") {
      const limiter = new EqualShareLimiter(clock, () => scenario.vms);
      return { identity, limiter, sharing: undefined, isUp: true };
    }
    if (way === "ranked_senders") {
      const limiter = new RankedSenderLimiter(clock, identity.id, {
        region: HOLDER_REGION,
        listVms: listUp,
      });
      return { identity, limiter, sharing: undefined, isUp: true };
    }
    const pool = createLimitShares(clock, () => scenario.vms);
    const limiter = new SharedUsageLimiter({
      clock,
      random,
      getShare: pool.getShare,
      getOwnShare: pool.getOwnShare,
      getStableMs: scenario.startsEmpty ? () => 0 : pool.getStableMs,
      margin: scenario.margin ?? ACCOUNT_MARGIN,
      findSubject: () => holder,
    });
    const sharing = startUsageSharing({
      self: identity,
      clock,
      limiter,
      limitShares: pool,
      hasLimits: () => true,
      listPeers: () => identities.filter(({ id }) => id !== identity.id),
      getTopology: () => topology,
      send: (ids, news) => ids.forEach((id) => deliver(identity, id, news)),
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
  holder: LimitedSubject,
  fleet: Fleet,
): void {
  if (lowered?.atMs === nowMs) {
    holder.ratePerS = lowered.ratePerS;
    holder.burst = lowered.burst;
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

/** A lower limit binds once a window has passed. */
function getMostOfBound(
  servedAtMs: readonly number[],
  { ratePerS, burst, lowered, margin = ACCOUNT_MARGIN }: LimitScenario,
): number {
  let most = 0;
  let first = 0;
  servedAtMs.forEach((endMs, index) => {
    while (servedAtMs[first] <= endMs - margin.windowMs) first++;
    const isLow = lowered !== undefined &&
      endMs >= lowered.atMs + margin.windowMs;
    const limit = isLow ? lowered : { ratePerS, burst };
    const allowed = limit.ratePerS * margin.windowMs / 1_000 + limit.burst;
    const bound = allowed * (1 + margin.ratio) + margin.allowance;
    most = Math.max(most, (index - first + 1) / bound);
  });
  return most;
}

function drawPoisson(random: Random, mean: number): number {
  if (mean <= 0) return 0;
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}
