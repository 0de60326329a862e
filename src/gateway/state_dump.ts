/**
 * All that a gateway believes, for a person to read.
 *
 * @module
 */
import type { MemberTable } from "../members/table.ts";
import type { VmIdentity, VmState } from "../members/types.ts";
import type { FactStore } from "../news/fact_store.ts";
import type { FreshnessTracker } from "../news/freshness.ts";
import { CONFIGURATION_KEY, SOURCE_TOPICS } from "../news/types.ts";
import type { Configuration } from "../routing/types.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { Core } from "./core.ts";

/** A dump is for a person to read. */
const MAX_DUMPED_ACCOUNTS = 200;

/** Where the state is. */
export interface StateDumpParts {
  self: VmIdentity;
  state: VmState;
  board: FactStore;
  knowledge: FreshnessTracker;
  table: MemberTable;
  core: Core;
  openRequests: number;
}

/**
 * @param parts Where the state is.
 * @returns The state as plain values.
 */
export function dumpState(parts: StateDumpParts): Record<string, unknown> {
  const { self, state, board, knowledge, table, core, openRequests } = parts;
  const ages = SOURCE_TOPICS.map((topic) => [topic, board.getAgeMs(topic)]);
  return {
    self,
    state,
    configuration: dumpConfiguration(core.getRoutes()?.configuration),
    knowledgeAgeMs: knowledge.getAgeMs(),
    factAgesMs: Object.fromEntries(ages),
    epochs: Object.fromEntries(
      SOURCE_TOPICS.map((topic) => [topic, board.listEpochs(topic)]),
    ),
    configurationVersion: board.get(CONFIGURATION_KEY)?.version,
    limitPart: core.limitPool.getShare(),
    limits: core.limiter.list(),
    serverRateLimits: core.serverLimits.rateLimits.list(),
    serverBackoffs: core.serverLimits.backoffs.list(),
    serverLimitPart: core.serverLimits.pool.getShare(),
    evacuated: core.registry.listEvacuated(),
    servers: core.registry.listAll().map((server) =>
      dumpServer(server, core.registry)
    ),
    suspects: core.suspects.list(),
    members: table.listKnown(),
    openRequests,
  };
}

/** Accounts show how many keys they have, and nothing of them. */
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
    ownRequests: load.getOwn(),
    failureShare: health.getFailureShare(),
    isEjected: health.isEjected(),
    isReplaced: server.isReplaced,
    isDraining: registry.isDraining(server),
  };
}
