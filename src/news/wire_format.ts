/**
 * Facts as VMs tell them to each other.
 *
 * @module
 */
import type * as z from "zod";
import type { factUpdateSchema } from "./schema.ts";
import type { FactUpdate, Topic } from "./types.ts";
import { makeVersion } from "./version.ts";

/** A fact in a message. */
export type WireUpdate = z.infer<typeof factUpdateSchema>;

/**
 * @param items Facts.
 * @returns The same for a message.
 */
export function encodeUpdates(items: readonly FactUpdate[]): WireUpdate[] {
  return items.map(({ version, ...item }) => ({
    ...item,
    version: version.number,
    epoch: version.epoch,
  }));
}

/**
 * @param items Facts of a message.
 * @param getEpoch Latest epoch of a topic; VMs that name none mean that one.
 * @returns The same for the board.
 */
export function decodeUpdates(
  items: readonly WireUpdate[],
  getEpoch: (topic: Topic) => number,
): FactUpdate[] {
  return items.map(({ version, epoch, ...item }) => ({
    ...item,
    version: makeVersion(version, epoch ?? getEpoch(item.topic)),
  }));
}
