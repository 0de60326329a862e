/**
 * How right gateways were about servers when they chose: what load and which
 * objects they took them to have, and what came of it.
 *
 * @module
 */
import type { AttemptLine, ChoiceLine, LogContent } from "./lines.ts";
import { renderRows } from "./rows.ts";

/** One request at one server. */
interface ChosenAttempt {
  choice: ChoiceLine;
  attempt: AttemptLine;
}

/** What is counted for a service. */
interface EstimateStats {
  choices: number;
  estimatedUtilization: number;
  actualUtilization: number;
  /** Answers for objects that the server was taken to know. */
  predictedHits: number;
  /** Those of them that took as long as first runs do. */
  slowPredictedHits: number;
  serverMs: number;
  /** Of it, for requests that were not answered. */
  unansweredMs: number;
}

const HEADERS = [
  "service",
  "choices",
  "believed requests/slot",
  "true",
  "known objects run as first",
  "server time not answered",
];

/**
 * @param content What a log of all VMs tells.
 * @returns A table, a line for each service. Loads are right as far as the VMs'
 *   clocks agree, and their logs are complete.
 */
export function renderEstimates(content: LogContent): string {
  const runs = pairAttempts(content);
  const services = [...new Set(runs.map(({ choice }) => choice.service))];
  const rows = services.sort().map((service) => {
    const own = runs.filter(({ choice }) => choice.service === service);
    return [service, ...formatStats(computeStats(own))];
  });
  return renderRows([HEADERS, ...rows]);
}

function pairAttempts({ requests }: LogContent): ChosenAttempt[] {
  return [...requests.values()].flatMap(({ choices, attempts }) =>
    choices.flatMap((choice) => {
      const attempt = attempts.find(({ server }) => server === choice.server);
      return attempt === undefined ? [] : [{ choice, attempt }];
    })
  );
}

function computeStats(runs: readonly ChosenAttempt[]): EstimateStats {
  const stats: EstimateStats = {
    choices: runs.length,
    estimatedUtilization: 0,
    actualUtilization: 0,
    predictedHits: 0,
    slowPredictedHits: 0,
    serverMs: 0,
    unansweredMs: 0,
  };
  const thresholdMs = findCacheMissThresholdMs(runs);
  const actualByChoice = computeActualUtilization(runs);
  for (const { choice, attempt } of runs) {
    stats.estimatedUtilization += choice.use ?? 0;
    stats.actualUtilization += actualByChoice.get(choice) ?? 0;
    stats.serverMs += attempt.tookMs;
    const isAnswered = attempt.outcome === "answer";
    if (!isAnswered) stats.unansweredMs += attempt.tookMs;
    if (!isAnswered || !choice.isKnown) continue;
    stats.predictedHits++;
    if (attempt.tookMs > thresholdMs) stats.slowPredictedHits++;
  }
  return stats;
}

/** @returns Requests a slot that ran at its server when each was chosen. */
function computeActualUtilization(
  runs: readonly ChosenAttempt[],
): Map<ChoiceLine, number> {
  const events = runs.flatMap(({ choice, attempt }) => [
    { atMs: choice.time, choice, change: 1 },
    { atMs: attempt.time, choice, change: -1 },
  ]);
  events.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
  const running = new Map<string, number>();
  const utilizations = new Map<ChoiceLine, number>();
  for (const { choice, change } of events) {
    const server = choice.server ?? "";
    const before = running.get(server) ?? 0;
    if (change > 0) utilizations.set(choice, before / (choice.slots ?? 1));
    running.set(server, before + change);
  }
  return utilizations;
}

/** Between the medians of first runs and of those of known objects. */
function findCacheMissThresholdMs(runs: readonly ChosenAttempt[]): number {
  const getMedianMs = (isFirst: boolean) => {
    const times = runs
      .filter(({ attempt }) =>
        attempt.isFirst === isFirst && attempt.outcome === "answer"
      )
      .map(({ attempt }) => attempt.tookMs)
      .sort((a, b) => a - b);
    return times[Math.floor(times.length / 2)] ?? Infinity;
  };
  return Math.sqrt(getMedianMs(true) * getMedianMs(false));
}

function formatStats(stats: EstimateStats): string[] {
  const {
    choices,
    predictedHits: known,
    slowPredictedHits: knownAsFirst,
    serverMs,
    unansweredMs: wastedMs,
  } = stats;
  return [
    String(choices),
    (stats.estimatedUtilization / choices).toFixed(2),
    (stats.actualUtilization / choices).toFixed(2),
    formatShare(knownAsFirst, known),
    formatShare(wastedMs, serverMs),
  ];
}

function formatShare(part: number, whole: number): string {
  return whole === 0 ? "-" : (part / whole).toFixed(3);
}
