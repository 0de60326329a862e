/**
 * Where a fact stands in the history of its source.
 *
 * @module
 */

/**
 * Numbers rise with each change, but only within an epoch: a source that is
 * restored from a copy begins an epoch, in which it gives out numbers again.
 */
export interface FactVersion {
  /** 0 where the source names none. */
  epoch: number;
  number: number;
}

/** Begin of an epoch of a source. */
export interface EpochStart {
  epoch: number;
  /**
   * Facts of the epoch up to this number may stem from the copy, and be older
   * than facts of the epoch before.
   */
  copiedThrough: number;
  /**
   * Set once all that was lost has been written again: what the source lists
   * from then on holds.
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
