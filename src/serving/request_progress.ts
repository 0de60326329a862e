/**
 * State of a request while it is being served.
 *
 * @module
 */
import type { SlotProspect } from "../queueing/wait_decision.ts";
import type { Route } from "../routing/types.ts";
import type {
  CallerRequest,
  LossReason,
  RequestMetadata,
  ServerAnswer,
} from "./types.ts";

/** Deadline of requests that don't give one. */
const DEFAULT_DEADLINE_MS = 30_000;

/** State of a request that has waited for a slot. */
export interface WaitState {
  startedAtMs: number;
  /** Latest end of the wait, on the monotonic clock. */
  endsAtMs: number;
  /** Number of times that it was queued. */
  tries: number;
  isWaiting: boolean;
}

/** A request that is being served. */
export interface RequestProgress {
  request: CallerRequest;
  /** The same for each repeat of the request. */
  fingerprint: string;
  service: string;
  objectKey: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Whether servers answer faster once they have cached the object. */
  usesObjectCache: boolean;
  /** Time by which the request has to end, on the monotonic clock. */
  deadlineAtMs: number;
  /** Ids of the servers that the request was sent to. */
  triedServers: Set<string>;
  /** Ids of those, and of the servers that the request must not be sent to. */
  excludedServers: Set<string>;
  /** Attempts that were not sent since this VM's own connections failed. */
  pathFailures: number;
  /**
   * Utilization of the server that it was last sent to, in requests per slot;
   * infinite before the first attempt.
   */
  lastUtilization: number;
  /** What it can expect where all its servers were full at the last attempt. */
  prospect: SlotProspect | undefined;
  /** Undefined if it has not waited for a slot. */
  wait: WaitState | undefined;
  /** Answer to return if no retry gets a better one. */
  fallback: ServerAnswer | undefined;
  /** Why the last attempt that may have run has no answer. */
  lost: LossReason | undefined;
}

/**
 * @param route Route of a request.
 * @param metadata Metadata of the request.
 * @param arrivedAtMs When its headers had arrived, on the monotonic clock.
 * @returns Time by which the request has to end, on the monotonic clock.
 */
export function computeDeadlineAtMs(
  route: Route,
  metadata: RequestMetadata,
  arrivedAtMs: number,
): number {
  const deadlineMs = metadata.deadlineMs ?? DEFAULT_DEADLINE_MS;
  return arrivedAtMs + Math.min(route.timeoutMs, deadlineMs);
}

/**
 * @param progress A request.
 * @returns Name of the object in the servers' caches. It includes the route,
 *   since other routes cache other data for the same object.
 */
export function makeObjectName(
  { request, objectKey }: RequestProgress,
): string {
  return `${request.route.prefix} ${objectKey}`;
}
