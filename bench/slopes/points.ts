/**
 * Measures time and memory, and fits a line through values at several sizes.
 *
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Row } from "../report.ts";

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** A value at a size. */
export interface Point {
  size: number;
  value: number;
}

/** Fits a line by least squares; `error` is the largest relative residual. */
function fitLine(points: readonly Point[]) {
  const n = points.length;
  const meanX = points.reduce((sum, { size }) => sum + size, 0) / n;
  const meanY = points.reduce((sum, { value }) => sum + value, 0) / n;
  const covarianceSum = points.reduce(
    (sum, { size, value }) => sum + (size - meanX) * (value - meanY),
    0,
  );
  const varianceSum = points.reduce(
    (sum, { size }) => sum + (size - meanX) ** 2,
    0,
  );
  const slope = covarianceSum / varianceSum;
  const base = meanY - slope * meanX;
  const error = Math.max(
    ...points.map(({ size, value }) =>
      Math.abs(base + slope * size - value) / Math.abs(value || 1)
    ),
  );
  return { slope, base, error };
}

/**
 * Makes a table row with a linear fit.
 *
 * @param what What was measured.
 * @param unit Unit of the values, and the unit of the size.
 * @param points Measured values by size.
 * @returns The row.
 */
export function makeRow(what: string, unit: string, points: Point[]): Row {
  const { slope, base, error } = fitLine(points);
  process.stderr.write(`  ${what}\n`);
  return {
    what,
    unit,
    sizes: points.map(({ size }) => size).join(" "),
    values: points.map(({ value }) => value.toPrecision(4)).join(" "),
    "per unit": slope,
    base,
    "worst miss": `${(error * 100).toFixed(0)}%`,
  };
}

/**
 * @param calls Calls per round.
 * @param run Function to measure.
 * @returns Time per call in us, the best of three rounds.
 */
export function measureTimeUs(
  calls: number,
  run: (index: number) => void,
): number {
  let best = Infinity;
  for (let round = 0; round < 3; round++) {
    const startMs = performance.now();
    for (let index = 0; index < calls; index++) run(index);
    best = Math.min(best, (performance.now() - startMs) * 1_000 / calls);
  }
  return best;
}

/**
 * @param make Creates the value to measure.
 * @returns Bytes that the value retains, buffers included.
 */
export function measureBytes(make: () => unknown): number {
  // Garbage of earlier measurements must be collected before the first reading.
  make();
  collectGarbage();
  collectGarbage();
  const getUsedBytes = () => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const before = getUsedBytes();
  const retained = make();
  collectGarbage();
  const bytes = getUsedBytes() - before;
  if (retained === undefined) throw new Error("Nothing was made");
  return bytes;
}
