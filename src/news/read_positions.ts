/**
 * Records the position up to which a VM knows the whole history of a topic.
 *
 * A VM that lacks a fact from before that position knows that the fact was
 * removed, and not merely that it has yet to hear of it. Positions of different
 * epochs can't be compared, so there is one for each.
 *
 * @module
 */
import type { EpochTracker } from "./epochs.ts";
import type { FactVersion } from "./version.ts";

/** Positions up to which a topic is known, by epoch. */
export interface ReadPositions {
  /**
   * Records that all facts as of a position are known.
   *
   * @param position The position.
   */
  record(position: FactVersion): void;
  /**
   * @param version Version of a fact or a removal.
   * @returns Whether it lies within the history that is known.
   */
  includes(version: FactVersion): boolean;
  /**
   * @param position A position.
   * @returns Whether it isn't before the one that is recorded for its epoch.
   */
  isReachedBy(position: FactVersion): boolean;
  /** @returns The positions, in ascending order of their epochs. */
  list(): FactVersion[];
}

/**
 * Maximum number of epochs for which a position is kept: restores may follow each
 * other before the first of them is settled.
 */
const MAX_POSITIONS = 8;

/**
 * @param epochs Epochs of the topic's source; positions before the settled one
 *   are dropped, since no fact of those epochs is accepted any more.
 * @returns No positions.
 */
export function createReadPositions(
  epochs: Pick<EpochTracker, "getSettled">,
): ReadPositions {
  let positions: FactVersion[] = [];

  function list(): FactVersion[] {
    const settled = epochs.getSettled();
    if (positions.some(({ epoch }) => epoch < settled)) {
      positions = positions.filter(({ epoch }) => epoch >= settled);
    }
    return positions;
  }

  return {
    record(position) {
      if (findPosition(position, positions) !== undefined) return;
      positions = [
        ...list().filter(({ epoch }) => epoch !== position.epoch),
        position,
      ].sort((a, b) => a.epoch - b.epoch).slice(-MAX_POSITIONS);
    },
    includes: (version) => findPosition(version, positions) !== undefined,
    isReachedBy: ({ epoch, number }) =>
      positions.every((own) => own.epoch !== epoch || own.number <= number),
    list,
  };
}

/**
 * @param version A version.
 * @param positions Positions of one topic, by epoch.
 * @returns The position that the version isn't after; undefined if there is none.
 */
export function findPosition(
  version: FactVersion,
  positions: readonly FactVersion[],
): FactVersion | undefined {
  return positions.find(({ epoch, number }) =>
    epoch === version.epoch && number >= version.number
  );
}
