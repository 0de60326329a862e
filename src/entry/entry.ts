/**
 * The entry process: forwards requests to backend servers.
 *
 * @module
 */
import { startDaemonCore } from "../daemon/daemon_core.ts";
import { HttpBackendClient } from "../forwarding/backend_client.ts";
import { ExpectedLatencyPolicy } from "../forwarding/balancing_policy.ts";
import { createPoisonRequestTracker } from "../forwarding/poison_requests.ts";
import { createEntryStats } from "../forwarding/entry_stats.ts";
import { createRequestForwarder } from "../forwarding/request_forwarder.ts";
import { createKeyRegistry } from "../forwarding/key_registry.ts";
import { createLinkLimiter } from "../forwarding/link_limiter.ts";
import { createLocalRunner } from "../forwarding/local_runner.ts";
import { HttpPeerClient } from "../forwarding/peer_client.ts";
import {
  addCallerRoutes,
  addHandoverRoute,
  createBodyBudget,
} from "../forwarding/routes.ts";
import { createBlockTableGetter } from "../lookup/routes.ts";
import { requireKey } from "../runtime/access.ts";
import type { Clock } from "../runtime/clock.ts";
import { createLogger } from "../runtime/logger.ts";
import { startReadDelay } from "../runtime/read_delay.ts";
import { createDial } from "../runtime/dial.ts";
import { openSocket } from "../runtime/open_socket.ts";
import { createRouter } from "../runtime/http_server.ts";
import type { Daemon } from "../runtime/process.ts";
import { createRandom } from "../runtime/random.ts";
import type { DaemonSettings } from "../runtime/settings.ts";
import { createCrashCheck } from "../servers/crash_check.ts";
import { startServerMonitor } from "./server_monitor.ts";

/** Interval between two load reports to the steers, in ms. */
const LOAD_REPORT_PERIOD_MS = 500;
/**
 * Time after the longest TTL of a lookup answer until callers no longer use a
 * leaving entry, in ms.
 */
const LEAVE_SLACK_MS = 700;
const log = createLogger("entry");

/** Limits seeds of the random generator to 31 bits. */
const SEED_MASK = 0x7fff_ffff;

/**
 * Starts an entry. Resolves once it accepts callers.
 *
 * @param settings Settings of the process.
 * @param clock The clock.
 * @returns The running entry.
 */
export async function startEntry(
  settings: DaemonSettings,
  clock: Clock,
): Promise<Daemon> {
  const peerRouter = createRouter();
  peerRouter.use(requireKey(settings.peerKey));
  const core = await startDaemonCore({
    role: "entry",
    settings,
    clock,
    platform: undefined,
    peerRouter,
  });
  const { agent, steering, metrics } = core;
  const random = createRandom(agent.self.incarnation & SEED_MASK);
  const backends = new HttpBackendClient();
  const policy = new ExpectedLatencyPolicy(random);
  const poisonRequests = createPoisonRequestTracker(
    clock,
    createCrashCheck(createDial(openSocket)),
  );
  const runner = createLocalRunner({
    clock,
    random,
    backends,
    policy,
    poisonRequests,
  });
  const peers = new HttpPeerClient(settings.peerKey, core.translate);
  const registry = createKeyRegistry();
  const stats = createEntryStats({ self: agent.self, runner, clock, metrics });
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
  const monitor = startServerMonitor({ agent, runner, backends, clock });
  await core.startOperatorServer(() => ({
    servers: monitor.dump(),
    keys: registry.size(),
    outcomes: stats.counts(),
  }));
  const blocks = createBlockTableGetter(agent);
  const readDelay = startReadDelay({
    clock,
    onHeldUp: (delayMs) =>
      log.warn(`Requests waited to be read for ${Math.round(delayMs)} ms`),
  });
  const routeOptions = {
    agent,
    forwarder,
    stats,
    blocks,
    clock,
    bodies: createBodyBudget(),
    readDelay,
  };
  const callerRouter = createRouter();
  addHandoverRoute(peerRouter, routeOptions);
  addCallerRoutes(callerRouter, routeOptions);
  await core.startCallerServer(callerRouter);
  const loadTimer = clock.every(
    LOAD_REPORT_PERIOD_MS,
    () => agent.reportLoad(stats.read()),
  );

  function getLongestTtlMs(): number {
    const services = [...agent.config().services.values()];
    const ttls = services.map(({ document }) => document.answerTtlMs);
    return Math.max(0, ...ttls);
  }

  return core.makeDaemon({
    getNoticeMs: () => getLongestTtlMs() + LEAVE_SLACK_MS,
    finishWork: forwarder.waitUntilIdle,
    async close() {
      loadTimer.cancel();
      readDelay.stop();
      monitor.close();
      poisonRequests.close();
      await Promise.all([backends.close(), peers.close()]);
    },
  });
}
