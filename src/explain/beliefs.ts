/**
 * How right gateways were about servers when they chose: what load and which
 * objects they took them to have, and what came of it.
 *
 * @module
 */
import type { AttemptLine, ChoiceLine, LogContent } from "./lines.ts";
import { renderRows } from "./rows.ts";

/** One request at one server. */
interface Run {
  choice: ChoiceLine;
  attempt: AttemptLine;
}

/** What is counted for a service. */
interface Beliefs {
  choices: number;
  believedUse: number;
  trueUse: number;
  /** Answers for objects that the server was taken to know. */
  known: number;
  /** Those of them that took as long as first runs do. */
  knownAsFirst: number;
  serverMs: number;
  /** Of it, for requests that were not answered. */
  wastedMs: number;
}

const HEADS = [
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
export function renderBeliefs(content: LogContent): string {
  const runs = listRuns(content);
  const services = [...new Set(runs.map(({ choice }) => choice.service))];
  const rows = services.sort().map((service) => {
    const own = runs.filter(({ choice }) => choice.service === service);
    return [service, ...describe(countBeliefs(own))];
  });
  return renderRows([HEADS, ...rows]);
}

function listRuns({ requests }: LogContent): Run[] {
  return [...requests.values()].flatMap(({ choices, attempts }) =>
    choices.flatMap((choice) => {
      const attempt = attempts.find(({ server }) => server === choice.server);
      return attempt === undefined ? [] : [{ choice, attempt }];
    })
  );
}

function countBeliefs(runs: readonly Run[]): Beliefs {
  const beliefs: Beliefs = {
    choices: runs.length,
    believedUse: 0,
    trueUse: 0,
    known: 0,
    knownAsFirst: 0,
    serverMs: 0,
    wastedMs: 0,
  };
  const limitMs = findFirstRunLimit(runs);
  const trueUses = countTrueUses(runs);
  for (const { choice, attempt } of runs) {
    beliefs.believedUse += choice.use ?? 0;
    beliefs.trueUse += trueUses.get(choice) ?? 0;
    beliefs.serverMs += attempt.tookMs;
    const isAnswered = attempt.outcome === "answer";
    if (!isAnswered) beliefs.wastedMs += attempt.tookMs;
    if (!isAnswered || !choice.isKnown) continue;
    beliefs.known++;
    if (attempt.tookMs > limitMs) beliefs.knownAsFirst++;
  }
  return beliefs;
}

/** @returns Requests a slot that ran at its server when each was chosen. */
function countTrueUses(runs: readonly Run[]): Map<ChoiceLine, number> {
  const events = runs.flatMap(({ choice, attempt }) => [
    { atMs: choice.time, choice, change: 1 },
    { atMs: attempt.time, choice, change: -1 },
  ]);
  events.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
  const running = new Map<string, number>();
  const uses = new Map<ChoiceLine, number>();
  for (const { choice, change } of events) {
    const server = choice.server ?? "";
    const before = running.get(server) ?? 0;
    if (change > 0) uses.set(choice, before / (choice.slots ?? 1));
    running.set(server, before + change);
  }
  return uses;
}

/** Between the medians of first runs and of those of known objects. */
function findFirstRunLimit(runs: readonly Run[]): number {
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

function describe(beliefs: Beliefs): string[] {
  const { choices, known, knownAsFirst, serverMs, wastedMs } = beliefs;
  return [
    String(choices),
    (beliefs.believedUse / choices).toFixed(2),
    (beliefs.trueUse / choices).toFixed(2),
    formatShare(knownAsFirst, known),
    formatShare(wastedMs, serverMs),
  ];
}

function formatShare(part: number, whole: number): string {
  return whole === 0 ? "-" : (part / whole).toFixed(3);
}
