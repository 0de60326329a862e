/**
 * Applies and hands on change sets. Versions only ever rise, so sets may come
 * late, twice, crossed and from any peer.
 *
 * @module
 */
import type { ChangeSet } from "../platform/types.ts";
import type { Applied, ReplicaState } from "./types.ts";

/** @returns An empty copy. */
export function createReplicaState(): ReplicaState {
  return { throughVersion: 0, rows: new Map() };
}

/**
 * Applies a change set.
 *
 * @param state The copy; changed in place.
 * @param changes The set.
 * @returns The rows that became newer, or the gap that forbids applying.
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
 * @param state The copy.
 * @param afterVersion Last version that the peer knows.
 * @returns Everything newer, complete up to this copy's own version.
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
