/**
 * The entry process: carries requests to backend servers.
 *
 * @module
 */
import { startAgent } from "../control/agent.ts";
import { HttpBackendClient } from "../forwarding/backend_client.ts";
import { ExpectedLatencyChoice } from "../forwarding/choice.ts";
import { createFigures } from "../forwarding/figures.ts";
import { createFlow } from "../forwarding/flow.ts";
import { createKeyRegistry } from "../forwarding/key_registry.ts";
import { createLinkLimiter } from "../forwarding/link_limit.ts";
import { createLocalRunner } from "../forwarding/local_runner.ts";
import { HttpPeerClient } from "../forwarding/peer_client.ts";
import { addCallerRoutes, addHandoverRoute } from "../forwarding/routes.ts";
import { createBlockSource } from "../lookup/routes.ts";
import { openOperatorAddress } from "../operator/routes.ts";
import { requireKey } from "../runtime/access.ts";
import { splitAddress } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { createMetrics } from "../runtime/metrics.ts";
import type { Daemon } from "../runtime/process.ts";
import { createRandom } from "../runtime/random.ts";
import type { DaemonSettings } from "../runtime/settings.ts";
import { startSteering } from "../steering/steering.ts";
import { startServerWatch } from "./server_watch.ts";

const LOAD_PERIOD_MS = 500;
/** Time beyond the longest answer's life until callers have gone elsewhere. */
const LEAVE_SLACK_MS = 700;

/**
 * Starts an entry.
 *
 * @param settings Its settings.
 * @param clock The clock.
 * @returns The running entry.
 */
export async function startEntry(
  settings: DaemonSettings,
  clock: Clock,
): Promise<Daemon> {
  const { vmId, failureDomain, region } = settings;
  const incarnation = clock.now().getTime();
  const random = createRandom(incarnation & 0x7fff_ffff);
  const statsd = settings.statsd ? splitAddress(settings.statsd) : undefined;
  const metrics = createMetrics(statsd, { vm: vmId, role: "entry" });
  const translate = (address: string) =>
    settings.peerRoutes[address] ?? address;
  const peerRouter = createRouter();
  peerRouter.use(requireKey(settings.peerKey));
  const peerServer = await listen(peerRouter, settings.peerAddress);
  const agent = startAgent({
    self: {
      id: `${vmId}/entry`,
      vmId,
      role: "entry",
      failureDomain,
      region,
      incarnation,
      state: "serving",
    },
    clock,
    key: settings.peerKey,
    platform: undefined,
    peerServer: peerServer.server,
    seeds: settings.seeds,
    translate,
  });
  const steering = startSteering({ agent, clock });
  const backends = new HttpBackendClient();
  const policy = new ExpectedLatencyChoice(random);
  const runner = createLocalRunner({ clock, random, backends, policy });
  const peers = new HttpPeerClient(settings.peerKey, translate);
  const registry = createKeyRegistry();
  const figures = createFigures({
    entryId: agent.self.id,
    failureDomain,
    runner,
    clock,
    metrics,
  });
  const flow = createFlow({
    agent,
    steering,
    runner,
    peers,
    links: createLinkLimiter(),
    registry,
    clock,
    random,
  });
  const watch = startServerWatch({ agent, runner, backends, clock });
  const operatorServer = await openOperatorAddress({
    address: settings.operatorAddress,
    key: settings.operatorKey,
    agent,
    dump: () => ({
      steering: steering.dump(),
      servers: watch.dump(),
      keys: registry.size(),
      outcomes: figures.counts(),
    }),
  });
  await agent.ready;
  const routeOptions = {
    agent,
    flow,
    figures,
    blocks: createBlockSource(agent),
    clock,
  };
  addHandoverRoute(peerRouter, routeOptions);
  const callerRouter = createRouter();
  addCallerRoutes(callerRouter, routeOptions);
  const callerServer = await listen(callerRouter, settings.callerAddress);
  const loadTimer = clock.every(
    LOAD_PERIOD_MS,
    () => agent.reportLoad(figures.read()),
  );

  function getLongestTtlMs(): number {
    const services = [...agent.config().services.values()];
    return Math.max(
      0,
      ...services.map(({ document }) => document.answerTtlMs),
    );
  }

  async function close(): Promise<void> {
    loadTimer.cancel();
    watch.close();
    steering.close();
    agent.close();
    await Promise.all([operatorServer.close(), peerServer.close()]);
    await Promise.all([backends.close(), peers.close()]);
    metrics.close();
  }

  return {
    async stop() {
      agent.leave();
      callerServer.startClosing();
      peerServer.startClosing();
      const leaveMs = getLongestTtlMs() + LEAVE_SLACK_MS;
      await new Promise<void>((resolve) => clock.after(leaveMs, resolve));
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
