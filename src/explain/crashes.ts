/**
 * Which requests backend servers ended under.
 *
 * What ran on a server beside the request that ended it shows as well, but not
 * at one server after the other.
 *
 * @module
 */
import type { CutLine, LogContent } from "./lines.ts";
import { renderRows } from "./rows.ts";

/** Requests that are shown. */
const MAX_ROWS = 10;
const HEADERS = ["request", "servers ended", "cuts", "VMs", "first", "last"];

/**
 * @param content What a log tells.
 * @param firstMs Time from which moments are counted.
 * @returns A table of requests, those first under which most servers ended.
 */
export function renderCrashes({ cuts }: LogContent, firstMs: number): string {
  const byRequest = new Map<string, CutLine[]>();
  for (const cut of cuts) {
    byRequest.set(cut.request, [...byRequest.get(cut.request) ?? [], cut]);
  }
  const rows = [...byRequest.values()]
    .map((lines) => ({ lines, ended: countCrashedServers(lines) }))
    .sort((a, b) => b.ended - a.ended || b.lines.length - a.lines.length)
    .slice(0, MAX_ROWS)
    .map(({ lines, ended }) => formatRow(lines, ended, firstMs));
  return renderRows([HEADERS, ...rows]);
}

function countCrashedServers(lines: readonly CutLine[]): number {
  const ended = lines.filter(({ verdict }) => verdict === "ended");
  return new Set(ended.map(({ server }) => server)).size;
}

function formatRow(
  lines: readonly CutLine[],
  ended: number,
  firstMs: number,
): string[] {
  const times = lines.map(({ time }) => (time - firstMs) / 1_000);
  const [{ request, method, path }] = lines;
  return [
    `${request} ${method} ${path}`,
    String(ended),
    String(lines.length),
    String(new Set(lines.map(({ vm }) => vm)).size),
    Math.min(...times).toFixed(3),
    Math.max(...times).toFixed(3),
  ];
}
