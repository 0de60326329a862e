/**
 * Delta encoding of VM reports: fields that hardly changed are left out.
 *
 * Every VM sends reports periodically to all VMs that it is linked to. Most of
 * them serve only as heartbeats.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { isSameDigest, TOPICS } from "../news/types.ts";
import type { VmReport } from "./types.ts";

/** The fields of a report that the receiver doesn't have yet. */
export type ReportDelta = Partial<VmReport>;

/**
 * A change of a service's demand is sent only where it exceeds both this share
 * of the last reported rate and the absolute minimum below.
 */
const MIN_DEMAND_CHANGE_SHARE = 0.15;
const MIN_DEMAND_CHANGE_PER_S = 1;

/**
 * Picks the fields of a report that have to be sent.
 *
 * @param reported The report as the receivers have it; undefined before the
 *   first.
 * @param current The VM's current report.
 * @returns The fields that changed.
 */
export function diffReport(
  reported: VmReport | undefined,
  current: VmReport,
): ReportDelta {
  if (reported === undefined) return current;
  const delta: ReportDelta = {};
  if (reported.state !== current.state) delta.state = current.state;
  if (hasDemandChanged(reported.demandPerS, current.demandPerS)) {
    delta.demandPerS = current.demandPerS;
  }
  const isSame = TOPICS.every((topic) =>
    isSameDigest(reported.digests[topic], current.digests[topic]) &&
    isDeepStrictEqual(
      reported.digests[topic].epochs,
      current.digests[topic].epochs,
    )
  );
  if (!isSame) delta.digests = current.digests;
  return delta;
}

/**
 * Applies a delta to a report.
 *
 * @param known The report so far; undefined before the first delta.
 * @param delta The fields received.
 * @returns The complete report; undefined while a field was never received.
 */
export function mergeReport(
  known: VmReport | undefined,
  delta: ReportDelta,
): VmReport | undefined {
  const state = delta.state ?? known?.state;
  const demandPerS = delta.demandPerS ?? known?.demandPerS;
  const digests = delta.digests ?? known?.digests;
  if (state === undefined || demandPerS === undefined) return undefined;
  return digests === undefined ? undefined : { state, demandPerS, digests };
}

function hasDemandChanged(
  reported: VmReport["demandPerS"],
  current: VmReport["demandPerS"],
): boolean {
  const services = new Set([...Object.keys(reported), ...Object.keys(current)]);
  return [...services].some((service) => {
    const before = reported[service] ?? 0;
    const change = Math.abs((current[service] ?? 0) - before);
    return change >
      Math.max(MIN_DEMAND_CHANGE_PER_S, before * MIN_DEMAND_CHANGE_SHARE);
  });
}
