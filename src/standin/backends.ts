/**
 * Stand-in for the backend servers of one failure domain in one process, with
 * an admin endpoint to set faults and read records. For development only.
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

/** Settings of the process. */
export interface BackendsSettings {
  /** `host:port` of the admin endpoint. */
  adminAddress: string;
  /** Seed of the service times. */
  seed: number;
  servers: BackendSettings[];
}

/** Report of the admin endpoint about one server. */
export interface BackendReport {
  id: string;
  address: string;
  service: string;
  region: string;
  slots: number;
  /** Most requests held at once, queued ones included. */
  peak: number;
  records: RunRecord[];
}

/** The running servers of one process. */
export interface StandinBackends {
  adminAddress: string;
  /** By id. */
  servers: Map<string, StandinBackend>;
  stop(): Promise<void>;
}

/**
 * Starts the servers and the admin endpoint.
 *
 * @param settings Settings of the process.
 * @param clock The clock.
 * @returns The running servers.
 * @throws Where an address can't be listened on.
 */
export async function startStandinBackends(
  settings: BackendsSettings,
  clock: Clock,
): Promise<StandinBackends> {
  const servers = new Map<string, StandinBackend>();
  for (const [index, serverSettings] of settings.servers.entries()) {
    const random = createRandom(settings.seed + index);
    servers.set(
      serverSettings.id,
      await startStandinBackend(serverSettings, clock, random),
    );
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
