/**
 * Common core of steer and entry processes: HTTP servers, the control plane, the
 * weights in force, and shutdown.
 *
 * @module
 */
import type { Polka } from "polka";
import { startAgent } from "../control/agent.ts";
import type { ControlAgent } from "../control/types.ts";
import type { Role } from "../membership/types.ts";
import { serveOperatorApi } from "../operator/routes.ts";
import type { Platform } from "../platform/types.ts";
import { splitAddress } from "../runtime/address.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import {
  cutRequestsAfter,
  type HttpServer,
  listen,
} from "../runtime/http_server.ts";
import { createMetrics, type Metrics } from "../runtime/metrics.ts";
import type { Daemon } from "../runtime/process.ts";
import type { DaemonSettings } from "../runtime/settings.ts";
import { startSteering, type Steering } from "../steering/steering.ts";

/** Interval of the check whether a newer process replaced this one, in ms. */
const REPLACEMENT_CHECK_PERIOD_MS = 500;

/**
 * Time from the close of the caller address until requests that are still in
 * progress are cut, in ms: the longest deadline, and 15 s to send the answer.
 */
const MAX_FINISH_MS = 75_000;

/** Dependencies and settings of a daemon's core. */
export interface DaemonCoreOptions {
  role: Role;
  settings: DaemonSettings;
  clock: Clock;
  /** Present only on steers, which read the table. */
  platform: Platform | undefined;
  /** Router of the peer address. */
  peerRouter: Polka;
}

/** The running core of a daemon. */
export interface DaemonCore {
  agent: ControlAgent;
  steering: Steering;
  metrics: Metrics;
  /**
   * @param address A peer's address, `host:port`.
   * @returns The address to dial for it.
   */
  translate(address: string): string;
  /**
   * Starts to listen on the operator address.
   *
   * @param dump Gives the role's own state, which is added to the state dump.
   */
  startOperatorServer(dump: () => Record<string, unknown>): Promise<void>;
  /**
   * Waits until a configuration is in force, then starts to listen on the
   * caller address. To be called after `startOperatorServer`.
   *
   * @param router Router of the caller address.
   */
  startCallerServer(router: Polka): Promise<void>;
  /**
   * Creates the daemon with its graceful `stop` and its immediate `kill`. To be
   * called after `startCallerServer`.
   */
  makeDaemon(ending: ShutdownHooks): Daemon;
}

/** Shutdown steps that depend on the role. */
export interface ShutdownHooks {
  /**
   * @returns Time between the announcement that the process leaves and the close
   * of the caller address, in ms.
   */
  getNoticeMs(): number;
  /**
   * @returns Resolves when accepted work has ended that goes on without its
   *   caller.
   */
  finishWork(): Promise<void>;
  /** Stops what the role itself started. */
  close(): Promise<void>;
}

/**
 * Starts the core of a daemon and listens on the peer address.
 *
 * @param options Dependencies and settings.
 * @returns The running core.
 * @throws If the peer address can't be opened.
 */
export async function startDaemonCore(
  options: DaemonCoreOptions,
): Promise<DaemonCore> {
  const { role, settings, clock, platform, peerRouter } = options;
  const { vmId, failureDomain, region, peerAddress } = settings;
  const statsd = settings.statsd ? splitAddress(settings.statsd) : undefined;
  const metrics = createMetrics(statsd, { vm: vmId, role });
  const translate = (address: string) =>
    settings.peerRoutes[address] ?? address;
  const peerServer = await listen(peerRouter, peerAddress);
  const servers: HttpServer[] = [peerServer];
  const agent = startAgent({
    self: {
      id: `${vmId}/${role}`,
      vmId,
      role,
      failureDomain,
      region,
      incarnation: clock.now().getTime(),
      state: "serving",
    },
    clock,
    key: settings.peerKey,
    platform,
    peerServer: peerServer.server,
    seeds: settings.seeds.filter((seed) => seed !== peerAddress),
    translate,
  });
  const steering = startSteering({ agent, clock });

  let markReplaced: () => void = () => {};
  const replaced = new Promise<void>((resolve) => markReplaced = resolve);
  const replacedTimer = clock.every(REPLACEMENT_CHECK_PERIOD_MS, () => {
    if (agent.replaced()) markReplaced();
  });

  async function close(ending: ShutdownHooks): Promise<void> {
    replacedTimer.cancel();
    await ending.close();
    steering.close();
    agent.close();
    await Promise.all(servers.map((server) => server.close()));
    metrics.close();
  }

  function makeDaemon(ending: ShutdownHooks): Daemon {
    const callerServer = servers[servers.length - 1];
    return {
      replaced,
      async stop() {
        agent.leave();
        for (const server of servers) server.startClosing();
        const noticeMs = ending.getNoticeMs();
        await pause(clock, noticeMs);
        const cutTimer = cutRequestsAfter(servers, clock, MAX_FINISH_MS);
        await callerServer.close();
        // Callers that ask again by way of peers still get its answers.
        await ending.finishWork();
        // Hand-overs in progress still need the links to peers, which are
        // connections of the same server.
        void peerServer.close();
        await peerServer.waitUntilIdle();
        await close(ending);
        cutTimer.cancel();
      },
      async kill() {
        for (const { server } of servers) server.closeAllConnections();
        await close(ending);
      },
    };
  }

  return {
    agent,
    steering,
    metrics,
    translate,
    async startOperatorServer(dump) {
      servers.push(
        await serveOperatorApi({
          address: settings.operatorAddress,
          key: settings.operatorKey,
          agent,
          dump: () => ({ steering: steering.dump(), ...dump() }),
        }),
      );
    },
    async startCallerServer(router) {
      await agent.ready;
      servers.push(await listen(router, settings.callerAddress));
    },
    makeDaemon,
  };
}
