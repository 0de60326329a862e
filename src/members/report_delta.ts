/**
 * What a VM's report leaves out because it hardly changed.
 *
 * Reports go to all VMs of all regions again and again, mostly to show that the
 * VM is there.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { isSameDigest, TOPICS } from "../news/types.ts";
import type { VmReport } from "./types.ts";

/** The parts of a report that a receiver doesn't know yet. */
export type ReportDelta = Partial<VmReport>;

/** Changes of demand below this part, or this many a second, are left out. */
const MIN_DEMAND_CHANGE_SHARE = 0.15;
const MIN_DEMAND_CHANGE_PER_S = 1;

/**
 * @param told What the receivers know; undefined for new ones.
 * @param now How the VM is.
 * @returns What they have to be told.
 */
export function diffReport(
  told: VmReport | undefined,
  now: VmReport,
): ReportDelta {
  if (told === undefined) return now;
  const parts: ReportDelta = {};
  if (told.state !== now.state) parts.state = now.state;
  if (hasDemandChanged(told.demandPerS, now.demandPerS)) {
    parts.demandPerS = now.demandPerS;
  }
  const isSame = TOPICS.every((topic) =>
    isSameDigest(told.digests[topic], now.digests[topic]) &&
    isDeepStrictEqual(told.digests[topic].epochs, now.digests[topic].epochs)
  );
  if (!isSame) parts.digests = now.digests;
  return parts;
}

/**
 * @param known The last report; undefined before the first.
 * @param parts What came.
 * @returns The whole report; undefined while parts of it never came.
 */
export function mergeReport(
  known: VmReport | undefined,
  parts: ReportDelta,
): VmReport | undefined {
  const state = parts.state ?? known?.state;
  const demandPerS = parts.demandPerS ?? known?.demandPerS;
  const digests = parts.digests ?? known?.digests;
  if (state === undefined || demandPerS === undefined) return undefined;
  return digests === undefined ? undefined : { state, demandPerS, digests };
}

function hasDemandChanged(
  told: VmReport["demandPerS"],
  now: VmReport["demandPerS"],
): boolean {
  const services = new Set([...Object.keys(told), ...Object.keys(now)]);
  return [...services].some((service) => {
    const before = told[service] ?? 0;
    const change = Math.abs((now[service] ?? 0) - before);
    return change >
      Math.max(MIN_DEMAND_CHANGE_PER_S, before * MIN_DEMAND_CHANGE_SHARE);
  });
}
