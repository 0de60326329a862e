/**
 * The steer process: answers lookups, reads the table for its failure domain and
 * is a candidate for the planner.
 *
 * @module
 */
import { startDaemonCore } from "../daemon/daemon_core.ts";
import { addLookupRoutes } from "../lookup/routes.ts";
import { createPlatformClient } from "../platform/http_client.ts";
import type { Clock } from "../runtime/clock.ts";
import { createRouter } from "../runtime/http_server.ts";
import type { Daemon } from "../runtime/process.ts";
import type { DaemonSettings } from "../runtime/settings.ts";
import { startPlanner } from "../steering/planner.ts";

/** Time given to callers and peers to stop using a leaving steer, in ms. */
const LEAVE_NOTICE_MS = 500;

/**
 * Starts a steer. Resolves once it accepts callers.
 *
 * @param settings Settings of the process.
 * @param clock The clock.
 * @returns The running steer.
 */
export async function startSteer(
  settings: DaemonSettings,
  clock: Clock,
): Promise<Daemon> {
  const platform = createPlatformClient(settings.platformUrl);
  const core = await startDaemonCore({
    role: "steer",
    settings,
    clock,
    platform,
    peerRouter: createRouter(),
  });
  const { agent, steering, metrics } = core;
  const planner = startPlanner({ agent, platform, clock, metrics });
  await core.startOperatorServer(() => ({ planner: planner.dump() }));
  const router = createRouter();
  addLookupRoutes(router, { agent, steering, clock, metrics });
  await core.startCallerServer(router);
  return core.makeDaemon({
    getNoticeMs: () => LEAVE_NOTICE_MS,
    finishWork: () => Promise.resolve(),
    async close() {
      planner.close();
      await platform.close();
    },
  });
}
