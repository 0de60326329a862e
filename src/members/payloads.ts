/**
 * Messages between VMs about facts, limits and activity, as opposed to those
 * about membership.
 *
 * @module
 */
import type { Activity, ActivityScope } from "../activity/types.ts";
import { decodeUsage } from "../limits/usage_encoding.ts";
import type { UsageUpdate } from "../limits/usage_sharing.ts";
import type { FactStore } from "../news/fact_store.ts";
import {
  CONFIGURATION_KEY,
  type FactUpdate,
  SOURCE_TOPICS,
  type Topic,
} from "../news/types.ts";
import {
  type DecodedUpdates,
  decodeUpdates,
  encodeUpdates,
} from "../news/wire_format.ts";
import type { RateLimitUpdate } from "../servers/rate_limits.ts";
import type { ReachabilityReport } from "../servers/reachability.ts";
import type { Log } from "../telemetry/log.ts";
import type { LinkSet, VmLink } from "./link_set.ts";
import { MAX_ITEMS, type VmMessage } from "./messages.ts";
import type { VmIdentity } from "./types.ts";

/** Callbacks for received payloads. */
export interface PayloadListeners {
  /**
   * Called with another VM's activity at backend servers.
   *
   * @param from The sender.
   * @param scope The requests that the activity covers.
   * @param activity The activity.
   */
  onActivity: (
    from: VmIdentity,
    scope: ActivityScope,
    activity: Activity,
  ) => void;
  /**
   * Called with the usage of client accounts at other VMs.
   *
   * @param from The sender.
   * @param usage The usage, and the VMs that it covers.
   */
  onUsage: (from: VmIdentity, usage: UsageUpdate) => void;
  /**
   * Called with the usage of rate-limited backend servers by other VMs.
   *
   * @param from The sender.
   * @param usage The usage, and the VMs that it covers.
   */
  onServerUsage: (from: VmIdentity, usage: UsageUpdate) => void;
  /**
   * Called with rate limits of backend servers.
   *
   * @param from The sender.
   * @param rates The rate limits.
   * @returns Those that were new to this VM.
   */
  onServerRateLimits: (
    from: VmIdentity,
    rates: RateLimitUpdate[],
  ) => RateLimitUpdate[];
  /**
   * Called with reports about backend servers that don't respond.
   *
   * @param reports The reports.
   * @returns Those that were new to this VM.
   */
  onUnreachableServers: (
    reports: ReachabilityReport[],
  ) => ReachabilityReport[];
}

/** Facts in a message, where they are split over several. */
const SPLIT_ITEMS = MAX_ITEMS / 2;
/** Most facts that one log line names. */
const MAX_LOGGED_FACTS = 5;

type FactMessage = Extract<VmMessage, { kind: "news" }>;

/**
 * Builds messages with some facts.
 *
 * @param factStore The facts of this VM.
 * @param items The facts to send.
 * @returns The messages, with the epochs that the facts refer to: one, unless it
 *   would hold more facts than a message may.
 */
export function makeFactMessages(
  factStore: FactStore,
  items: readonly FactUpdate[],
): FactMessage[] {
  const epochs = {
    operations: factStore.listEpochs("operations"),
    servers: factStore.listEpochs("servers"),
  };
  const size = items.length <= MAX_ITEMS ? MAX_ITEMS : SPLIT_ITEMS;
  const messages: FactMessage[] = [];
  for (let start = 0; start === 0 || start < items.length; start += size) {
    const part = encodeUpdates(items.slice(start, start + size));
    messages.push({ kind: "news", items: part, epochs });
  }
  return messages;
}

/**
 * Builds messages with all facts of a topic.
 *
 * @param factStore The facts of this VM.
 * @param topic The topic.
 * @returns The messages. If it is only one, it says up to where this VM knows the
 *   topic's history, so that the receiver can drop facts that were removed, and
 *   whether this VM holds all facts of the topic, so that the receiver can drop
 *   those that a restore lost.
 */
export function makeTopicMessages(
  factStore: FactStore,
  topic: Topic,
): FactMessage[] {
  const messages = makeFactMessages(factStore, factStore.listTopic(topic));
  if (topic === "suspects" || messages.length > 1) return messages;
  const readPositions = factStore.listReadPositions(topic);
  const whole = factStore.isComplete(topic) ? { whole: topic } : {};
  return [{ ...messages[0], ...whole, snapshot: { topic, readPositions } }];
}

/** Dependencies of the payload receiver. */
export interface PayloadOptions extends PayloadListeners {
  factStore: FactStore;
  links: LinkSet;
  log: Log;
  /** @returns Whether this VM forwards facts between other VMs. */
  isRelay: () => boolean;
}

/** Dispatches received payloads. */
export interface PayloadReceiver {
  /**
   * Handles a message.
   *
   * @param link The link that it arrived on.
   * @param sender The VM at the other end; undefined before its hello.
   * @param message Any message; other kinds than payloads are ignored.
   */
  receive(
    link: VmLink,
    sender: VmIdentity | undefined,
    message: VmMessage,
  ): void;
}

/**
 * Creates a payload receiver.
 *
 * @param options Its dependencies.
 * @returns The receiver.
 */
export function createPayloadReceiver(
  options: PayloadOptions,
): PayloadReceiver {
  const { factStore, links, log } = options;

  function receiveFacts(
    link: VmLink,
    { items, epochs, whole, snapshot }: FactMessage,
  ): void {
    for (const topic of SOURCE_TOPICS) {
      factStore.recordEpochs(topic, epochs?.[topic] ?? []);
    }
    const received = decodeUpdates(items, factStore.getLatestEpoch);
    logInvalid(link, received.invalid);
    logRemoved(link, received.updates);
    const topic = snapshot?.topic ?? whole;
    const updates = topic === undefined
      ? factStore.apply(received.updates)
      : factStore.applyPeerSnapshot(topic, {
        updates: received.updates,
        invalidKeys: received.invalid.map(({ key }) => key),
        readPositions: snapshot?.readPositions,
        isWhole: whole === topic,
      });
    if (updates.length === 0) return;
    logConfiguration(link, updates);
    for (const message of makeFactMessages(factStore, updates)) {
      forward(link, message);
    }
  }

  function logInvalid(
    link: VmLink,
    invalid: DecodedUpdates["invalid"],
  ): void {
    if (invalid.length === 0) return;
    const from = links.get(link)?.identity?.id ?? link.peer;
    const shown = invalid.slice(0, MAX_LOGGED_FACTS);
    log.error({ from, count: invalid.length, shown }, "skipped invalid facts");
  }

  /** Logs facts that the sender has, though the source had dropped them. */
  function logRemoved(link: VmLink, updates: readonly FactUpdate[]): void {
    const removed = updates.filter((update) =>
      update.fact !== undefined && factStore.isKnownRemoved(update)
    );
    if (removed.length === 0) return;
    const from = links.get(link)?.identity?.id ?? link.peer;
    const shown = removed.slice(0, MAX_LOGGED_FACTS)
      .map(({ key, version }) => ({ key, version }));
    const read = factStore.listReadPositions(removed[0].topic);
    log.info(
      { from, count: removed.length, shown, read },
      "VM sent facts that the source no longer has",
    );
  }

  function logConfiguration(
    link: VmLink,
    updates: readonly FactUpdate[],
  ): void {
    const update = updates.find(({ key }) => key === CONFIGURATION_KEY);
    if (update === undefined) return;
    const from = links.get(link)?.identity?.id ?? link.peer;
    log.info({ from, source: update.version }, "configuration received");
  }

  function receiveRateLimits(
    link: VmLink,
    sender: VmIdentity,
    rates: RateLimitUpdate[],
  ): void {
    const changed = options.onServerRateLimits(sender, rates);
    if (changed.length === 0) return;
    forward(link, { kind: "server_rate_limits", rates: changed });
  }

  function receiveUnreachableServers(
    link: VmLink,
    reports: ReachabilityReport[],
  ): void {
    const changed = options.onUnreachableServers(reports);
    if (changed.length === 0 || !options.isRelay()) return;
    const message = { kind: "unreachable_servers", reports: changed } as const;
    links.sendIfUnderstood(message, link);
  }

  function forward(from: VmLink, message: VmMessage): void {
    if (options.isRelay()) links.sendWhere(message, () => true, from);
  }

  function toUsage(
    { scope, vms, usage }: Extract<
      VmMessage,
      { kind: "usage" | "server_usage" }
    >,
  ): UsageUpdate {
    return { scope, vms, usage: decodeUsage(usage) };
  }

  return {
    receive(link, sender, message) {
      if (message.kind === "news") return receiveFacts(link, message);
      if (sender === undefined) return;
      switch (message.kind) {
        case "usage":
          return options.onUsage(sender, toUsage(message));
        case "server_usage":
          return options.onServerUsage(sender, toUsage(message));
        case "server_rate_limits":
          return receiveRateLimits(link, sender, message.rates);
        case "unreachable_servers":
          return receiveUnreachableServers(link, message.reports);
        case "activity": {
          const { scope, asked, forgotten, running } = message;
          const activity = { asked, forgotten, running };
          return options.onActivity(sender, scope, activity);
        }
      }
    },
  };
}
