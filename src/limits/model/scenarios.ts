/**
 * Loads that a way of keeping limits has to answer.
 *
 * @module
 */
import type { LimitMargin } from "../limiter.ts";
import type { LimitScenario } from "./simulation.ts";

const DURATION_MS = 20_000;
const CUT_AT_MS = 6_000;
const HEALED_AT_MS = 13_000;
/** What an account sends beyond its limit at the worst. */
const HOT = 4.7;
/** What it sends usually. */
const USUAL = 0.62;

type Changes = Partial<LimitScenario> & Pick<LimitScenario, "name">;

function makeScenario(
  vms: number,
  ratePerS: number,
  part: number,
  changes: Changes,
): LimitScenario {
  return {
    vms,
    ratePerS,
    burst: ratePerS,
    durationMs: DURATION_MS,
    getDemandPerS: () => part * ratePerS / vms,
    ...changes,
  };
}

function isCutThen(nowMs: number): boolean {
  return nowMs >= CUT_AT_MS && nowMs < HEALED_AT_MS;
}

function isBergenCut(from: string, to: string, nowMs: number): boolean {
  return isCutThen(nowMs) && from !== to &&
    (from === "bergen" || to === "bergen");
}

/**
 * @param vms VMs of the fleet.
 * @param ratePerS Rate of a large account.
 * @returns The loads.
 */
export function listLimitScenarios(
  vms: number,
  ratePerS: number,
): LimitScenario[] {
  const all = Array.from({ length: vms }, (_, index) => index);
  return [
    makeScenario(vms, ratePerS, USUAL, { name: "steady" }),
    makeScenario(vms, ratePerS, HOT, { name: "far over, spread" }),
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
        (nowMs >= 8_000 && nowMs < 16_000 ? HOT : USUAL) * ratePerS / vms,
    }),
    makeScenario(vms, ratePerS, HOT, {
      name: "region cut, far over",
      isCut: isBergenCut,
    }),
    makeScenario(vms, ratePerS, USUAL, {
      name: "region cut, usual",
      isCut: isBergenCut,
    }),
    makeScenario(vms, ratePerS, HOT, {
      name: "each VM on its own, far over",
      isCut: (_from, _to, nowMs) => isCutThen(nowMs),
    }),
    makeScenario(vms, ratePerS, USUAL, {
      name: "each VM on its own, usual",
      isCut: (_from, _to, nowMs) => isCutThen(nowMs),
    }),
    makeScenario(vms, ratePerS, HOT, {
      name: "all regions cut, far over",
      isCut: (from, to, nowMs) => isCutThen(nowMs) && from !== to,
    }),
    makeScenario(vms, ratePerS, HOT, {
      name: "all restart, far over",
      restarts: [{ atMs: 8_000, vms: all, downMs: 1_000 }],
    }),
    makeScenario(vms, ratePerS, USUAL, {
      name: "all restart, usual",
      restarts: [{ atMs: 8_000, vms: all, downMs: 1_000 }],
    }),
    makeScenario(vms, ratePerS, HOT, {
      name: "one after the other restarts, far over",
      restarts: all.map((vm) => ({
        atMs: 2_000 + 300 * vm,
        vms: [vm],
        downMs: 1_000,
      })),
    }),
    makeScenario(vms, ratePerS, USUAL, {
      name: "a third restarts, usual",
      restarts: [{
        atMs: 8_000,
        vms: all.filter((vm) => vm % 3 === 1),
        downMs: 2_000,
      }],
    }),
    makeScenario(vms, ratePerS, USUAL, {
      name: "lowered",
      lowered: { atMs: 8_000, ratePerS: ratePerS / 8, burst: ratePerS / 8 },
    }),
    makeScenario(vms, 2, USUAL, { name: "small, usual" }),
    makeScenario(vms, 2, HOT, { name: "small, far over" }),
  ];
}

/** What a server may get beyond the rate limit that it advertised. */
const SERVER_MARGIN: LimitMargin = {
  windowMs: 4_000,
  ratio: 0.5,
  allowance: 5,
};
/** What a server got before, as a part of its limit. */
const SERVER_DEMAND = 5;
/** Part of it that VMs of the server's own region send. */
const NEAR_PART = 0.9;

/**
 * @param vms VMs of the fleet.
 * @param ratePerS Limit of a server in the first VM's region.
 * @returns Loads that the server's limit has to answer.
 */
export function listServerScenarios(
  vms: number,
  ratePerS: number,
): LimitScenario[] {
  const all = Array.from({ length: vms }, (_, index) => index);
  const near = all.filter((vm) => vm % 3 === 0);
  const far = vms - near.length;
  const getDemandPerS = (vm: number) =>
    SERVER_DEMAND * ratePerS *
    (vm % 3 === 0 ? NEAR_PART / near.length : (1 - NEAR_PART) / far);
  const make = (changes: Changes): LimitScenario =>
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
      getDemandPerS: (vm) => vm === 3 ? SERVER_DEMAND * ratePerS : 0,
    }),
    make({
      name: "its region cut off",
      isCut: (from, to, nowMs) =>
        isCutThen(nowMs) && from !== to && (from === "oslo" || to === "oslo"),
    }),
    make({
      name: "each VM on its own",
      isCut: (_from, _to, nowMs) => isCutThen(nowMs),
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
