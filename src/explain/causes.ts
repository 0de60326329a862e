/**
 * Finds from its log lines why a request was late, refused or lost.
 *
 * @module
 */
import type { AttemptLine, ChoiceLine, RequestLines } from "./lines.ts";

/** Outcome of a request and its cause. */
export type Cause =
  | "in time"
  /** Late: there was more than one attempt. */
  | "late, retried"
  /** Late: its server had no free slot. */
  | "late, server saturated"
  /** Late: first request of the object at its server. */
  | "late, cache miss"
  /** Late: its server answered all requests slowly. */
  | "late, slow server"
  /** Late: its server should have had the object cached. */
  | "late, unexpected cache miss"
  | "late, other"
  /** Refused although another region had capacity. */
  | "refused, capacity elsewhere"
  | "refused, all saturated"
  /** Slots were free in its region, and left to more urgent requests. */
  | "refused, slots left to more urgent"
  /** Servers answered that they did not run it. */
  | "refused by servers"
  /** Its VM could not prove that the caller's key is still valid. */
  | "refused, key unproven"
  /** Rate limits or backoffs of its servers left no capacity. */
  | "refused, throttled"
  /** Its VM had no memory for its bodies. */
  | "refused, memory short"
  /** No VM that was asked reached the service. */
  | "refused, out of reach"
  | "refused, VM leaving"
  | "refused, other"
  | "over the account's limit"
  | "unknown caller"
  /** No usable answer arrived. */
  | "lost"
  | "client left";

/** All causes, in the order of tables. */
export const CAUSES: readonly Cause[] = [
  "in time",
  "late, retried",
  "late, server saturated",
  "late, cache miss",
  "late, slow server",
  "late, unexpected cache miss",
  "late, other",
  "refused, capacity elsewhere",
  "refused, all saturated",
  "refused, slots left to more urgent",
  "refused by servers",
  "refused, key unproven",
  "refused, throttled",
  "refused, memory short",
  "refused, out of reach",
  "refused, other",
  "over the account's limit",
  "unknown caller",
  "lost",
  "client left",
];

/** Requests per slot from which a request has to wait. */
const SATURATION = 1;
/** Requests per slot below which a region has spare capacity: 2 in 5 slots are free. */
const SPARE_CAPACITY_UTILIZATION = 0.6;
/** An attempt is slow if it takes this many times the median. */
const SLOW_FACTOR = 2;

/** Median times of answered attempts, in ms. */
export interface MedianTimes {
  /** @returns Median over all servers of a service, in ms. */
  serviceMedianMs(service: string): number;
  /** @returns Median at a server within the second that contains `time`, in ms. */
  serverMedianMs(server: string, time: number): number;
}

/**
 * Finds the outcome of a request and its cause.
 *
 * @param request Log lines of a request, its end included.
 * @param medians Median times of answered attempts.
 * @returns The cause.
 */
export function findCause(request: RequestLines, medians: MedianTimes): Cause {
  const { end, choices, attempts } = request;
  switch (end?.outcome) {
    case "answer":
      if (end.tookMs <= end.targetMs) return "in time";
      return findLateCause(choices, attempts, medians);
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
  medians: MedianTimes,
): Cause {
  if (attempts.length !== 1) return "late, retried";
  const [attempt] = attempts;
  const choice = choices.find(({ server }) => server === attempt.server);
  if (attempt.isFirst) return "late, cache miss";
  if ((choice?.use ?? 0) >= SATURATION) return "late, server saturated";
  if (choice === undefined) return "late, other";
  const slowMs = SLOW_FACTOR * medians.serviceMedianMs(choice.service);
  if (medians.serverMedianMs(attempt.server, attempt.time) > slowMs) {
    return "late, slow server";
  }
  return attempt.tookMs > slowMs
    ? "late, unexpected cache miss"
    : "late, other";
}

function findRefusalCause(
  choices: readonly ChoiceLine[],
  reason: string | undefined,
): Cause {
  if (reason === "not_run_anywhere") return "refused by servers";
  if (reason === "key_unproven") return "refused, key unproven";
  if (reason === "throttled") return "refused, throttled";
  if (reason === "memory_short") return "refused, memory short";
  if (reason === "out_of_reach") return "refused, out of reach";
  if (reason === "leaving") return "refused, VM leaving";
  const last = choices.at(-1);
  if (reason !== "all_full" || last?.uses === undefined) {
    return "refused, other";
  }
  const ownUtilization = last.uses[last.region ?? ""];
  if (last.slotsLeftFree > 0 && ownUtilization < SATURATION) {
    return "refused, slots left to more urgent";
  }
  const otherUtilizations = Object.entries(last.uses)
    .filter(([region]) => region !== last.region)
    .map(([, use]) => use);
  const hasSpareCapacity = otherUtilizations.some((use) =>
    use < SPARE_CAPACITY_UTILIZATION
  );
  return hasSpareCapacity
    ? "refused, capacity elsewhere"
    : "refused, all saturated";
}
