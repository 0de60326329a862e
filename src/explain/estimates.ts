/**
 * Accuracy of the estimates by which gateways choose servers: the estimated load
 * and cached objects against what the log shows.
 *
 * @module
 */
import type { AttemptLine, ChoiceLine, LogContent } from "./lines.ts";
import { renderRows } from "./rows.ts";

/** An attempt and the choice of server that led to it. */
interface ChosenAttempt {
  choice: ChoiceLine;
  attempt: AttemptLine;
}

/** Accuracy of the estimates for one service. */
interface EstimateStats {
  choices: number;
  /** Sum over all choices, in requests per slot. */
  estimatedUtilization: number;
  /** Sum over all choices, in requests per slot. */
  actualUtilization: number;
  /** Answers for objects that the server was estimated to have cached. */
  predictedHits: number;
  /** Predicted hits that took as long as cache misses do. */
  slowPredictedHits: number;
  /** Time that servers spent on all attempts. */
  serverMs: number;
  /** Part of `serverMs` spent on attempts that were not answered. */
  unansweredMs: number;
}

const HEADERS = [
  "service",
  "choices",
  "estimated requests/slot",
  "actual requests/slot",
  "predicted hits that missed",
  "server time without answer",
];

/**
 * Compares the estimates of gateways with the outcome, by service.
 *
 * @param content Parsed logs of all VMs.
 * @returns A table with a row for each service. The actual load is exact only if
 *   the VMs' clocks agree and all logs are complete.
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

/** @returns Requests per slot that ran at the server when it was chosen. */
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

/** @returns Geometric mean of the median times of cache misses and of hits. */
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
    predictedHits,
    slowPredictedHits,
    serverMs,
    unansweredMs,
  } = stats;
  return [
    String(choices),
    (stats.estimatedUtilization / choices).toFixed(2),
    (stats.actualUtilization / choices).toFixed(2),
    formatShare(slowPredictedHits, predictedHits),
    formatShare(unansweredMs, serverMs),
  ];
}

function formatShare(part: number, whole: number): string {
  return whole === 0 ? "-" : (part / whole).toFixed(3);
}
