/**
 * Requests during which backend servers crashed.
 *
 * Requests that ran on a server beside a poison request are listed too, but only
 * the poison request recurs on one crashed server after another.
 *
 * @module
 */
import type { CutLine, LogContent } from "./lines.ts";
import { renderRows } from "./rows.ts";

/** Requests that the table lists at most. */
const MAX_ROWS = 10;
const HEADERS = ["request", "servers crashed", "cuts", "VMs", "first", "last"];

/**
 * Lists the requests during which servers crashed.
 *
 * @param content Parsed logs.
 * @param firstMs Time that the first and last cut are relative to, in ms.
 * @returns A table of requests, by the number of servers that crashed.
 */
export function renderCrashes({ cuts }: LogContent, firstMs: number): string {
  const byRequest = new Map<string, CutLine[]>();
  for (const cut of cuts) {
    const lines = byRequest.get(cut.request);
    if (lines === undefined) byRequest.set(cut.request, [cut]);
    else lines.push(cut);
  }
  const rows = [...byRequest.values()]
    .map((lines) => ({ lines, ended: countCrashedServers(lines) }))
    .sort((a, b) => b.ended - a.ended || b.lines.length - a.lines.length)
    .slice(0, MAX_ROWS)
    .map(({ lines, ended }) => formatRow(lines, ended, firstMs));
  return renderRows([HEADERS, ...rows]);
}

function countCrashedServers(lines: readonly CutLine[]): number {
  const crashes = lines.filter(({ verdict }) => verdict === "ended");
  return new Set(crashes.map(({ server }) => server)).size;
}

function formatRow(
  lines: readonly CutLine[],
  crashedCount: number,
  firstMs: number,
): string[] {
  const times = lines.map(({ time }) => (time - firstMs) / 1_000)
    .sort((a, b) => a - b);
  const [{ request, method, path }] = lines;
  return [
    `${request} ${method} ${path}`,
    String(crashedCount),
    String(lines.length),
    String(new Set(lines.map(({ vm }) => vm)).size),
    times[0].toFixed(3),
    times[times.length - 1].toFixed(3),
  ];
}
