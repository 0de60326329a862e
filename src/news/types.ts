/**
 * Facts that every VM has to know, and where they come from.
 *
 * A fact has a key and a version that rises with each change, so facts may
 * arrive late, twice and from several sides: the highest version holds.
 *
 * @module
 */
import type { Configuration } from "../routing/types.ts";
import type { ListedServer } from "../servers/types.ts";

/** Facts come in two streams, each with its own position. */
export type Topic = "operations" | "servers";

/** All topics, in the order in which they are read. */
export const TOPICS: readonly Topic[] = ["operations", "servers"];

/** What is known under a key. */
export type Fact =
  | { kind: "configuration"; configuration: Configuration }
  | { kind: "evacuation"; failureDomain: string }
  | { kind: "server"; server: ListedServer };

/** One fact, or the news that it no longer holds. */
export interface NewsItem {
  topic: Topic;
  key: string;
  version: number;
  /** Absent where the fact was removed. */
  fact?: Fact;
}

/** Facts as of one position of a topic. */
export interface NewsBatch {
  items: NewsItem[];
  /** Position in the topic that the items reach. */
  version: number;
}

/**
 * Tells boards that know different facts of a topic apart, but for rare
 * coincidences.
 */
export interface TopicDigest {
  /** Number of facts. */
  facts: number;
  /** Sum of their versions. */
  versionSum: number;
}

/**
 * @param a A digest.
 * @param b Another.
 * @returns Whether their boards know the same facts of the topic.
 */
export function isSameDigest(a: TopicDigest, b: TopicDigest): boolean {
  return a.facts === b.facts && a.versionSum === b.versionSum;
}

/** What following a topic brought. */
export type FollowResult =
  | { kind: "changes"; batch: NewsBatch }
  /** The source no longer knows what changed since; list the topic anew. */
  | { kind: "history_lost" };

/** Where facts are kept for good. Calls throw StepError on failure. */
export abstract class FactSource {
  /**
   * @param topic The topic.
   * @returns All its facts, as of one moment.
   */
  abstract list(topic: Topic): Promise<NewsBatch>;
  /**
   * @param topic The topic.
   * @param afterVersion Position up to which changes are known.
   * @param waitMs How long to wait for a change.
   * @returns The changes after that position; none where none came in time.
   */
  abstract follow(
    topic: Topic,
    afterVersion: number,
    waitMs: number,
  ): Promise<FollowResult>;
}
