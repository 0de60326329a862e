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
import type { ListedServer } from "../servers/types.ts";
import type { FactUpdate } from "./types.ts";
import type { EpochStart, FactVersion } from "./version.ts";

/** Epochs of one source. */
export interface EpochTracker {
  /**
   * @param starts What this VM or another one found out.
   * @returns Whether anything of it was new.
   */
  record(starts: readonly EpochStart[]): boolean;
  /** @returns The latest epoch that is known; 0 where none is. */
  getLatest(): number;
  /** @returns All starts that still matter, for other VMs. */
  list(): EpochStart[];
  /** @returns The latest epoch that is settled; 0 where none is. */
  getSettled(): number;
  /** @returns The epoch in which a version was written, as far as is known. */
  getOriginEpoch(version: FactVersion): number;
  /** @returns Whether news are newer than what is known under their key. */
  isNewer(news: FactUpdate, known: FactUpdate): boolean;
}

/** Restores that may follow each other before the first of them is settled. */
const MAX_STARTS = 8;

/** @returns Epochs of a source that named none. */
export function createEpochTracker(): EpochTracker {
  /** Ascending by epoch. */
  let starts: EpochStart[] = [];

  function noteOne(told: EpochStart): boolean {
    const known = starts.find(({ epoch }) => epoch === told.epoch);
    const isNews = known === undefined ||
      told.copiedThrough < known.copiedThrough ||
      told.isSettled && !known.isSettled;
    const isOver = told.epoch < getSettled();
    if (!isNews || isOver) return false;
    const others = starts.filter((start) => start !== known);
    starts = [...others, merge(told, known)]
      .sort((a, b) => a.epoch - b.epoch).slice(-MAX_STARTS);
    const settled = getSettled();
    starts = starts.filter(({ epoch }) => epoch >= settled);
    return true;
  }

  function getSettled(): number {
    return starts.findLast(({ isSettled }) => isSettled)?.epoch ?? 0;
  }

  /**
   * The latest settled epoch that confirms a version; 0 where none does. A copy
   * that is older than the begin of a settled epoch is not confirmed by it.
   */
  function getConfirmed(version: FactVersion): number {
    const origin = getOrigin(version);
    return starts.findLast(({ epoch, isSettled }) =>
      isSettled && (epoch === version.epoch || epoch <= origin)
    )?.epoch ?? 0;
  }

  function getOrigin({ epoch, number }: FactVersion): number {
    return starts.findLast((start) =>
      start.epoch <= epoch && start.copiedThrough < number
    )?.epoch ?? 0;
  }

  return {
    record: (added) => added.map(noteOne).includes(true),
    getLatest: () => starts.at(-1)?.epoch ?? 0,
    list: () => starts,
    getSettled,
    getOriginEpoch: getOrigin,
    isNewer(news, known) {
      const [a, b] = [news.version, known.version];
      if (a.epoch === b.epoch) return a.number > b.number;
      const confirmed = getConfirmed(a) - getConfirmed(b);
      if (confirmed !== 0) return confirmed > 0;
      const contents = compareContents(news, known);
      if (contents !== 0) return contents > 0;
      const origin = getOrigin(a) - getOrigin(b);
      return origin === 0 ? a.number > b.number : origin > 0;
    },
  };
}

function merge(told: EpochStart, known: EpochStart | undefined): EpochStart {
  const { epoch } = told;
  const copiedThrough = Math.min(
    told.copiedThrough,
    known?.copiedThrough ?? Infinity,
  );
  const isSettled = told.isSettled || known?.isSettled;
  const start = { epoch, copiedThrough };
  return isSettled ? { ...start, isSettled } : start;
}

/**
 * Some facts tell by themselves which of two is newer, whatever became of the
 * source: a configuration carries a number that its author raises, and a start
 * of a server that drains is never ready again.
 */
function compareContents(
  { fact: a }: FactUpdate,
  { fact: b }: FactUpdate,
): number {
  if (a?.kind === "configuration" && b?.kind === "configuration") {
    return a.configuration.version - b.configuration.version;
  }
  if (a?.kind !== "server" || b?.kind !== "server") return 0;
  if (a.server.id !== b.server.id) return 0;
  const isDraining = ({ state }: ListedServer) => Number(state === "draining");
  return isDraining(a.server) - isDraining(b.server);
}
