/**
 * Tables of outcomes of requests by time window, region and service.
 *
 * @module
 */
import { type Cause, CAUSES, findCause, type MedianTimes } from "./causes.ts";
import type { LogContent, MoveLine, RequestLines } from "./lines.ts";
import { renderRows } from "./rows.ts";

/** Width of a window, the one that the shift cap applies to. */
const WINDOW_MS = 2_000;

/** Criterion by which requests are grouped. */
export type GroupKind = "window" | "service" | "region";

type Counts = Map<Cause, number>;

/**
 * Counts the causes of outcomes in each group of requests.
 *
 * @param content Parsed logs.
 * @param kind Criterion by which requests are grouped.
 * @param firstMs Start of the first window, in ms.
 * @returns A table with a row for each group and a column for each cause found.
 */
export function renderTable(
  content: LogContent,
  kind: GroupKind,
  firstMs: number,
): string {
  const medians = createMedianTimes(content);
  const groups = new Map<string, Counts>();
  for (const request of content.requests.values()) {
    if (request.end === undefined) continue;
    const group = getGroupName(request, kind, firstMs);
    const counts = groups.get(group) ?? new Map();
    const cause = findCause(request, medians);
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
    groups.set(group, counts);
  }
  const causes = CAUSES.filter((cause) =>
    [...groups.values()].some((counts) => counts.has(cause))
  );
  const names = [...groups.keys()].sort((a, b) =>
    a.localeCompare(b, "en", { numeric: true })
  );
  const rows = names.map((name) => [
    name,
    ...causes.map((cause) => String(groups.get(name)?.get(cause) ?? 0)),
  ]);
  return renderRows([[kind, ...causes], ...rows]);
}

/**
 * Finds the largest shift of each service.
 *
 * @param moves Shifts of traffic; those after a loss are left out.
 * @param maxShift Largest share that may change region within a window.
 * @returns A table of the largest share that a VM moved in a window.
 */
export function renderMoves(
  moves: readonly MoveLine[],
  maxShift: number,
): string {
  const totals = new Map<string, number>();
  for (const { service, vm, time, moved, loss } of moves) {
    if (loss > 0) continue;
    const key = `${service} ${vm} ${Math.floor(time / WINDOW_MS)}`;
    totals.set(key, (totals.get(key) ?? 0) + moved);
  }
  const largest = new Map<string, number>();
  for (const [key, moved] of totals) {
    const [service] = key.split(" ");
    largest.set(service, Math.max(moved, largest.get(service) ?? 0));
  }
  const rows = [...largest].sort().map((
    [service, moved],
  ) => [service, moved.toFixed(3), String(maxShift)]);
  return renderRows([
    ["service", "largest planned move in 2 s", "bound"],
    ...rows,
  ]);
}

function getGroupName(
  { end, choices }: RequestLines,
  kind: GroupKind,
  firstMs: number,
): string {
  if (kind === "service") return choices[0]?.service ?? "none";
  if (kind === "region") return choices[0]?.region ?? "none";
  const startMs = (end?.time ?? firstMs) - (end?.tookMs ?? 0) - firstMs;
  return String(Math.floor(startMs / WINDOW_MS) * WINDOW_MS / 1_000);
}

/** @returns Medians of answered attempts that were not cache misses. */
function createMedianTimes({ requests }: LogContent): MedianTimes {
  const byService = new Map<string, number[]>();
  const byServer = new Map<string, number[]>();
  const add = (map: Map<string, number[]>, key: string, tookMs: number) => {
    const times = map.get(key);
    if (times === undefined) map.set(key, [tookMs]);
    else times.push(tookMs);
  };
  for (const { choices, attempts } of requests.values()) {
    for (const { outcome, isFirst, server, tookMs, time } of attempts) {
      if (outcome !== "answer" || isFirst) continue;
      add(byService, choices[0]?.service ?? "none", tookMs);
      add(byServer, makeSecondKey(server, time), tookMs);
    }
  }
  return {
    serviceMedianMs: (service) => getMedian(byService.get(service) ?? []),
    serverMedianMs: (server, time) =>
      getMedian(byServer.get(makeSecondKey(server, time)) ?? []),
  };
}

function makeSecondKey(server: string, time: number): string {
  return `${server} ${Math.floor(time / 1_000)}`;
}

function getMedian(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor(values.length / 2)] ?? 0;
}
