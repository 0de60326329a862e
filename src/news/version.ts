/**
 * Versions of facts and epochs of their sources.
 *
 * @module
 */

/**
 * Position of a fact in the history of its source. Numbers increase with each
 * change, but only within an epoch: a source that is restored from a copy begins
 * a new epoch, in which it assigns numbers again.
 */
export interface FactVersion {
  /** 0 where the source names none. */
  epoch: number;
  number: number;
}

/** Start of an epoch of a source. */
export interface EpochStart {
  epoch: number;
  /**
   * Facts of the epoch up to this number may come from the copy, and be older
   * than facts of the epoch before.
   */
  copiedThrough: number;
  /**
   * Set once all lost facts have been written again: from then on the source's
   * listing is authoritative.
   */
  isSettled?: boolean;
}

/**
 * @param number The number.
 * @param epoch Its epoch; 0 for facts that come from no source.
 * @returns The version.
 */
export function makeVersion(number: number, epoch = 0): FactVersion {
  return { epoch, number };
}
