/**
 * Epochs of a source, and which of two versions is the newer one.
 *
 * After a restore a fact may be read that is older than one of the epoch before.
 * Its number tells: up to the number at which the epoch began it may stem from
 * the copy, and so belongs to an earlier epoch; beyond it was written in this
 * one. Where that number is not known exactly, a higher one is safe: it only
 * delays facts until the epoch is settled.
 *
 * @module
 */
import type { NewsItem } from "./types.ts";
import type { EpochStart, FactVersion } from "./version.ts";

/** Epochs of one source. */
export interface Epochs {
  /**
   * @param starts What this VM or another one found out.
   * @returns Whether anything of it was new.
   */
  note(starts: readonly EpochStart[]): boolean;
  /** @returns The latest epoch that is known; 0 where none is. */
  getLatest(): number;
  /** @returns All starts that still matter, for other VMs. */
  list(): EpochStart[];
  /**
   * @returns The latest epoch of which nothing may stem from a copy any more; 0
   *   where there is none.
   */
  getSettled(): number;
  /** @returns The epoch in which a version was written, as far as is known. */
  getOrigin(version: FactVersion): number;
  /** @returns Whether news are newer than what is known under their key. */
  isNewer(news: NewsItem, known: NewsItem): boolean;
}

/** Restores that may follow each other before the first of them is settled. */
const MAX_STARTS = 8;

/** @returns Epochs of a source that named none. */
export function createEpochs(): Epochs {
  /** Ascending by epoch. */
  let starts: EpochStart[] = [];

  function noteOne({ epoch, copiedThrough }: EpochStart): boolean {
    const known = starts.find((start) => start.epoch === epoch);
    if (known !== undefined && known.copiedThrough <= copiedThrough) {
      return false;
    }
    const isOver = epoch < getSettledBefore(Infinity);
    if (isOver) return false;
    const others = starts.filter((start) => start.epoch !== epoch);
    starts = [...others, { epoch, copiedThrough }]
      .sort((a, b) => a.epoch - b.epoch).slice(-MAX_STARTS);
    // Facts of earlier epochs are older than all of a settled one.
    const settled = getSettledBefore(Infinity);
    starts = starts.filter((start) => start.epoch >= settled);
    return true;
  }

  /** The latest settled epoch up to one; 0 where none is. */
  function getSettledBefore(epoch: number): number {
    return starts.findLast((start) =>
      start.epoch <= epoch && start.copiedThrough === 0
    )?.epoch ?? 0;
  }

  function getOrigin({ epoch, number }: FactVersion): number {
    return starts.findLast((start) =>
      start.epoch <= epoch && start.copiedThrough < number
    )?.epoch ?? 0;
  }

  return {
    note: (added) => added.map(noteOne).includes(true),
    getLatest: () => starts.at(-1)?.epoch ?? 0,
    list: () => starts,
    getSettled: () => getSettledBefore(Infinity),
    getOrigin,
    isNewer(news, known) {
      const [a, b] = [news.version, known.version];
      if (a.epoch === b.epoch) return a.number > b.number;
      const settled = getSettledBefore(a.epoch) - getSettledBefore(b.epoch);
      if (settled !== 0) return settled > 0;
      const own = compareDocuments(news, known);
      if (own !== 0) return own > 0;
      const origin = getOrigin(a) - getOrigin(b);
      return origin === 0 ? a.number > b.number : origin > 0;
    },
  };
}

/**
 * A configuration carries a number that its author raises, and so tells which of
 * two is newer whatever became of the source.
 */
function compareDocuments(news: NewsItem, known: NewsItem): number {
  if (news.fact?.kind !== "configuration") return 0;
  if (known.fact?.kind !== "configuration") return 0;
  return news.fact.configuration.version - known.fact.configuration.version;
}
