/**
 * The operator address of every daemon: state dump and status.
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

/** What the operator address shows. */
export interface OperatorServerOptions {
  address: string;
  key: string;
  agent: ControlAgent;
  /** State of the process's slices, by name. */
  dump(): Record<string, unknown>;
}

/** A document's version in force. */
export interface DocumentStatus {
  name: string;
  number: number;
  rowVersion: number;
}

/** Answer of `/v1/status`. */
export interface StatusAnswer {
  id: string;
  throughVersion: number;
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
    lowestVersion: number;
    behindCount: number;
  }[];
}

/**
 * Opens the operator address.
 *
 * @param options See there.
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

/** What the process has used since it started. */
export interface ProcessUsage {
  cpuMs: number;
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
