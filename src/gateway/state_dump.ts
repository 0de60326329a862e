/**
 * Dumps the state of a gateway and its view of the fleet, for people.
 *
 * @module
 */
import type { MemberTable } from "../members/table.ts";
import type { VmIdentity, VmState } from "../members/types.ts";
import type { FactStore } from "../news/fact_store.ts";
import type { FreshnessTracker } from "../news/freshness.ts";
import { CONFIGURATION_KEY, SOURCE_TOPICS } from "../news/types.ts";
import type { ProxyServerStats } from "../proxying/proxy_server.ts";
import type { Configuration } from "../routing/types.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { Core } from "./core.ts";

/** Limits the size of the dump, which is for people. */
const MAX_DUMPED_ACCOUNTS = 200;

/** Sources of the dumped state. */
export interface StateDumpOptions {
  self: VmIdentity;
  state: VmState;
  factStore: FactStore;
  freshness: FreshnessTracker;
  memberTable: MemberTable;
  core: Core;
  openRequests: number;
  /** Attempts for other VMs. */
  proxied: ProxyServerStats;
}

/**
 * @param options Sources of the state.
 * @returns The state as plain values.
 */
export function dumpState(options: StateDumpOptions): Record<string, unknown> {
  const {
    self,
    state,
    factStore,
    freshness,
    memberTable,
    core,
    openRequests,
    proxied,
  } = options;
  const ages = SOURCE_TOPICS.map((topic) => [topic, factStore.getAgeMs(topic)]);
  return {
    self,
    state,
    configuration: dumpConfiguration(core.getRoutes()?.configuration),
    knowledgeAgeMs: freshness.getAgeMs(),
    factAgesMs: Object.fromEntries(ages),
    epochs: Object.fromEntries(
      SOURCE_TOPICS.map((topic) => [topic, factStore.listEpochs(topic)]),
    ),
    configurationVersion: factStore.get(CONFIGURATION_KEY)?.version,
    limitPart: core.limitShares.getShare(),
    limits: core.limiter.list(),
    serverRateLimits: core.serverLimits.rateLimits.list(),
    serverBackoffs: core.serverLimits.backoffs.list(),
    serverLimitPart: core.serverLimits.limitShares.getShare(),
    unresponsiveServers: core.reachability.list(),
    reachability: core.reachability.getStats(),
    serviceReach: core.reachMonitor.list(),
    transport: core.transport.getStats(),
    proxied,
    objectCaches: core.copyPlan.list(),
    overflow: core.overflowBudget.list(),
    evacuated: core.registry.listEvacuated(),
    servers: core.registry.listAll().map((server) =>
      dumpServer(server, core.registry)
    ),
    suspects: core.suspects.list(),
    urgentDemand: core.urgentDemand.list(),
    accountsOverShare: core.accountShares.listExceeded(),
    waitQueue: core.waitQueue.getStats(),
    members: memberTable.listKnown(),
    openRequests,
    bodies: core.bodyBudget.getStats(),
    inflightBodies: core.inflightBodies.getStats(),
  };
}

/** Replaces the key digests of accounts by the number of keys. */
function dumpConfiguration(
  configuration: Configuration | undefined,
): Record<string, unknown> | undefined {
  if (configuration === undefined) return undefined;
  const accounts = configuration.accounts?.slice(0, MAX_DUMPED_ACCOUNTS).map((
    { keyDigests, ...account },
  ) => ({ ...account, keys: keyDigests.length }));
  return { ...configuration, accounts };
}

function dumpServer(
  server: KnownServer,
  registry: ServerRegistry,
): Record<string, unknown> {
  const { listed, load, health } = server;
  return {
    ...listed,
    use: load.getUtilization(),
    slowdown: load.speed.getSlowdown(),
    ownRequests: load.getOwn(),
    failureShare: health.getFailureShare(),
    isEjected: health.isEjected(),
    isReplaced: server.isReplaced,
    isDraining: registry.isDraining(server),
  };
}
