/**
 * Stand-in of the backend servers of one failure domain in one process, with
 * an address to set faults and read records.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import {
  createRouter,
  listen,
  readJson,
  sendJson,
} from "../runtime/http_server.ts";
import { createRandom } from "../runtime/random.ts";
import {
  type BackendSettings,
  type RunRecord,
  type StandinBackend,
  startStandinBackend,
} from "./backend_server.ts";

/** How the process is made. */
export interface BackendsSettings {
  adminAddress: string;
  seed: number;
  servers: BackendSettings[];
}

/** What the admin address tells of one server. */
export interface BackendReport {
  id: string;
  address: string;
  service: string;
  region: string;
  slots: number;
  peak: number;
  records: RunRecord[];
}

/** A running process. */
export interface StandinBackends {
  adminAddress: string;
  servers: Map<string, StandinBackend>;
  stop(): Promise<void>;
}

/**
 * Starts the servers.
 *
 * @param settings How they are made.
 * @param clock The clock.
 * @returns The running servers.
 */
export async function startStandinBackends(
  settings: BackendsSettings,
  clock: Clock,
): Promise<StandinBackends> {
  const servers = new Map<string, StandinBackend>();
  for (const [index, made] of settings.servers.entries()) {
    const random = createRandom(settings.seed + index);
    servers.set(made.id, await startStandinBackend(made, clock, random));
  }
  const router = createRouter();
  router.put("/admin/servers/:id", async (request, response) => {
    const server = servers.get(request.params.id);
    if (server) Object.assign(server.faults, await readJson(request));
    sendJson(response, server?.faults ?? null, server ? 200 : 404);
  });
  router.get("/admin/records", (_request, response) => {
    const reports = [...servers.values()].map((server): BackendReport => ({
      id: server.settings.id,
      address: server.settings.address,
      service: server.settings.service,
      region: server.settings.region,
      slots: server.settings.slots,
      peak: server.peak(),
      records: server.records,
    }));
    sendJson(response, reports);
  });
  const admin = await listen(router, settings.adminAddress);
  return {
    adminAddress: admin.address,
    servers,
    async stop() {
      await Promise.all([...servers.values()].map((server) => server.stop()));
      admin.server.closeAllConnections();
      await admin.close();
    },
  };
}
