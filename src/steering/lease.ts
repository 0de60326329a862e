/**
 * The lease under which plans are written. Pure: it decides, the planner acts.
 *
 * A holder's lease lapses by the candidates' own clocks: they wait until the
 * row has not changed for its whole term, so clocks need not agree. Safety does
 * not rest on time at all: each write of a plan names the version of the lease
 * row in its transaction, so a holder that wakes late writes nothing (see
 * "fencing" in Burrows, "The Chubby lock service", OSDI 2006).
 *
 * @module
 */
import type { Row } from "../platform/types.ts";
import * as z from "zod";

/** Key of the lease's row. */
export const LEASE_KEY = "lease/planner";
/** Time without renewal after which others may take the lease. */
export const LEASE_TERM_MS = 3_000;
/** Time between two renewals. */
export const RENEW_PERIOD_MS = 1_000;
/** Further wait of each candidate behind the first. */
const CANDIDATE_STAGGER_MS = 1_500;

const leaseSchema = z.object({
  holder: z.string(),
  /** Incarnation of the holder. */
  incarnation: z.number(),
  /** Rises with each change of holder. */
  epoch: z.number(),
});

/** Content of the lease's row. */
export type Lease = z.infer<typeof leaseSchema>;

/**
 * @param row The lease's row, if known.
 * @returns What it holds, or undefined where it is absent or malformed.
 */
export function readLease(row: Row | undefined): Lease | undefined {
  if (row === undefined || row.version === 0) return undefined;
  try {
    return leaseSchema.safeParse(JSON.parse(row.value)).data;
  } catch {
    return undefined;
  }
}

/** What a candidate knows of the lease. */
export interface LeaseState {
  selfId: string;
  incarnation: number;
  /** Newest row seen. */
  rowVersion: number;
  lease: Lease | undefined;
  /** When `rowVersion` was first seen, in monotonic ms. */
  changedMs: number;
}

/** What to do now. */
export type LeaseAction =
  | { action: "wait" }
  /** Write this lease if the row still has the version. */
  | { action: "write"; lease: Lease; ifVersion: number };

/**
 * @param selfId The candidate's member id.
 * @param incarnation Its incarnation.
 * @param nowMs Monotonic time, in ms.
 * @returns Knowledge of a candidate that has seen nothing.
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
 * Takes in the lease's row.
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
 * @param state What the candidate knows.
 * @returns Whether the newest row names it. Only a write decides whether it
 * still holds.
 */
export function isHolder(state: LeaseState): boolean {
  return state.lease?.holder === state.selfId &&
    state.lease.incarnation === state.incarnation;
}

/**
 * Decides what to do about the lease.
 *
 * @param state What the candidate knows.
 * @param rank Its place among the candidates, from 0.
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
