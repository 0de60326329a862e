/**
 * Gauges of a gateway, exposed besides the metrics of its requests.
 *
 * @module
 */
import { type FactStore, getOldestAgeMs } from "../news/fact_store.ts";
import type { FreshnessTracker } from "../news/freshness.ts";
import { SOURCE_TOPICS } from "../news/types.ts";
import type { ReadDelay } from "../runtime/read_delay.ts";
import { MAX_COPIES } from "../placement/copies.ts";
import { isUnusualSlowdown } from "../servers/speed.ts";
import {
  createServingMetrics,
  type ServingMetrics,
} from "../telemetry/metrics.ts";
import type { Core } from "./core.ts";

/** Reported as the age of facts before there are any. */
const UNKNOWN_AGE_MS = 1_000_000_000;

/** What the gauges are read from. */
export interface GaugeSources {
  core: Core;
  factStore: FactStore;
  /** The proven age of the configuration. */
  freshness: FreshnessTracker;
  /** @returns The number of VMs that serve, by the local view. */
  countServingVms: () => number;
  readDelay: Pick<ReadDelay, "takeMaxMs">;
}

/**
 * @param sources What the gauges are read from.
 * @returns The metrics of the process.
 */
export function createGatewayMetrics(
  { core, factStore, freshness, countServingVms, readDelay }: GaugeSources,
): ServingMetrics {
  return createServingMetrics({
    backend_connections: {
      help: "Open connections to backend servers",
      read: () => core.exchange.countConnections(),
    },
    read_delay_seconds: {
      help:
        "Longest time that requests may have waited to be read, since the " +
        "last collection",
      read: () => readDelay.takeMaxMs() / 1_000,
    },
    body_bytes: {
      help: "Bytes of request and answer bodies held for clients",
      read: () => core.bodyBudget.getStats().heldBytes,
    },
    body_bytes_limit: {
      help: "Most bytes of bodies to hold; 0 without a limit",
      read: () => core.bodyBudget.getStats().limitBytes ?? 0,
    },
    body_memory_short: {
      help: "1 while large bodies lack room",
      read: () => Number(core.bodyBudget.getStats().isShort),
    },
    inflight_body_bytes: {
      help: "Bytes of large request bodies sent to servers and unanswered",
      read: () => core.inflightBodies.getStats().heldBytes,
    },
    lowered_body_limits: {
      help: "Services whose servers get fewer body bytes since some ended",
      read: () => core.inflightBodies.getStats().loweredLimits,
    },
    waiting_answers: {
      help: "Answers that wait for room in their servers' connections",
      read: () => core.bodyBudget.getStats().waitingAnswers,
    },
    overdrawn_answers: {
      help: "Answers read without room after their wait, since the start",
      read: () => core.bodyBudget.getStats().overdrawnAnswers,
    },
    stalled_clients: {
      help: "Connections closed since the client stopped reading, since the " +
        "start",
      read: () => core.bodyBudget.getStats().stalledClients,
    },
    fact_age_seconds: {
      help: "Age of the least current facts",
      read: () => Math.min(getOldestAgeMs(factStore), UNKNOWN_AGE_MS) / 1_000,
    },
    source_epoch: {
      help: "Epoch of the source of facts; rises when it is restored",
      read: () => factStore.getLatestEpoch("operations"),
    },
    source_unsettled: {
      help: "1 while facts that the source lost may be written again",
      read: () => Number(SOURCE_TOPICS.some(factStore.hasUnsettledRestore)),
    },
    knowledge_age_seconds: {
      help: "Proven age of what is known of the configuration",
      read: () => Math.min(freshness.getAgeMs(), UNKNOWN_AGE_MS) / 1_000,
    },
    limit_part: {
      help: "Part of each account's limit that the VMs heard here hold",
      read: () => core.limitShares.getShare(),
    },
    draining_servers: {
      help: "Backend servers that announced their drain and are still listed",
      read: () =>
        core.registry.listAll().filter(core.registry.isDraining).length,
    },
    slow_servers: {
      help:
        "Backend servers whose last slowdown differs from usual, with decay",
      read: () =>
        core.registry.listAll().filter(({ load }) =>
          isUnusualSlowdown(load.speed.getSlowdown())
        ).length,
    },
    backoff_servers: {
      help: "Backend servers that asked this VM to back off",
      read: () => core.serverLimits.backoffs.list().length,
    },
    limited_servers: {
      help: "Backend servers with a rate limit",
      read: () => core.serverLimits.rateLimits.count(),
    },
    avoided_servers: {
      help: "Backend servers avoided since other VMs report them unresponsive",
      read: () =>
        core.reachability.list().filter(({ avoidance }) => avoidance !== "none")
          .length,
    },
    lost_services: {
      help: "Services to whose servers this VM opens no connection",
      read: () =>
        core.reachMonitor.list().filter(({ reach }) => reach === "lost").length,
    },
    overflow_requests: {
      help:
        "Requests sent to another region since the start, as theirs was full",
      read: () => core.overflowBudget.countDiverted(),
    },
    object_copies_room: {
      help:
        "Least number of copies of all objects that caches have room for, " +
        "at most as many as an object may have",
      read: () =>
        Math.min(
          ...core.copyPlan.list().map(({ roomCopies }) => roomCopies),
          MAX_COPIES,
        ),
    },
    vms: { help: "VMs that serve, as seen here", read: countServingVms },
    suspect_requests: {
      help: "Requests under which backend servers ended lately",
      read: () => core.suspects.list().length,
    },
    requests_set_aside: {
      help: "Those of them that are not run for now",
      read: () =>
        core.suspects.list().filter(({ judgement }) =>
          judgement.kind === "set_aside"
        ).length,
    },
    configuration_version: {
      help: "Configuration in force; 0 before the first",
      read: () => core.getRoutes()?.configuration.version ?? 0,
    },
    waiting_requests: {
      help: "Requests that wait for a slot of a backend server",
      read: () => core.waitQueue.getStats().waiting,
    },
    waiting_bytes: {
      help: "Bytes of the bodies of waiting requests",
      read: () => core.waitQueue.getStats().waitingBytes,
    },
    accounts_over_share: {
      help: "Client accounts over their fair share of a service, at this VM",
      read: () =>
        Object.values(core.accountShares.listExceeded()).flat().length,
    },
  }, {
    body_limit_lowerings_total: {
      help: "Servers that ended and lowered their service's body limit",
      read: () => core.inflightBodies.getStats().lowerings,
    },
    body_limit_passed_over_total: {
      help: "Placements that left out a server at its body limit",
      read: () => core.inflightBodies.getStats().passedOver,
    },
    body_limit_unplaced_total: {
      help: "Those of them that found no other server",
      read: () => core.inflightBodies.getStats().unplaced,
    },
    server_connect_failures_total: {
      help: "Connections to backend servers that could not be opened",
      read: () => core.reachMonitor.countConnectFailures(),
    },
    attempts_by_proxy_total: {
      help: "Attempts sent by way of another VM",
      read: () => core.transport.getStats().proxied,
    },
    attempts_without_path_total: {
      help: "Attempts for which no VM was found that reaches the service",
      read: () => core.transport.getStats().withoutPath,
    },
    reachability_sent_total: {
      help:
        "Reports sent to other VMs that a server is unresponsive or responds",
      read: () => core.reachability.getStats().sent,
    },
    reachability_received_total: {
      help: "New reports received from other VMs about servers' reachability",
      read: () => core.reachability.getStats().received,
    },
    reachability_dropped_total: {
      help: "Such reports that exceeded the permitted rate",
      read: () => core.reachability.getStats().dropped,
    },
    reachability_trials_total: {
      help: "Requests sent to avoided servers to see whether they respond",
      read: () => core.reachability.getStats().trials,
    },
    requests_held_back_total: {
      help: "Requests of accounts over their share that left a slot to others",
      read: () => core.accountShares.countHeldBack(),
    },
    waits_placed_total: {
      help: "Requests that were sent to a server after they had waited",
      read: () => core.waitQueue.getStats().ended.placed,
    },
    waits_refused_total: {
      help: "Requests that were refused after they had waited",
      read: () => core.waitQueue.getStats().ended.refused,
    },
    waits_client_left_total: {
      help: "Waiting requests whose client disconnected",
      read: () => core.waitQueue.getStats().ended.client_left,
    },
    waits_displaced_total: {
      help: "Waiting requests that more urgent ones displaced",
      read: () => core.waitQueue.getStats().displaced,
    },
    waits_not_admitted_total: {
      help: "Requests that found all servers full and were refused at once",
      read: () => core.waitQueue.getStats().notAdmitted,
    },
  });
}
