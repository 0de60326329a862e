/**
 * All that a gateway believes, for a person to read.
 *
 * @module
 */
import type { MemberTable } from "../members/table.ts";
import type { VmIdentity, VmState } from "../members/types.ts";
import type { NewsBoard } from "../news/board.ts";
import { SOURCE_TOPICS } from "../news/types.ts";
import type { KnownServer } from "../servers/registry.ts";
import type { Core } from "./core.ts";

/** Where the state is. */
export interface StateDumpParts {
  self: VmIdentity;
  state: VmState;
  board: NewsBoard;
  table: MemberTable;
  core: Core;
  openRequests: number;
}

/**
 * @param parts Where the state is.
 * @returns The state as plain values.
 */
export function dumpState(parts: StateDumpParts): Record<string, unknown> {
  const { self, state, board, table, core, openRequests } = parts;
  const ages = SOURCE_TOPICS.map((topic) => [topic, board.getAgeMs(topic)]);
  return {
    self,
    state,
    configuration: core.getRoutes()?.configuration,
    factAgesMs: Object.fromEntries(ages),
    evacuated: core.registry.listEvacuated(),
    servers: core.registry.listAll().map(dumpServer),
    suspects: core.suspects.list(),
    members: table.listKnown(),
    openRequests,
  };
}

function dumpServer(server: KnownServer): Record<string, unknown> {
  const { listed, load, health } = server;
  return {
    ...listed,
    use: load.getUse(),
    ownRequests: load.getOwn(),
    failureShare: health.getFailureShare(),
    isEjected: health.isEjected(),
    isReplaced: server.isReplaced,
  };
}
