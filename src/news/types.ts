/**
 * Facts that every VM has to know, and the interface of their source.
 *
 * A fact has a key and a version that increases with each change. Updates may
 * arrive late, twice and from several VMs: the newest version wins.
 *
 * @module
 */
import type { Configuration } from "../routing/types.ts";
import type { ListedServer } from "../servers/types.ts";
import type { EpochStart, FactVersion } from "./version.ts";

/** Topics of facts that are read from a source. */
export type SourceTopic = "operations" | "servers";

/** All topics; facts of `suspects` come from the VMs themselves. */
export type Topic = SourceTopic | "suspects";

/** Topics that are read from a source, in the order of reading. */
export const SOURCE_TOPICS: readonly SourceTopic[] = ["operations", "servers"];

/** All topics. */
export const TOPICS: readonly Topic[] = [...SOURCE_TOPICS, "suspects"];

/** The content of a fact. */
export type Fact =
  | { kind: "configuration"; configuration: Configuration }
  | { kind: "evacuation"; failureDomain: string }
  | { kind: "server"; server: ListedServer }
  /** A backend server crashed while it was handling a request. */
  | {
    kind: "server_end";
    /** Fingerprint of the request; the same for each repeat of it. */
    request: string;
    /** Number of answers to the request that were reported so far. */
    round: number;
    server: string;
    /** VM that observed the crash. */
    vm: string;
    /** Unix time in ms by that VM's clock, which may be wrong. */
    seenAtMs: number;
  }
  /** A request was answered, which begins a new round. */
  | { kind: "request_answered"; request: string; round: number };

/** Key of the fact that holds the configuration. */
export const CONFIGURATION_KEY = "configuration";

/** A new version of a fact, or its removal. */
export interface FactUpdate {
  topic: Topic;
  key: string;
  version: FactVersion;
  /** Absent where the fact was removed. */
  fact?: Fact;
}

/** Updates up to one position of a topic. */
export interface FactBatch {
  items: FactUpdate[];
  /** Position in the topic up to which the batch reaches. */
  version: FactVersion;
  /** Facts that exist without a valid update: what is known of them stays. */
  invalidKeys?: readonly string[];
  /** Whether the source named no epoch, so that the version's may be wrong. */
  isEpochAssumed?: boolean;
}

/** An update as a source numbers it; its epoch is that of the answer. */
export type SourceUpdate = Omit<FactUpdate, "version"> & { version: number };

/** Updates in an answer of a source. */
export interface SourceBatch {
  items: SourceUpdate[];
  /** Position in the topic up to which the batch reaches. */
  version: number;
  /** Facts that exist without a valid update: what is known of them stays. */
  invalidKeys?: readonly string[];
  /** Absent where the source names none. */
  epoch?: number;
}

/**
 * Digest of the facts of a topic in one store. Stores with different facts have
 * different digests, except for rare collisions.
 */
export interface TopicDigest {
  /** Number of facts. */
  facts: number;
  /** Sum of the numbers of the facts' versions. */
  versionSum: number;
  /**
   * Sum of the epochs in which the facts were written; absent where the source
   * named no epoch.
   */
  epochSum?: number;
  /** Epoch starts of the topic's source; absent where it named none. */
  epochs?: EpochStart[];
}

/**
 * @param a Digest of one store.
 * @param b Digest of another store.
 * @returns Whether the stores have the same facts of the topic.
 */
export function isSameDigest(a: TopicDigest, b: TopicDigest): boolean {
  return a.facts === b.facts && a.versionSum === b.versionSum &&
    (a.epochSum ?? 0) === (b.epochSum ?? 0);
}

/** Result of following a topic. */
export type FollowResult =
  | { kind: "changes"; batch: SourceBatch }
  /** The source no longer has the changes; list the topic again. */
  | { kind: "history_lost" };

/** Persistent store of facts. Calls throw StepError on failure. */
export abstract class FactSource {
  /**
   * @param topic The topic.
   * @returns All its facts, as of one version.
   */
  abstract list(topic: SourceTopic): Promise<SourceBatch>;
  /**
   * @param topic The topic.
   * @param afterVersion Position up to which changes are known.
   * @param waitMs Maximum time to wait for a change, in ms.
   * @returns The changes after that position; empty if none came in time.
   */
  abstract follow(
    topic: SourceTopic,
    afterVersion: number,
    waitMs: number,
  ): Promise<FollowResult>;
}

/**
 * Keeps the settled epoch of a source in the source itself, so that VMs that start
 * while no other one is up can tell a source that lost nothing from one that was
 * restored: a restore begins an epoch that no VM has marked. Calls throw StepError
 * on failure.
 */
export abstract class EpochMarks {
  /** @returns The epoch that was marked last; undefined where none was. */
  abstract read(): Promise<number | undefined>;
  /** @param epoch An epoch that is settled. */
  abstract write(epoch: number): Promise<void>;
}
