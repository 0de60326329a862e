/**
 * Reads the mark of each epoch once, and writes those that are due.
 *
 * @module
 */
import type { EpochMarks } from "./types.ts";

/** The marks of one source, as one reader uses them. */
export interface MarkKeeper {
  /**
   * @param epoch The latest epoch of the source; 0 where none is known.
   * @returns Whether its mark has yet to be read.
   */
  isUnread(epoch: number): boolean;
  /**
   * Reads the mark, once for each epoch.
   *
   * @param epoch The latest epoch of the source.
   * @returns The epoch that was marked last; undefined where none was.
   */
  read(epoch: number): Promise<number | undefined>;
  /**
   * Makes the mark of an epoch due.
   *
   * @param epoch A settled epoch.
   */
  setDue(epoch: number): void;
  /** Writes the mark that is due, if any; a failed one stays due. */
  writeDue(): Promise<void>;
}

/**
 * @param marks The marks.
 * @returns A keeper that has read none.
 */
export function createMarkKeeper(marks: EpochMarks): MarkKeeper {
  /** The latest epoch for which the mark was read; -1 before the first time. */
  let readEpoch = -1;
  let markedEpoch: number | undefined;
  let dueEpoch: number | undefined;

  return {
    isUnread: (epoch) => epoch > readEpoch,
    async read(epoch) {
      const marked = await marks.read();
      readEpoch = epoch;
      markedEpoch = marked;
      return marked;
    },
    setDue(epoch) {
      if (epoch !== markedEpoch) dueEpoch = epoch;
    },
    async writeDue() {
      const epoch = dueEpoch;
      if (epoch === undefined) return;
      dueEpoch = undefined;
      try {
        await marks.write(epoch);
        markedEpoch = epoch;
      } catch (cause) {
        dueEpoch ??= epoch;
        throw cause;
      }
    },
  };
}
