/**
 * Encodes facts for messages between VMs.
 *
 * @module
 */
import type * as z from "zod";
import { describeIssues, factSchema, type factUpdateSchema } from "./schema.ts";
import {
  CONFIGURATION_KEY,
  type Fact,
  type FactUpdate,
  type Topic,
} from "./types.ts";
import { makeVersion } from "./version.ts";

/** A fact may have a problem in each of its fields. */
const MAX_PROBLEM_CHARS = 200;
/** Most facts of one message whose problems are described, which takes time. */
const MAX_DESCRIBED_FACTS = 10;

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

/** Facts of a message. */
export interface DecodedUpdates {
  updates: FactUpdate[];
  /**
   * Facts that are invalid here. That of a backend server counts as its removal;
   * others have no update, so that the last valid fact stays in force.
   */
  invalid: { topic: Topic; key: string; problem: string }[];
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
): DecodedUpdates {
  const decoded: DecodedUpdates = { updates: [], invalid: [] };
  for (const { topic, key, version, epoch, fact } of updates) {
    const update: FactUpdate = {
      topic,
      key,
      version: makeVersion(version, epoch ?? getLatestEpoch(topic)),
    };
    if (fact === undefined) {
      decoded.updates.push(update);
      continue;
    }
    const checked = factSchema.safeParse(fact);
    if (checked.success && belongs(topic, key, checked.data)) {
      decoded.updates.push({ ...update, fact: checked.data });
      continue;
    }
    const problem = checked.success
      ? `${checked.data.kind} under another key`
      : decoded.invalid.length < MAX_DESCRIBED_FACTS
      ? describeIssues(checked.error, MAX_PROBLEM_CHARS)
      : "invalid as well";
    decoded.invalid.push({ topic, key, problem });
    if (topic === "servers") decoded.updates.push(update);
  }
  return decoded;
}

/** Whether a fact may have a key: a configuration is large, and only one counts. */
function belongs(topic: Topic, key: string, { kind }: Fact): boolean {
  if (kind === "configuration") {
    return topic === "operations" && key === CONFIGURATION_KEY;
  }
  if (kind === "evacuation") return topic === "operations";
  if (kind === "server") return topic === "servers";
  return topic === "suspects";
}
