/**
 * Applies change sets to a replica and collects them for peers. Row versions only
 * increase, so sets may arrive late, twice, out of order and from any peer.
 *
 * @module
 */
import type { ChangeSet } from "../platform/types.ts";
import type { Applied, ReplicaState } from "./types.ts";

/** @returns An empty replica at version 0. */
export function createReplicaState(): ReplicaState {
  return { throughVersion: 0, rows: new Map() };
}

/**
 * Applies a change set. A set that starts after the replica's version would leave
 * a gap, and is not applied.
 *
 * @param state The replica; changed in place.
 * @param changes The change set.
 * @returns The rows that became newer, or the gap.
 */
export function applyChanges(state: ReplicaState, changes: ChangeSet): Applied {
  if (changes.afterVersion > state.throughVersion) {
    return { outcome: "gap", afterVersion: state.throughVersion };
  }
  const changed = changes.rows.filter((row) => {
    const knownVersion = state.rows.get(row.key)?.version ?? 0;
    return row.version > knownVersion;
  });
  for (const row of changed) state.rows.set(row.key, row);
  state.throughVersion = Math.max(
    state.throughVersion,
    changes.throughVersion,
  );
  return { outcome: "applied", changed };
}

/**
 * Collects what a peer lacks.
 *
 * @param state The replica.
 * @param afterVersion Version up to which the peer's replica is complete.
 * @returns All newer rows, complete up to this replica's version.
 */
export function collectChanges(
  state: ReplicaState,
  afterVersion: number,
): ChangeSet {
  const rows = [...state.rows.values()]
    .filter((row) => row.version > afterVersion)
    .sort((a, b) => a.version - b.version);
  return { afterVersion, throughVersion: state.throughVersion, rows };
}
