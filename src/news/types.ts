/**
 * Facts that every VM has to know, and where they come from.
 *
 * A fact has a key and a version that rises with each change, so facts may
 * arrive late, twice and from several sides: the newest version holds.
 *
 * @module
 */
import type { Configuration } from "../routing/types.ts";
import type { ListedServer } from "../servers/types.ts";
import type { EpochStart, FactVersion } from "./version.ts";

/** Streams of facts that are read from their source. */
export type SourceTopic = "operations" | "servers";

/** All streams; `suspects` comes from the VMs themselves. */
export type Topic = SourceTopic | "suspects";

/** Topics that are read, in that order. */
export const SOURCE_TOPICS: readonly SourceTopic[] = ["operations", "servers"];

/** All topics. */
export const TOPICS: readonly Topic[] = [...SOURCE_TOPICS, "suspects"];

/** What is known under a key. */
export type Fact =
  | { kind: "configuration"; configuration: Configuration }
  | { kind: "evacuation"; failureDomain: string }
  | { kind: "server"; server: ListedServer }
  /** A backend server ended while it had a request. */
  | {
    kind: "server_end";
    /** The same for each repeat of the request. */
    request: string;
    /** Answers to the request so far, as far as they were told. */
    round: number;
    server: string;
    /** Who saw it. */
    vm: string;
    /** When, in ms since the epoch by that VM's clock, which may be off. */
    seenAtMs: number;
  }
  /** A request was answered, which begins a round. */
  | { kind: "request_answered"; request: string; round: number };

/** Key of the configuration. */
export const CONFIGURATION_KEY = "configuration";

/** One fact, or the news that it no longer holds. */
export interface FactUpdate {
  topic: Topic;
  key: string;
  version: FactVersion;
  /** Absent where the fact was removed. */
  fact?: Fact;
}

/** Facts as of one position of a topic. */
export interface FactBatch {
  items: FactUpdate[];
  /** Position in the topic that the items reach. */
  version: FactVersion;
}

/** News as a source numbers them; their epoch is that of the answer. */
export type SourceUpdate = Omit<FactUpdate, "version"> & { version: number };

/** What a source answers. */
export interface SourceBatch {
  items: SourceUpdate[];
  /** Position in the topic that the items reach. */
  version: number;
  /** Absent where the source names none. */
  epoch?: number;
}

/**
 * Tells boards that know different facts of a topic apart, but for rare
 * coincidences.
 */
export interface TopicDigest {
  /** Number of facts. */
  facts: number;
  /** Sum of the numbers of their versions. */
  versionSum: number;
  /** Sum of the epochs in which they were written; absent where it is 0. */
  epochSum?: number;
  /** Epochs of the topic's source; absent where it named none. */
  epochs?: EpochStart[];
}

/**
 * @param a A digest.
 * @param b Another.
 * @returns Whether their boards know the same facts of the topic.
 */
export function isSameDigest(a: TopicDigest, b: TopicDigest): boolean {
  return a.facts === b.facts && a.versionSum === b.versionSum &&
    (a.epochSum ?? 0) === (b.epochSum ?? 0);
}

/** What following a topic brought. */
export type FollowResult =
  | { kind: "changes"; batch: SourceBatch }
  /** The source no longer knows what changed since; list the topic anew. */
  | { kind: "history_lost" };

/** Where facts are kept for good. Calls throw StepError on failure. */
export abstract class FactSource {
  /**
   * @param topic The topic.
   * @returns All its facts, as of one moment.
   */
  abstract list(topic: SourceTopic): Promise<SourceBatch>;
  /**
   * @param topic The topic.
   * @param afterVersion Position up to which changes are known.
   * @param waitMs How long to wait for a change.
   * @returns The changes after that position; none where none came in time.
   */
  abstract follow(
    topic: SourceTopic,
    afterVersion: number,
    waitMs: number,
  ): Promise<FollowResult>;
}
