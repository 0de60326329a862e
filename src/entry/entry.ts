/**
 * The entry process: carries requests to backend servers.
 *
 * @module
 */
import { startFrame } from "../daemon/frame.ts";
import { HttpBackendClient } from "../forwarding/backend_client.ts";
import { ExpectedLatencyPolicy } from "../forwarding/balancing_policy.ts";
import { createPoisonRequestTracker } from "../forwarding/poison_requests.ts";
import { createEntryStats } from "../forwarding/entry_stats.ts";
import { createRequestForwarder } from "../forwarding/request_forwarder.ts";
import { createKeyRegistry } from "../forwarding/key_registry.ts";
import { createLinkLimiter } from "../forwarding/link_limiter.ts";
import { createLocalRunner } from "../forwarding/local_runner.ts";
import { HttpPeerClient } from "../forwarding/peer_client.ts";
import { addCallerRoutes, addHandoverRoute } from "../forwarding/routes.ts";
import { createBlockSource } from "../lookup/routes.ts";
import { requireKey } from "../runtime/access.ts";
import type { Clock } from "../runtime/clock.ts";
import { dial } from "../runtime/dial.ts";
import { createRouter } from "../runtime/http_server.ts";
import type { Daemon } from "../runtime/process.ts";
import { createRandom } from "../runtime/random.ts";
import type { DaemonSettings } from "../runtime/settings.ts";
import { createEndCheck } from "../servers/end_check.ts";
import { startServerWatch } from "./server_watch.ts";

const LOAD_PERIOD_MS = 500;
/** Time beyond the longest answer's life until callers have gone elsewhere. */
const LEAVE_SLACK_MS = 700;
/** Seeds are 31-bit integers. */
const SEED_MASK = 0x7fff_ffff;

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
  const peerRouter = createRouter();
  peerRouter.use(requireKey(settings.peerKey));
  const frame = await startFrame({
    role: "entry",
    settings,
    clock,
    platform: undefined,
    peerRouter,
  });
  const { agent, steering, metrics } = frame;
  const random = createRandom(agent.self.incarnation & SEED_MASK);
  const backends = new HttpBackendClient();
  const policy = new ExpectedLatencyPolicy(random);
  const deadly = createPoisonRequestTracker(clock, createEndCheck(dial));
  const runner = createLocalRunner({
    clock,
    random,
    backends,
    policy,
    poisonRequests: deadly,
  });
  const peers = new HttpPeerClient(settings.peerKey, frame.translate);
  const registry = createKeyRegistry();
  const stats = createEntryStats({
    self: agent.self,
    runner,
    clock,
    metrics,
  });
  const links = createLinkLimiter();
  const forwarder = createRequestForwarder({
    agent,
    steering,
    runner,
    peers,
    links,
    registry,
    clock,
    random,
  });
  const watch = startServerWatch({ agent, runner, backends, clock });
  await frame.openOperator(() => ({
    servers: watch.dump(),
    keys: registry.size(),
    outcomes: stats.counts(),
  }));
  const blocks = createBlockSource(agent);
  const routeOptions = {
    agent,
    forwarder: forwarder,
    stats: stats,
    blocks,
    clock,
  };
  const callerRouter = createRouter();
  addHandoverRoute(peerRouter, routeOptions);
  addCallerRoutes(callerRouter, routeOptions);
  await frame.openCallers(callerRouter);
  const loadTimer = clock.every(
    LOAD_PERIOD_MS,
    () => agent.reportLoad(stats.read()),
  );

  function getLongestTtlMs(): number {
    const services = [...agent.config().services.values()];
    const ttls = services.map(({ document }) => document.answerTtlMs);
    return Math.max(0, ...ttls);
  }

  return frame.makeDaemon({
    leaveMs: () => getLongestTtlMs() + LEAVE_SLACK_MS,
    async close() {
      loadTimer.cancel();
      watch.close();
      deadly.close();
      await Promise.all([backends.close(), peers.close()]);
    },
  });
}
