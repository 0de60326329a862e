/**
 * Works out a report from the callers' and backend servers' own records. Pure.
 *
 * @module
 */
import { build } from "hdr-histogram-js";
import { PLATFORM } from "../deployment/generate.ts";
import type { LoadSettings } from "../deployment/types.ts";
import type { BackendReport } from "../standin/backends.ts";
import type { RunRecord } from "../standin/backend_server.ts";
import type { LinkSecond } from "../standin/network.ts";
import type { CallRecord, Invariants, Report } from "./types.ts";

/** A backend server that was drained during the run. */
export interface DrainEvidence {
  server: string;
  /** When the edit was accepted, in ms since the epoch. */
  startMs: number;
  /** When the drain was taken back, in ms since the epoch. */
  endMs: number;
}

/** All that was recorded. */
export interface Evidence {
  settings: LoadSettings;
  calls: readonly CallRecord[];
  backends: readonly BackendReport[];
  links: readonly LinkSecond[];
  drain: DrainEvidence | undefined;
  configInForceMs: number;
  configReverts: number;
  cutOffInFlight: number;
}

/** Time that a drain may take to be in force. */
const DRAIN_GRACE_MS = 2_000;
/** Width of the windows in which a region's use is averaged. */
const USE_WINDOW_MS = 1_000;

/**
 * @param evidence All that was recorded.
 * @returns The report.
 */
export function makeReport(evidence: Evidence): Report {
  const { settings, calls } = evidence;
  const shift = measureLargestShift(evidence);
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
    answeredInTimeShare: measureInTime(calls),
    latencyMs: measureLatency(calls),
    minRegionHeadroomShare: measureRegionHeadroom(evidence.backends),
    minLinkHeadroomShare: measureLinkHeadroom(evidence),
    maxDrainMs: measureDrain(evidence),
    configInForceMs: evidence.configInForceMs,
    largestShiftOverCap: shift.largestOverCap,
    reasons: countReasons(calls),
    invariants: countInvariants(evidence, shift.overCapWindows),
  };
}

function countReasons(calls: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { result } of calls) {
    if (result.kind === "answer") continue;
    counts[result.reason] = (counts[result.reason] ?? 0) + 1;
  }
  return counts;
}

/** @returns Whether a call had a sound answer before its deadline. */
export function isInTime(call: CallRecord): boolean {
  const { result } = call;
  return result.kind === "answer" && result.status < 500 &&
    call.latencyMs <= call.deadlineMs;
}

function measureInTime(calls: readonly CallRecord[]): number {
  let inTime = 0;
  let all = 0;
  for (const call of calls) {
    all += call.weight;
    if (isInTime(call)) inTime += call.weight;
  }
  return all > 0 ? inTime / all : 0;
}

function measureLatency(calls: readonly CallRecord[]): Report["latencyMs"] {
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
  evidence: Evidence,
  overCapShifts: number,
): Invariants {
  const { calls, backends } = evidence;
  const runs = backends.flatMap(({ records }) => records);
  const ran = new Set(runs.map(({ requestId }) => requestId));
  return {
    duplicateRuns: countDuplicates(runs),
    crossedAnswers: calls.filter(isCrossed).length,
    falselyNotRun:
      calls.filter(({ result }) =>
        result.kind === "not_run" && ran.has(result.requestId)
      ).length,
    cutOffInFlight: evidence.cutOffInFlight,
    overCapShifts,
    overloadedRegions: new Set(
      backends.filter(({ peak, slots }) => peak > slots)
        .map(({ region }) => region),
    ).size,
    workAfterLeaving: countWorkAfterLeaving(evidence),
    configReverts: evidence.configReverts,
  };
}

function countDuplicates(runs: readonly RunRecord[]): number {
  const perKey = new Map<string, number>();
  for (const { key } of runs) {
    if (key !== undefined) perKey.set(key, (perKey.get(key) ?? 0) + 1);
  }
  return [...perKey.values()].filter((count) => count > 1).length;
}

function isCrossed({ result, path }: CallRecord): boolean {
  if (result.kind !== "answer" || result.status >= 500) return false;
  try {
    const body = JSON.parse(result.body.toString("utf8"));
    return body.requestId !== result.requestId || body.path !== path;
  } catch {
    return true;
  }
}

function countWorkAfterLeaving({ backends, drain }: Evidence): number {
  if (drain === undefined) return 0;
  return backends.flatMap(({ records }) => records)
    .filter(({ server, startMs }) =>
      server === drain.server && startMs > drain.startMs + DRAIN_GRACE_MS &&
      startMs < drain.endMs
    ).length;
}

/** From the accepted edit until the server's last request ended. */
function measureDrain({ backends, drain }: Evidence): number {
  if (drain === undefined) return 0;
  const ends = backends.flatMap(({ records }) => records)
    .filter(({ server, startMs, endMs }) =>
      server === drain.server && startMs < drain.endMs && endMs > drain.startMs
    )
    .map(({ endMs }) => endMs - drain.startMs);
  return Math.max(0, ...ends);
}

function measureRegionHeadroom(backends: readonly BackendReport[]): number {
  const slots = new Map<string, number>();
  const busyMs = new Map<string, number>();
  for (const { region, slots: own, records } of backends) {
    slots.set(region, (slots.get(region) ?? 0) + own);
    for (const { startMs, endMs } of records) {
      spreadBusy(busyMs, region, { startMs, endMs });
    }
  }
  const uses = [...busyMs].map(([key, busy]) => {
    const region = key.slice(0, key.lastIndexOf(" "));
    return busy / USE_WINDOW_MS / (slots.get(region) ?? 1);
  });
  return 1 - Math.max(0, ...uses);
}

function spreadBusy(
  busyMs: Map<string, number>,
  region: string,
  { startMs, endMs }: { startMs: number; endMs: number },
): void {
  const first = Math.floor(startMs / USE_WINDOW_MS);
  const last = Math.floor(Math.max(startMs, endMs) / USE_WINDOW_MS);
  for (let window = first; window <= last; window++) {
    const from = Math.max(startMs, window * USE_WINDOW_MS);
    const to = Math.min(endMs, (window + 1) * USE_WINDOW_MS);
    const key = `${region} ${window}`;
    busyMs.set(key, (busyMs.get(key) ?? 0) + Math.max(0, to - from));
  }
}

function measureLinkHeadroom({ links, settings }: Evidence): number {
  const between = links.filter(({ to }) => to !== PLATFORM);
  const most = Math.max(0, ...between.map(({ bytes }) => bytes));
  return 1 - most / settings.linkLimitBytesPerS;
}

/** Shifts over the caps. */
export interface ShiftFinding {
  /** Windows in which a service's shift was over its cap. */
  overCapWindows: number;
  /** Largest shift in a window as a multiple of the cap. */
  largestOverCap: number;
}

/**
 * Counts, for each window, the share of a service's traffic whose region at the
 * end differs from that at the start, as the callers saw it.
 *
 * @param evidence Records of calls.
 * @returns What was found.
 */
export function measureLargestShift(
  { settings, calls }: Pick<Evidence, "settings" | "calls">,
): ShiftFinding {
  const found: ShiftFinding = { overCapWindows: 0, largestOverCap: 0 };
  for (const { name, cap } of settings.services) {
    const runs = listPlacedRuns(settings, calls, name);
    if (runs.length === 0) continue;
    const windowMs = cap.windowS * 1_000;
    const endMs = runs[runs.length - 1].startMs;
    for (let ms = runs[0].startMs; ms < endMs; ms += USE_WINDOW_MS) {
      const overCap = measureWindow(runs, ms, ms + windowMs) / cap.maxShare;
      found.largestOverCap = Math.max(found.largestOverCap, overCap);
      if (overCap > 1) found.overCapWindows += 1;
    }
  }
  return found;
}

function listPlacedRuns(
  settings: LoadSettings,
  calls: readonly CallRecord[],
  name: string,
): PlacedRun[] {
  return calls
    .filter(({ service }) => service === name)
    .map(({ clientIp, dueMs, result }): PlacedRun => ({
      region: result.kind === "answer"
        ? settings.serverRegions[result.serverId]
        : undefined,
      block: clientIp,
      startMs: dueMs,
    }))
    .sort((a, b) => a.startMs - b.startMs);
}

interface PlacedRun {
  /** Absent where the call was refused: it is traffic, but ran nowhere. */
  region: string | undefined;
  block: string;
  startMs: number;
}

function measureWindow(
  runs: readonly PlacedRun[],
  fromMs: number,
  toMs: number,
): number {
  const before = new Map<string, string>();
  const after = new Map<string, string>();
  const traffic = new Map<string, number>();
  for (const { region, block, startMs } of runs) {
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
