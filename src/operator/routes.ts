/**
 * HTTP routes of a daemon's operator address: state dump and status.
 *
 * @module
 */
import process from "node:process";
import type { ControlAgent } from "../control/types.ts";
import { requireKey } from "../runtime/access.ts";
import {
  createRouter,
  type HttpServer,
  listen,
  sendJson,
} from "../runtime/http_server.ts";

/** Options of the operator address. */
export interface OperatorServerOptions {
  /** Address to listen on, `host:port`. */
  address: string;
  /** Key that requests must carry. */
  key: string;
  agent: ControlAgent;
  /** @returns State of the process's components, by name. */
  dump(): Record<string, unknown>;
}

/** Version of a document in force. */
export interface DocumentStatus {
  name: string;
  number: number;
  rowVersion: number;
}

/** Answer of `/v1/status`. */
export interface StatusAnswer {
  id: string;
  /** Version up to which the replica is complete. */
  throughVersion: number;
  /** Time since the last read of the table; null if there was none. */
  tableAgeMs: number | null;
  documents: DocumentStatus[];
  members: {
    id: string;
    failureDomain: string;
    state: string;
    liveness: string;
  }[];
  domains: {
    failureDomain: string;
    members: number;
    /** Lowest version that all members have in force. */
    lowestVersion: number;
    behindCount: number;
  }[];
}

/**
 * Serves the operator address.
 *
 * @param options Address, key and state to serve.
 * @returns The listening server.
 */
export function serveOperatorApi(
  options: OperatorServerOptions,
): Promise<HttpServer> {
  const { address, key, agent, dump } = options;
  const router = createRouter();
  router.use(requireKey(key));
  router.get("/v1/dump", (_request, response) => {
    sendJson(response, {
      process: dumpProcess(),
      control: agent.dump(),
      ...dump(),
    });
  });
  router.get("/v1/status", (_request, response) => {
    sendJson(response, makeStatus(agent));
  });
  return listen(router, address);
}

/** Resource usage of a process. */
export interface ProcessUsage {
  /** CPU time since the start. */
  cpuMs: number;
  /** Resident set size. */
  rssBytes: number;
  uptimeS: number;
}

function dumpProcess(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return {
    cpuMs: (user + system) / 1_000,
    rssBytes: process.memoryUsage.rss(),
    uptimeS: process.uptime(),
  };
}

function makeStatus(agent: ControlAgent): StatusAnswer {
  const { fleet, services } = agent.config();
  const documents = [...services].map(([name, { number, rowVersion }]) => ({
    name,
    number,
    rowVersion,
  }));
  if (fleet) {
    const { number, rowVersion } = fleet;
    documents.unshift({ name: "fleet", number, rowVersion });
  }
  const tableAgeMs = agent.tableAgeMs();
  return {
    id: agent.self.id,
    throughVersion: agent.throughVersion(),
    tableAgeMs: Number.isFinite(tableAgeMs) ? Math.round(tableAgeMs) : null,
    documents,
    members: agent.members().map(({ member, liveness }) => ({
      id: member.id,
      failureDomain: member.failureDomain,
      state: member.state,
      liveness,
    })),
    domains: agent.views().map((view) => ({
      failureDomain: view.failureDomain,
      members: view.members.length,
      lowestVersion: view.lowestVersion,
      behindCount: view.behindCount,
    })),
  };
}
