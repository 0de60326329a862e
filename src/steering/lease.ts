/**
 * The lease under which plans are written. Pure functions, which change only
 * the state passed in; the planner executes their decisions.
 *
 * Each candidate measures the expiry of a lease by its own monotonic clock: it
 * waits until the row has been unchanged for the whole term, so clocks need not
 * agree. Safety does not depend on time: each transaction that writes a plan
 * has the version of the lease row as a condition, so a former holder that
 * resumes late writes nothing (compare the sequencers in Burrows, "The Chubby
 * lock service", OSDI 2006).
 *
 * @module
 */
import type { Row } from "../platform/types.ts";
import * as z from "zod";

/** Key of the lease's row. */
export const LEASE_KEY = "lease/planner";
/** Time without renewal after which others may take the lease, in ms. */
export const LEASE_TERM_MS = 3_000;
/** Time between two renewals, in ms. */
export const RENEW_PERIOD_MS = 1_000;
/** Additional wait per rank, so that candidates do not collide, in ms. */
const CANDIDATE_STAGGER_MS = 1_500;

const leaseSchema = z.object({
  holder: z.string(),
  /** Incarnation of the holder's process. */
  incarnation: z.number(),
  /** Increases by 1 with each change of holder. */
  epoch: z.number(),
});

/** Value of the lease's row. */
export type Lease = z.infer<typeof leaseSchema>;

/**
 * Parses the lease's row.
 *
 * @param row The row, if known.
 * @returns The lease, or undefined where the row is absent or malformed.
 */
export function readLease(row: Row | undefined): Lease | undefined {
  if (row === undefined || row.version === 0) return undefined;
  try {
    return leaseSchema.safeParse(JSON.parse(row.value)).data;
  } catch {
    return undefined;
  }
}

/** A candidate's local view of the lease. */
export interface LeaseState {
  /** Member id of the candidate. */
  selfId: string;
  /** Incarnation of the candidate's process. */
  incarnation: number;
  /** Version of the newest row seen; 0 before any. */
  rowVersion: number;
  lease: Lease | undefined;
  /** Monotonic time at which `rowVersion` was first seen, in ms. */
  changedMs: number;
}

/** What a candidate should do about the lease. */
export type LeaseAction =
  | { action: "wait" }
  /** Write the lease if the row still has version `ifVersion`. */
  | { action: "write"; lease: Lease; ifVersion: number };

/**
 * Creates the view of a candidate that has seen no row.
 *
 * @param selfId The candidate's member id.
 * @param incarnation The incarnation of its process.
 * @param nowMs Monotonic time, in ms.
 * @returns The initial state.
 */
export function createLeaseState(
  selfId: string,
  incarnation: number,
  nowMs: number,
): LeaseState {
  return {
    selfId,
    incarnation,
    rowVersion: 0,
    lease: undefined,
    changedMs: nowMs,
  };
}

/**
 * Records the lease's row; one that is not newer is ignored.
 *
 * @param state Changed in place.
 * @param row The row as read or written.
 * @param nowMs Monotonic time, in ms.
 */
export function recordLease(
  state: LeaseState,
  row: Row,
  nowMs: number,
): void {
  if (row.version <= state.rowVersion) return;
  state.rowVersion = row.version;
  state.lease = readLease(row);
  state.changedMs = nowMs;
}

/**
 * Tells whether a candidate holds the lease by the newest row it has seen. Only
 * a conditional write can confirm that it still does.
 *
 * @param state The candidate's view.
 * @returns Whether the row names the candidate's process.
 */
export function isHolder(state: LeaseState): boolean {
  return state.lease?.holder === state.selfId &&
    state.lease.incarnation === state.incarnation;
}

/**
 * Decides whether to renew or take the lease.
 *
 * @param state The candidate's view.
 * @param rank The candidate's rank among all candidates, from 0.
 * @param nowMs Monotonic time, in ms.
 * @returns The action.
 */
export function decideLease(
  state: LeaseState,
  rank: number,
  nowMs: number,
): LeaseAction {
  const ageMs = nowMs - state.changedMs;
  const epoch = state.lease?.epoch ?? 0;
  const { selfId: holder, incarnation, rowVersion: ifVersion } = state;
  if (isHolder(state)) {
    if (ageMs < RENEW_PERIOD_MS) return { action: "wait" };
    const lease = { holder, incarnation, epoch };
    return { action: "write", lease, ifVersion };
  }
  const waitMs = (state.lease ? LEASE_TERM_MS : 0) +
    rank * CANDIDATE_STAGGER_MS;
  if (ageMs < waitMs) return { action: "wait" };
  const lease = { holder, incarnation, epoch: epoch + 1 };
  return { action: "write", lease, ifVersion };
}
