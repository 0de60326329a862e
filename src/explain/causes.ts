/**
 * Why a request was late, refused or lost, from its log lines.
 *
 * @module
 */
import type { AttemptLine, ChoiceLine, RequestLines } from "./lines.ts";

/** What became of a request. */
export type Cause =
  | "in time"
  /** Late: it was sent more than once. */
  | "late, sent again"
  /** Late: its server had no free slot. */
  | "late, loaded"
  /** Late: its server had not been asked for the object before. */
  | "late, first run"
  /** Late: its server answers others slowly as well. */
  | "late, slow server"
  /** Late: its server should have known the object. */
  | "late, forgotten"
  | "late, other"
  /** Refused while another region had room. */
  | "refused, room elsewhere"
  | "refused, all full"
  /** Servers said that they did not run it. */
  | "refused by servers"
  /** Its VM could not prove that the caller's key was still there. */
  | "refused, key unproven"
  /** Rate limits or backoffs of its servers left no room. */
  | "refused, throttled"
  | "refused, other"
  | "over the account's limit"
  | "unknown caller"
  /** No usable answer came. */
  | "lost"
  | "client left";

/** All causes, in the order of tables. */
export const CAUSES: readonly Cause[] = [
  "in time",
  "late, sent again",
  "late, loaded",
  "late, first run",
  "late, slow server",
  "late, forgotten",
  "late, other",
  "refused, room elsewhere",
  "refused, all full",
  "refused by servers",
  "refused, key unproven",
  "refused, throttled",
  "refused, other",
  "over the account's limit",
  "unknown caller",
  "lost",
  "client left",
];

/** From one request a slot on, a request waits. */
const SATURATION = 1;
/** A region below this has room: two fifths of its slots are free. */
const SPARE_CAPACITY_UTILIZATION = 0.6;
/** A run that takes this many times as long as usual is no usual one. */
const SLOW_FACTOR = 2;

/** Usual times of attempts that were answered, in ms. */
export interface MedianTimes {
  /** @returns The median over all servers of a service. */
  serviceMedianMs(service: string): number;
  /** @returns The median at a server in the second around a moment. */
  serverMedianMs(server: string, time: number): number;
}

/**
 * @param request A request's lines; its end is known.
 * @param usual Usual times.
 * @returns What became of it.
 */
export function findCause(request: RequestLines, usual: MedianTimes): Cause {
  const { end, choices, attempts } = request;
  switch (end?.outcome) {
    case "answer":
      if (end.tookMs <= end.targetMs) return "in time";
      return findLateCause(choices, attempts, usual);
    case "refused":
      return findRefusalCause(choices, end.reason);
    case "limited":
      return "over the account's limit";
    case "unknown_caller":
      return "unknown caller";
    case "client_left":
      return "client left";
    default:
      return "lost";
  }
}

function findLateCause(
  choices: readonly ChoiceLine[],
  attempts: readonly AttemptLine[],
  usual: MedianTimes,
): Cause {
  if (attempts.length !== 1) return "late, sent again";
  const [attempt] = attempts;
  const choice = choices.find(({ server }) => server === attempt.server);
  if (attempt.isFirst) return "late, first run";
  if ((choice?.use ?? 0) >= SATURATION) return "late, loaded";
  if (choice === undefined) return "late, other";
  const slowMs = SLOW_FACTOR * usual.serviceMedianMs(choice.service);
  if (usual.serverMedianMs(attempt.server, attempt.time) > slowMs) {
    return "late, slow server";
  }
  return attempt.tookMs > slowMs ? "late, forgotten" : "late, other";
}

function findRefusalCause(
  choices: readonly ChoiceLine[],
  reason: string | undefined,
): Cause {
  if (reason === "not_run_anywhere") return "refused by servers";
  if (reason === "key_unproven") return "refused, key unproven";
  if (reason === "throttled") return "refused, throttled";
  const last = choices.at(-1);
  if (reason !== "all_full" || last?.uses === undefined) {
    return "refused, other";
  }
  const otherUtilizations = Object.entries(last.uses)
    .filter(([region]) => region !== last.region)
    .map(([, use]) => use);
  const hasSpareCapacity = otherUtilizations.some((use) =>
    use < SPARE_CAPACITY_UTILIZATION
  );
  return hasSpareCapacity ? "refused, room elsewhere" : "refused, all full";
}
