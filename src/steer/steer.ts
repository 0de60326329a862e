/**
 * The steer process: answers look-ups, reads the table for its failure domain,
 * stands as a candidate for planning.
 *
 * @module
 */
import { startAgent } from "../control/agent.ts";
import { addLookupRoutes } from "../lookup/routes.ts";
import { openOperatorAddress } from "../operator/routes.ts";
import { createPlatformClient } from "../platform/http_client.ts";
import type { Clock } from "../runtime/clock.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { createMetrics } from "../runtime/metrics.ts";
import { splitAddress } from "../runtime/address.ts";
import type { Daemon } from "../runtime/process.ts";
import type { DaemonSettings } from "../runtime/settings.ts";
import { startPlanner } from "../steering/planner.ts";
import { startSteering } from "../steering/steering.ts";

/** Time in which other steers learn that this one leaves. */
const LEAVE_MS = 500;

/**
 * Starts a steer.
 *
 * @param settings Its settings.
 * @param clock The clock.
 * @returns The running steer.
 */
export async function startSteer(
  settings: DaemonSettings,
  clock: Clock,
): Promise<Daemon> {
  const { vmId, failureDomain, region } = settings;
  const statsd = settings.statsd ? splitAddress(settings.statsd) : undefined;
  const metrics = createMetrics(statsd, { vm: vmId, role: "steer" });
  const platform = createPlatformClient(settings.platformUrl);
  const peerServer = await listen(createRouter(), settings.peerAddress);
  const agent = startAgent({
    self: {
      id: `${vmId}/steer`,
      vmId,
      role: "steer",
      failureDomain,
      region,
      incarnation: clock.now().getTime(),
      state: "serving",
    },
    clock,
    key: settings.peerKey,
    platform,
    peerServer: peerServer.server,
    seeds: settings.seeds.filter((seed) => seed !== settings.peerAddress),
    translate: (address) => settings.peerRoutes[address] ?? address,
  });
  const steering = startSteering({ agent, clock });
  const planner = startPlanner({ agent, platform, clock, metrics });
  const operatorServer = await openOperatorAddress({
    address: settings.operatorAddress,
    key: settings.operatorKey,
    agent,
    dump: () => ({ steering: steering.dump(), planner: planner.dump() }),
  });
  await agent.ready;
  const router = createRouter();
  addLookupRoutes(router, { agent, steering, clock, metrics });
  const callerServer = await listen(router, settings.callerAddress);
  async function close(): Promise<void> {
    planner.close();
    steering.close();
    agent.close();
    await Promise.all([operatorServer.close(), peerServer.close()]);
    await platform.close();
    metrics.close();
  }

  return {
    async stop() {
      agent.leave();
      callerServer.startClosing();
      await new Promise<void>((resolve) => clock.after(LEAVE_MS, resolve));
      await callerServer.close();
      await close();
    },
    async kill() {
      for (const { server } of [callerServer, peerServer, operatorServer]) {
        server.closeAllConnections();
      }
      await Promise.all([callerServer.close(), close()]);
    },
  };
}
