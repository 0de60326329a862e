/**
 * Renders a report as a self-contained HTML page with plots. Has no side
 * effects.
 *
 * @module
 */
import type { BackendReport } from "../standin/backends.ts";
import type { CallRecord, Report } from "./types.ts";

const WIDTH = 760;
const HEIGHT = 180;
const MARGIN = 40;

/** One line of a plot. */
interface Series {
  name: string;
  points: { x: number; y: number }[];
}

/**
 * Renders a report with plots of latency and of requests by region.
 *
 * @param report The report, listed as a table.
 * @param records Records that the plots show.
 * @param records.calls Calls, for the latency over time.
 * @param records.backends Backend reports, for the requests by region over
 * time.
 * @returns The HTML page.
 */
export function renderReport(
  report: Report,
  { calls, backends }: {
    calls: readonly CallRecord[];
    backends: readonly BackendReport[];
  },
): string {
  const startMs = Math.min(...calls.map(({ dueMs }) => dueMs));
  const rows = Object.entries(flatten(report))
    .map(([name, value]) =>
      `<tr><td>${escape(name)}</td><td>${escape(value)}</td></tr>`
    )
    .join("\n");
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>hawthorngw: ${escape(report.deployment)}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:50em}
td{padding:2px 12px 2px 0}svg{display:block;margin:0 0 1.5em}</style></head>
<body><h1>${escape(report.deployment)}, ${report.durationS} s</h1>
<h2>Latency in each second (ms)</h2>
${plot(makeLatencySeries(calls, startMs))}
<h2>Requests started in each second, by region</h2>
${plot(makeRegionSeries(backends, startMs))}
<h2>Results</h2><table>${rows}</table></body></html>
`;
}

function makeLatencySeries(
  calls: readonly CallRecord[],
  startMs: number,
): Series[] {
  const bySecond = new Map<number, number[]>();
  for (const { dueMs, latencyMs, result } of calls) {
    if (result.kind !== "answer") continue;
    const second = Math.floor((dueMs - startMs) / 1_000);
    bySecond.set(second, [...bySecond.get(second) ?? [], latencyMs]);
  }
  return [["p50", 0.5], ["p99", 0.99]].map(([name, quantile]) => ({
    name: String(name),
    points: [...bySecond].sort(([a], [b]) => a - b).map(([second, values]) => {
      const sorted = values.sort((a, b) => a - b);
      const index = Math.floor((sorted.length - 1) * Number(quantile));
      return { x: second, y: sorted[index] };
    }),
  }));
}

function makeRegionSeries(
  backends: readonly BackendReport[],
  startMs: number,
): Series[] {
  const counts = new Map<string, Map<number, number>>();
  for (const { region, records } of backends) {
    const perSecond = counts.get(region) ?? new Map<number, number>();
    counts.set(region, perSecond);
    for (const record of records) {
      const second = Math.floor((record.startMs - startMs) / 1_000);
      perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
    }
  }
  return [...counts].map(([name, perSecond]) => ({
    name,
    points: [...perSecond].sort(([a], [b]) => a - b).map(([x, y]) => ({
      x,
      y,
    })),
  }));
}

/** Draws line plots with a common scale as an SVG element. */
function plot(series: Series[]): string {
  const points = series.flatMap((line) => line.points);
  const maxX = Math.max(1, ...points.map(({ x }) => x));
  const maxY = Math.max(1, ...points.map(({ y }) => y));
  const toX = (x: number) => MARGIN + x / maxX * (WIDTH - 2 * MARGIN);
  const toY = (y: number) => HEIGHT - 20 - y / maxY * (HEIGHT - 40);
  const lines = series.map((line, index) => {
    const path = line.points
      .map(({ x, y }) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`)
      .join(" ");
    const color = `hsl(${index * 110}, 60%, 40%)`;
    const labelX = MARGIN + index * 140;
    return `<polyline fill="none" stroke="${color}" points="${path}"/>` +
      `<text x="${labelX}" y="12" fill="${color}">${escape(line.name)}</text>`;
  });
  return `<svg width="${WIDTH}" height="${HEIGHT}" role="img">
<text x="0" y="24">${maxY.toFixed(0)}</text>
<text x="0" y="${HEIGHT - 18}">0</text>
<text x="${WIDTH - MARGIN}" y="${HEIGHT - 4}">${maxX} s</text>
${lines.join("\n")}</svg>`;
}

/** Lists the leaves of an object by their path, such as `latencyMs.p50`. */
function flatten(value: object, prefix = ""): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, item] of Object.entries(value)) {
    if (typeof item === "object" && item !== null) {
      Object.assign(flat, flatten(item, `${prefix}${name}.`));
    } else flat[`${prefix}${name}`] = String(item);
  }
  return flat;
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
