/**
 * Tracks the epochs of a source, and decides which of two versions is newer.
 *
 * After a restore, a fact that is read may be older than one of the epoch before.
 * Its number shows which: up to the number at which the epoch began, the fact may
 * come from the copy and so belong to an earlier epoch; beyond it, the fact was
 * written in this epoch. Where that number isn't known exactly, a higher one is
 * safe: it only delays facts until the epoch is settled.
 *
 * A configuration carries a number of its own, which decides within an epoch too.
 *
 * @module
 */
import type { ListedServer } from "../servers/types.ts";
import { CONFIGURATION_KEY, type FactUpdate } from "./types.ts";
import type { EpochStart, FactVersion } from "./version.ts";

/** Epochs of one source. */
export interface EpochTracker {
  /**
   * Records epoch starts.
   *
   * @param starts Epoch starts that this VM or another one found.
   * @returns Whether any of them was new.
   */
  record(starts: readonly EpochStart[]): boolean;
  /** @returns The latest epoch that is known; 0 where none is. */
  getLatest(): number;
  /**
   * @returns The starts of the latest settled epoch and of those after it, in
   *   ascending order, to be sent to other VMs.
   */
  list(): EpochStart[];
  /** @returns The latest epoch that is settled; 0 where none is. */
  getSettled(): number;
  /**
   * @param version A version.
   * @returns The epoch in which it was written, as far as is known; 0 where none
   *   is.
   */
  getOriginEpoch(version: FactVersion): number;
  /**
   * @param update An update.
   * @param current The stored update with the same key.
   * @returns Whether the update is newer than the stored one.
   */
  isNewer(update: FactUpdate, current: FactUpdate): boolean;
}

/**
 * Maximum number of epoch starts that are kept: restores may follow each other
 * before the first of them is settled.
 */
const MAX_EPOCH_STARTS = 8;

/** @returns A tracker for a source that has named no epoch. */
export function createEpochTracker(): EpochTracker {
  /** In ascending order of the epoch. */
  let starts: EpochStart[] = [];

  function recordStart(reported: EpochStart): boolean {
    const known = starts.find(({ epoch }) => epoch === reported.epoch);
    const isNew = known === undefined ||
      reported.copiedThrough < known.copiedThrough ||
      reported.isSettled && !known.isSettled;
    const isObsolete = reported.epoch < getSettled();
    if (!isNew || isObsolete) return false;
    const others = starts.filter((start) => start !== known);
    starts = [...others, mergeStarts(reported, known)]
      .sort((a, b) => a.epoch - b.epoch).slice(-MAX_EPOCH_STARTS);
    const settled = getSettled();
    starts = starts.filter(({ epoch }) => epoch >= settled);
    return true;
  }

  function getSettled(): number {
    return starts.findLast(({ isSettled }) => isSettled)?.epoch ?? 0;
  }

  /**
   * Returns the latest settled epoch that confirms a version; 0 where none does.
   * A settled epoch doesn't confirm a copied fact that is older than its start.
   */
  function getConfirmingEpoch(version: FactVersion): number {
    const origin = getOriginEpoch(version);
    return starts.findLast(({ epoch, isSettled }) =>
      isSettled && (epoch === version.epoch || epoch <= origin)
    )?.epoch ?? 0;
  }

  function getOriginEpoch({ epoch, number }: FactVersion): number {
    return starts.findLast((start) =>
      start.epoch <= epoch && start.copiedThrough < number
    )?.epoch ?? 0;
  }

  return {
    record: (reported) => reported.map(recordStart).includes(true),
    getLatest: () => starts.at(-1)?.epoch ?? 0,
    list: () => starts,
    getSettled,
    getOriginEpoch,
    isNewer(update, current) {
      const [a, b] = [update.version, current.version];
      if (a.epoch === b.epoch && !isConfiguration(update)) {
        return a.number > b.number;
      }
      const confirmingOrder = getConfirmingEpoch(a) - getConfirmingEpoch(b);
      if (confirmingOrder !== 0) return confirmingOrder > 0;
      const contentOrder = compareContents(update, current);
      if (contentOrder !== 0) return contentOrder > 0;
      const originOrder = getOriginEpoch(a) - getOriginEpoch(b);
      return originOrder === 0 ? a.number > b.number : originOrder > 0;
    },
  };
}

/** Keeps the lower number, and the epoch settled if either start says so. */
function mergeStarts(
  reported: EpochStart,
  known: EpochStart | undefined,
): EpochStart {
  const { epoch } = reported;
  const copiedThrough = Math.min(
    reported.copiedThrough,
    known?.copiedThrough ?? Infinity,
  );
  const isSettled = reported.isSettled || known?.isSettled;
  const start = { epoch, copiedThrough };
  return isSettled ? { ...start, isSettled } : start;
}

/** The source also accepts an older configuration within an epoch. */
function isConfiguration({ key }: FactUpdate): boolean {
  return key === CONFIGURATION_KEY;
}

/**
 * Compares facts whose contents show which is newer, whatever happened to the
 * source: a configuration carries a number that its author increments, and a
 * server start that drains never becomes ready again.
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
