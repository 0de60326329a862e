/**
 * Encodes facts for messages between VMs.
 *
 * @module
 */
import type * as z from "zod";
import type { factUpdateSchema } from "./schema.ts";
import type { FactUpdate, Topic } from "./types.ts";
import { makeVersion } from "./version.ts";

/** A fact update in a message. */
export type WireUpdate = z.infer<typeof factUpdateSchema>;

/**
 * @param updates Fact updates.
 * @returns The updates as a message carries them.
 */
export function encodeUpdates(updates: readonly FactUpdate[]): WireUpdate[] {
  return updates.map(({ version, ...update }) => ({
    ...update,
    version: version.number,
    epoch: version.epoch,
  }));
}

/**
 * @param updates Fact updates of a message.
 * @param getLatestEpoch Latest epoch of a topic, for updates of VMs that name no
 *   epoch.
 * @returns The updates as the fact store takes them.
 */
export function decodeUpdates(
  updates: readonly WireUpdate[],
  getLatestEpoch: (topic: Topic) => number,
): FactUpdate[] {
  return updates.map(({ version, epoch, ...update }) => ({
    ...update,
    version: makeVersion(version, epoch ?? getLatestEpoch(update.topic)),
  }));
}
