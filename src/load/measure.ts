/**
 * Computes a report from the records of callers, backend servers and links. Has
 * no side effects.
 *
 * @module
 */
import { build } from "hdr-histogram-js";
import { PLATFORM_LINK_TARGET } from "../deployment/generate.ts";
import type { LoadSettings } from "../deployment/types.ts";
import type { BackendReport } from "../standin/backends.ts";
import type { RunRecord } from "../standin/backend_server.ts";
import type { LinkTrafficSample } from "../standin/network.ts";
import type { CallRecord, Invariants, Report } from "./types.ts";

/** The drain of a backend server during the run. */
export interface DrainPeriod {
  server: string;
  /** When the edit was accepted, in ms since the Unix epoch. */
  startMs: number;
  /** When the drain was taken back, in ms since the Unix epoch. */
  endMs: number;
}

/** All records of a load run. */
export interface RunData {
  settings: LoadSettings;
  calls: readonly CallRecord[];
  backends: readonly BackendReport[];
  links: readonly LinkTrafficSample[];
  drain: DrainPeriod | undefined;
  /** Time until every daemon had applied the drain edit, in ms. */
  configInForceMs: number;
  /** Times that a daemon reported an older document version than before. */
  configReverts: number;
  /** Caller connections that broke with a request in flight. */
  cutOffInFlight: number;
}

/** Time allowed until a drain is applied. */
const DRAIN_GRACE_MS = 2_000;
/** Window over which a region's utilization is averaged. */
const UTILIZATION_WINDOW_MS = 1_000;

/**
 * Computes the report of a load run.
 *
 * @param data All records of the run.
 * @returns The report.
 */
export function makeReport(data: RunData): Report {
  const { settings, calls } = data;
  const shift = measureLargestShift(data);
  const count = (kind: CallRecord["result"]["kind"]) =>
    calls.filter(({ result }) => result.kind === kind).length;
  return {
    deployment: settings.deployment,
    durationS: settings.durationS,
    requests: calls.length,
    outcomes: {
      answer: count("answer"),
      notRun: count("not_run"),
      unknown: count("unknown"),
    },
    answeredInTimeShare: computeAnsweredInTimeShare(calls),
    latencyMs: computeLatency(calls),
    minRegionHeadroomShare: computeRegionHeadroom(data.backends),
    minLinkHeadroomShare: computeLinkHeadroom(data),
    maxDrainMs: computeDrainMs(data),
    configInForceMs: data.configInForceMs,
    largestShiftOverCap: shift.maxShiftToCapRatio,
    reasons: countFailureReasons(calls),
    invariants: countInvariants(data, shift.overCapWindows),
  };
}

function countFailureReasons(
  calls: readonly CallRecord[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { result } of calls) {
    if (result.kind === "answer") continue;
    counts[result.reason] = (counts[result.reason] ?? 0) + 1;
  }
  return counts;
}

/**
 * @param call Record of the call.
 * @returns Whether it was answered with a status below 500 before its deadline.
 */
export function isInTime(call: CallRecord): boolean {
  const { result } = call;
  return result.kind === "answer" && result.status < 500 &&
    call.latencyMs <= call.deadlineMs;
}

function computeAnsweredInTimeShare(calls: readonly CallRecord[]): number {
  let inTime = 0;
  let all = 0;
  for (const call of calls) {
    all += call.weight;
    if (isInTime(call)) inTime += call.weight;
  }
  return all > 0 ? inTime / all : 0;
}

function computeLatency(calls: readonly CallRecord[]): Report["latencyMs"] {
  const histogram = build({
    highestTrackableValue: 120_000_000,
    numberOfSignificantValueDigits: 3,
  });
  for (const { result, latencyMs } of calls) {
    if (result.kind !== "answer") continue;
    histogram.recordValue(Math.max(1, Math.round(latencyMs * 1_000)));
  }
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / 1_000;
  return { p50: at(50), p99: at(99), p999: at(99.9) };
}

function countInvariants(
  data: RunData,
  overCapShifts: number,
): Invariants {
  const { calls, backends } = data;
  const runs = backends.flatMap(({ records }) => records);
  const ran = new Set(runs.map(({ requestId }) => requestId));
  return {
    duplicateRuns: countDuplicates(runs),
    crossedAnswers: calls.filter(isCrossedAnswer).length,
    falselyNotRun:
      calls.filter(({ result }) =>
        result.kind === "not_run" && ran.has(result.requestId)
      ).length,
    cutOffInFlight: data.cutOffInFlight,
    overCapShifts,
    overloadedRegions: new Set(
      backends.filter(({ peak, slots }) => peak > slots)
        .map(({ region }) => region),
    ).size,
    workAfterLeaving: countWorkAfterLeaving(data),
    configReverts: data.configReverts,
  };
}

function countDuplicates(runs: readonly RunRecord[]): number {
  const perKey = new Map<string, number>();
  for (const { key } of runs) {
    if (key !== undefined) perKey.set(key, (perKey.get(key) ?? 0) + 1);
  }
  return [...perKey.values()].filter((count) => count > 1).length;
}

/** @returns Whether an answer is truncated or belongs to another request. */
function isCrossedAnswer({ result, path }: CallRecord): boolean {
  if (result.kind !== "answer" || result.status >= 500) return false;
  try {
    const body = JSON.parse(result.body.toString("utf8"));
    return body.requestId !== result.requestId || body.path !== path;
  } catch {
    return true;
  }
}

function countWorkAfterLeaving({ backends, drain }: RunData): number {
  if (drain === undefined) return 0;
  return backends.flatMap(({ records }) => records)
    .filter(({ server, startMs }) =>
      server === drain.server && startMs > drain.startMs + DRAIN_GRACE_MS &&
      startMs < drain.endMs
    ).length;
}

/**
 * @returns Time from the accepted edit until the server's last request ended,
 * in ms.
 */
function computeDrainMs({ backends, drain }: RunData): number {
  if (drain === undefined) return 0;
  const ends = backends.flatMap(({ records }) => records)
    .filter(({ server, startMs, endMs }) =>
      server === drain.server && startMs < drain.endMs && endMs > drain.startMs
    )
    .map(({ endMs }) => endMs - drain.startMs);
  return Math.max(0, ...ends);
}

function computeRegionHeadroom(backends: readonly BackendReport[]): number {
  const slots = new Map<string, number>();
  const busyMs = new Map<string, number>();
  for (const { region, slots: own, records } of backends) {
    slots.set(region, (slots.get(region) ?? 0) + own);
    for (const { startMs, endMs } of records) {
      addBusyTime(busyMs, region, { startMs, endMs });
    }
  }
  const utilizations = [...busyMs].map(([key, busy]) => {
    const region = key.slice(0, key.lastIndexOf(" "));
    return busy / UTILIZATION_WINDOW_MS / (slots.get(region) ?? 1);
  });
  return 1 - Math.max(0, ...utilizations);
}

/** Adds the time of one request to the windows that it spans. */
function addBusyTime(
  busyMs: Map<string, number>,
  region: string,
  { startMs, endMs }: { startMs: number; endMs: number },
): void {
  const first = Math.floor(startMs / UTILIZATION_WINDOW_MS);
  const last = Math.floor(Math.max(startMs, endMs) / UTILIZATION_WINDOW_MS);
  for (let window = first; window <= last; window++) {
    const from = Math.max(startMs, window * UTILIZATION_WINDOW_MS);
    const to = Math.min(endMs, (window + 1) * UTILIZATION_WINDOW_MS);
    const key = `${region} ${window}`;
    busyMs.set(key, (busyMs.get(key) ?? 0) + Math.max(0, to - from));
  }
}

function computeLinkHeadroom({ links, settings }: RunData): number {
  const regionLinks = links.filter(({ to }) => to !== PLATFORM_LINK_TARGET);
  const maxBytes = Math.max(0, ...regionLinks.map(({ bytes }) => bytes));
  return 1 - maxBytes / settings.linkLimitBytesPerS;
}

/** Shifts of traffic between regions, compared with the caps. */
export interface ShiftStats {
  /** Windows in which a service's shift exceeded its cap. */
  overCapWindows: number;
  /** Largest shift in a window, as a multiple of the cap. */
  maxShiftToCapRatio: number;
}

/**
 * Computes, for each window and service, the share of traffic of client blocks
 * that were served by one region before the window and by another at its end,
 * as the callers observed it. Windows start every second.
 *
 * @param data Settings of the load and records of calls.
 * @returns The largest shift, and the number of windows over the cap.
 */
export function measureLargestShift(
  { settings, calls }: Pick<RunData, "settings" | "calls">,
): ShiftStats {
  const stats: ShiftStats = { overCapWindows: 0, maxShiftToCapRatio: 0 };
  for (const { name, cap } of settings.services) {
    const placedCalls = listPlacedCalls(settings, calls, name);
    if (placedCalls.length === 0) continue;
    const windowMs = cap.windowS * 1_000;
    const endMs = placedCalls[placedCalls.length - 1].startMs;
    for (
      let ms = placedCalls[0].startMs;
      ms < endMs;
      ms += UTILIZATION_WINDOW_MS
    ) {
      const ratio = computeMovedShare(placedCalls, ms, ms + windowMs) /
        cap.maxShare;
      stats.maxShiftToCapRatio = Math.max(stats.maxShiftToCapRatio, ratio);
      if (ratio > 1) stats.overCapWindows += 1;
    }
  }
  return stats;
}

function listPlacedCalls(
  settings: LoadSettings,
  calls: readonly CallRecord[],
  name: string,
): PlacedCall[] {
  return calls
    .filter(({ service }) => service === name)
    .map(({ clientIp, dueMs, result }): PlacedCall => ({
      region: result.kind === "answer"
        ? settings.serverRegions[result.serverId]
        : undefined,
      block: clientIp,
      startMs: dueMs,
    }))
    .sort((a, b) => a.startMs - b.startMs);
}

/** A call and the region that served it. */
interface PlacedCall {
  /** Undefined for a call without an answer, which still counts as traffic. */
  region: string | undefined;
  block: string;
  startMs: number;
}

function computeMovedShare(
  placedCalls: readonly PlacedCall[],
  fromMs: number,
  toMs: number,
): number {
  const before = new Map<string, string>();
  const after = new Map<string, string>();
  const traffic = new Map<string, number>();
  for (const { region, block, startMs } of placedCalls) {
    if (startMs > toMs) break;
    const isInside = startMs > fromMs;
    if (isInside) traffic.set(block, (traffic.get(block) ?? 0) + 1);
    if (region !== undefined) (isInside ? after : before).set(block, region);
  }
  let moved = 0;
  let all = 0;
  for (const [block, calls] of traffic) {
    all += calls;
    const from = before.get(block);
    const to = after.get(block);
    if (from !== undefined && to !== undefined && from !== to) moved += calls;
  }
  return all > 0 ? moved / all : 0;
}
