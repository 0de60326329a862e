/**
 * Messages between VMs that speak of requests, facts and limits, not of who is
 * up.
 *
 * @module
 */
import type { Activity, ActivityScope } from "../activity/types.ts";
import { decodeUsage } from "../limits/usage_encoding.ts";
import type { UsageUpdate } from "../limits/usage_sharing.ts";
import type { NewsBoard } from "../news/board.ts";
import {
  CONFIGURATION_KEY,
  type NewsItem,
  SOURCE_TOPICS,
  type Topic,
} from "../news/types.ts";
import { packNews, unpackNews } from "../news/wire_form.ts";
import type { RateLimitUpdate } from "../servers/rate_limits.ts";
import type { Log } from "../telemetry/log.ts";
import type { LinkSet, VmLink } from "./link_set.ts";
import type { VmMessage } from "./messages.ts";
import type { VmIdentity } from "./types.ts";

/** Who is told of what came. */
export interface PayloadListeners {
  /** Told of what other VMs do at backend servers. */
  onActivity: (
    from: VmIdentity,
    scope: ActivityScope,
    activity: Activity,
  ) => void;
  /** Told of what client accounts used at other VMs. */
  onUsage: (from: VmIdentity, news: UsageUpdate) => void;
  /** Told of what other VMs sent to servers with a rate limit. */
  onServerUsage: (from: VmIdentity, news: UsageUpdate) => void;
  /**
   * Told of rate limits of servers.
   *
   * @returns Those that are new here.
   */
  onServerRateLimits: (
    from: VmIdentity,
    rates: RateLimitUpdate[],
  ) => RateLimitUpdate[];
}

type NewsMessage = Extract<VmMessage, { kind: "news" }>;

/**
 * @param board All facts of this VM.
 * @param items Some of them.
 * @returns The message that tells them.
 */
export function makeNewsMessage(
  board: NewsBoard,
  items: readonly NewsItem[],
): NewsMessage {
  const epochs = {
    operations: board.listEpochs("operations"),
    servers: board.listEpochs("servers"),
  };
  return { kind: "news", items: packNews(items), epochs };
}

/**
 * @param board All facts of this VM.
 * @param topic A topic.
 * @returns The message that tells all of it.
 */
export function makeTopicMessage(board: NewsBoard, topic: Topic): NewsMessage {
  const message = makeNewsMessage(board, board.listTopic(topic));
  const isWhole = topic !== "suspects" && board.isComplete(topic);
  return isWhole ? { ...message, whole: topic } : message;
}

/** What receiving needs. */
export interface PayloadParts extends PayloadListeners {
  board: NewsBoard;
  links: LinkSet;
  log: Log;
  /** Whether VMs hear of what others told by way of this one. */
  isRelay: () => boolean;
}

/** Receives payloads. */
export interface PayloadReceiver {
  /**
   * @param link The link that it came on.
   * @param sender The VM at its other end, once it said who it is.
   * @param message Any message; those of other kinds are left alone.
   */
  receive(
    link: VmLink,
    sender: VmIdentity | undefined,
    message: VmMessage,
  ): void;
}

/**
 * @param parts What receiving needs.
 * @returns The receiver.
 */
export function createPayloadReceiver(parts: PayloadParts): PayloadReceiver {
  const { board, links, log } = parts;

  function receiveNews(
    link: VmLink,
    { items, epochs, whole }: NewsMessage,
  ): void {
    for (const topic of SOURCE_TOPICS) {
      board.noteEpochs(topic, epochs?.[topic] ?? []);
    }
    const told = unpackNews(items, board.getEpoch);
    const news = whole === undefined
      ? board.apply(told)
      : board.applySettled(whole, told);
    if (news.length === 0) return;
    logConfiguration(link, news);
    passOn(link, makeNewsMessage(board, news));
  }

  function logConfiguration(link: VmLink, news: readonly NewsItem[]): void {
    const told = news.find(({ key }) => key === CONFIGURATION_KEY);
    if (told === undefined) return;
    const from = links.get(link)?.identity?.id ?? link.peer;
    log.info({ from, source: told.version }, "configuration told");
  }

  function receiveRateLimits(
    link: VmLink,
    sender: VmIdentity,
    rates: RateLimitUpdate[],
  ): void {
    const news = parts.onServerRateLimits(sender, rates);
    if (news.length === 0) return;
    passOn(link, { kind: "server_rate_limits", rates: news });
  }

  function passOn(from: VmLink, message: VmMessage): void {
    if (parts.isRelay()) links.sendWhere(message, () => true, from);
  }

  function toUsageNews(
    { scope, vms, usage }: Extract<
      VmMessage,
      { kind: "usage" | "server_usage" }
    >,
  ): UsageUpdate {
    return { scope, vms, usage: decodeUsage(usage) };
  }

  return {
    receive(link, sender, message) {
      if (message.kind === "news") return receiveNews(link, message);
      if (sender === undefined) return;
      switch (message.kind) {
        case "usage":
          return parts.onUsage(sender, toUsageNews(message));
        case "server_usage":
          return parts.onServerUsage(sender, toUsageNews(message));
        case "server_rate_limits":
          return receiveRateLimits(link, sender, message.rates);
        case "activity": {
          const { scope, asked, forgotten, running } = message;
          const activity = { asked, forgotten, running };
          return parts.onActivity(sender, scope, activity);
        }
      }
    },
  };
}
