/**
 * What a steer and an entry have in common: listeners, the control side, the
 * weights in force, and how all of it ends.
 *
 * @module
 */
import type { Polka } from "polka";
import { startAgent } from "../control/agent.ts";
import type { ControlAgent } from "../control/types.ts";
import type { Role } from "../membership/types.ts";
import { openOperatorAddress } from "../operator/routes.ts";
import type { Platform } from "../platform/types.ts";
import { splitAddress } from "../runtime/address.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import { type HttpServer, listen } from "../runtime/http_server.ts";
import { createMetrics, type Metrics } from "../runtime/metrics.ts";
import type { Daemon } from "../runtime/process.ts";
import type { DaemonSettings } from "../runtime/settings.ts";
import { startSteering, type Steering } from "../steering/steering.ts";

/** Time between two looks whether a newer process took the place. */
const REPLACEMENT_CHECK_PERIOD_MS = 500;

/** How a daemon is made. */
export interface DaemonCoreOptions {
  role: Role;
  settings: DaemonSettings;
  clock: Clock;
  /** Only steers read the platform. */
  platform: Platform | undefined;
  /** Routes of the peer address. */
  peerRouter: Polka;
}

/** The common part of a daemon that runs. */
export interface DaemonCore {
  agent: ControlAgent;
  steering: Steering;
  metrics: Metrics;
  /** Gives the address to dial for a peer's address. */
  translate(address: string): string;
  /** Opens the operator address; `dump` adds the role's own state. */
  startOperatorServer(dump: () => Record<string, unknown>): Promise<void>;
  /** Opens the callers' address once a configuration is in force. */
  startCallerServer(router: Polka): Promise<void>;
  /** Makes the daemon's two ways to end. */
  makeDaemon(ending: ShutdownHooks): Daemon;
}

/** What a role adds to the end of a daemon. */
export interface ShutdownHooks {
  /** Time in which callers and peers learn that it leaves, in ms. */
  getNoticeMs(): number;
  /** Ends what the role itself started. */
  close(): Promise<void>;
}

/**
 * Starts the common part.
 *
 * @param options See there.
 * @returns The running part.
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
        const leaveMs = ending.getNoticeMs();
        await pause(clock, leaveMs);
        await callerServer.close();
        await close(ending);
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
        await openOperatorAddress({
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
