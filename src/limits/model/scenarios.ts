/**
 * Scenarios for simulations of rate limits.
 *
 * @module
 */
import type { LimitMargin } from "../limiter.ts";
import type { LimitScenario } from "./simulation.ts";

const DURATION_MS = 20_000;
const PARTITION_START_MS = 6_000;
const PARTITION_END_MS = 13_000;
/** Demand of an overloading account, as a multiple of its limit. */
const OVERLOAD = 4.7;
/** Normal demand of an account, as a fraction of its limit. */
const NORMAL = 0.62;

type ScenarioChanges = Partial<LimitScenario> & Pick<LimitScenario, "name">;

function makeScenario(
  vms: number,
  ratePerS: number,
  demandRatio: number,
  changes: ScenarioChanges,
): LimitScenario {
  return {
    vms,
    ratePerS,
    burst: ratePerS,
    durationMs: DURATION_MS,
    getDemandPerS: () => demandRatio * ratePerS / vms,
    ...changes,
  };
}

function isPartitionTime(nowMs: number): boolean {
  return nowMs >= PARTITION_START_MS && nowMs < PARTITION_END_MS;
}

function isBergenPartitioned(from: string, to: string, nowMs: number): boolean {
  return isPartitionTime(nowMs) && from !== to &&
    (from === "bergen" || to === "bergen");
}

/**
 * @param vms Number of VMs in the fleet.
 * @param ratePerS Limit of a large account, in requests a second.
 * @returns Scenarios for the limit of a client account.
 */
export function listLimitScenarios(
  vms: number,
  ratePerS: number,
): LimitScenario[] {
  const all = Array.from({ length: vms }, (_, index) => index);
  return [
    makeScenario(vms, ratePerS, NORMAL, { name: "steady" }),
    makeScenario(vms, ratePerS, OVERLOAD, { name: "far over, spread" }),
    makeScenario(vms, ratePerS, 0, {
      name: "one VM, over",
      getDemandPerS: (vm) => vm === 4 ? 1.5 * ratePerS : 0,
    }),
    makeScenario(vms, ratePerS, 0, {
      name: "one VM, usual",
      getDemandPerS: (vm) => vm === 4 ? 0.8 * ratePerS : 0,
    }),
    makeScenario(vms, ratePerS, 0, {
      name: "moving between regions",
      getDemandPerS: (vm, nowMs) =>
        vm % 3 === Math.floor(nowMs / 3_000) % 3 ? 3 * 1.3 * ratePerS / vms : 0,
    }),
    makeScenario(vms, ratePerS, 0, {
      name: "surge",
      getDemandPerS: (_, nowMs) =>
        (nowMs >= 8_000 && nowMs < 16_000 ? OVERLOAD : NORMAL) * ratePerS / vms,
    }),
    makeScenario(vms, ratePerS, OVERLOAD, {
      name: "region cut, far over",
      isCutOff: isBergenPartitioned,
    }),
    makeScenario(vms, ratePerS, NORMAL, {
      name: "region cut, usual",
      isCutOff: isBergenPartitioned,
    }),
    makeScenario(vms, ratePerS, OVERLOAD, {
      name: "each VM on its own, far over",
      isCutOff: (_from, _to, nowMs) => isPartitionTime(nowMs),
    }),
    makeScenario(vms, ratePerS, NORMAL, {
      name: "each VM on its own, usual",
      isCutOff: (_from, _to, nowMs) => isPartitionTime(nowMs),
    }),
    makeScenario(vms, ratePerS, OVERLOAD, {
      name: "all regions cut, far over",
      isCutOff: (from, to, nowMs) => isPartitionTime(nowMs) && from !== to,
    }),
    makeScenario(vms, ratePerS, OVERLOAD, {
      name: "all restart, far over",
      restarts: [{ atMs: 8_000, vms: all, downMs: 1_000 }],
    }),
    makeScenario(vms, ratePerS, NORMAL, {
      name: "all restart, usual",
      restarts: [{ atMs: 8_000, vms: all, downMs: 1_000 }],
    }),
    makeScenario(vms, ratePerS, OVERLOAD, {
      name: "one after the other restarts, far over",
      restarts: all.map((vm) => ({
        atMs: 2_000 + 300 * vm,
        vms: [vm],
        downMs: 1_000,
      })),
    }),
    makeScenario(vms, ratePerS, NORMAL, {
      name: "a third restarts, usual",
      restarts: [{
        atMs: 8_000,
        vms: all.filter((vm) => vm % 3 === 1),
        downMs: 2_000,
      }],
    }),
    makeScenario(vms, ratePerS, NORMAL, {
      name: "lowered",
      lowered: { atMs: 8_000, ratePerS: ratePerS / 8, burst: ratePerS / 8 },
    }),
    makeScenario(vms, 2, NORMAL, { name: "small, usual" }),
    makeScenario(vms, 2, OVERLOAD, { name: "small, far over" }),
  ];
}

/** Tolerated excess over a server's advertised rate limit. */
const SERVER_MARGIN: LimitMargin = {
  windowMs: 4_000,
  ratio: 0.5,
  allowance: 5,
};
/** Demand on a server, as a multiple of its limit. */
const SERVER_DEMAND_RATIO = 5;
/** Fraction of the demand that VMs of the server's own region send. */
const NEAR_SHARE = 0.9;

/**
 * @param vms Number of VMs in the fleet.
 * @param ratePerS Limit of a server in the first VM's region, in requests a
 *   second.
 * @returns Scenarios for the limit of a backend server.
 */
export function listServerScenarios(
  vms: number,
  ratePerS: number,
): LimitScenario[] {
  const all = Array.from({ length: vms }, (_, index) => index);
  const near = all.filter((vm) => vm % 3 === 0);
  const far = vms - near.length;
  const getDemandPerS = (vm: number) =>
    SERVER_DEMAND_RATIO * ratePerS *
    (vm % 3 === 0 ? NEAR_SHARE / near.length : (1 - NEAR_SHARE) / far);
  const make = (changes: ScenarioChanges): LimitScenario =>
    makeScenario(vms, ratePerS, 0, {
      margin: SERVER_MARGIN,
      startsEmpty: true,
      getDemandPerS,
      ...changes,
    });
  return [
    make({ name: "all is well" }),
    make({
      name: "one VM gets all",
      getDemandPerS: (vm) => vm === 3 ? SERVER_DEMAND_RATIO * ratePerS : 0,
    }),
    make({
      name: "its region cut off",
      isCutOff: (from, to, nowMs) =>
        isPartitionTime(nowMs) && from !== to &&
        (from === "oslo" || to === "oslo"),
    }),
    make({
      name: "each VM on its own",
      isCutOff: (_from, _to, nowMs) => isPartitionTime(nowMs),
    }),
    make({
      name: "all restart",
      restarts: [{ atMs: 8_000, vms: all, downMs: 1_000 }],
    }),
    make({
      name: "its region restarts",
      restarts: [{ atMs: 8_000, vms: near, downMs: 2_000 }],
    }),
    make({
      name: "lowered",
      lowered: { atMs: 8_000, ratePerS: ratePerS / 4, burst: ratePerS / 4 },
    }),
  ];
}
