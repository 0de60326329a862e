/**
 * Facts as VMs tell them to each other.
 *
 * @module
 */
import type * as z from "zod";
import type { newsItemSchema } from "./schema.ts";
import type { NewsItem, Topic } from "./types.ts";
import { makeVersion } from "./version.ts";

/** A fact in a message. */
export type WireItem = z.infer<typeof newsItemSchema>;

/**
 * @param items Facts.
 * @returns The same for a message.
 */
export function packNews(items: readonly NewsItem[]): WireItem[] {
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
export function unpackNews(
  items: readonly WireItem[],
  getEpoch: (topic: Topic) => number,
): NewsItem[] {
  return items.map(({ version, epoch, ...item }) => ({
    ...item,
    version: makeVersion(version, epoch ?? getEpoch(item.topic)),
  }));
}
