/**
 * The gateway: one process on each VM that answers clients' directory calls
 * and carries their requests to backend servers.
 *
 * @module
 */
import type { HttpServer } from "../runtime/http_server.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { startMesh } from "../members/mesh.ts";
import { createMemberTable } from "../members/table.ts";
import type {
  VmIdentity,
  VmRegister,
  VmReport,
  VmState,
} from "../members/types.ts";
import { createNewsBoard, getOldestAgeMs } from "../news/board.ts";
import { DEFAULT_READER_TIMES, startReader } from "../news/reader.ts";
import { type FactSource, TOPICS } from "../news/types.ts";
import { createObjectMemory } from "../placement/memory.ts";
import { createRanking } from "../placement/ranking.ts";
import { createRegionPlan } from "../placement/regions.ts";
import type { RegionFigures } from "../placement/shares.ts";
import { createRetryBudget } from "../retries/budget.ts";
import { createSplitter } from "../routing/split.ts";
import { createRouteTable, type RouteTable } from "../routing/table.ts";
import { formatAddress } from "../runtime/address.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { Stoppable } from "../runtime/process.ts";
import { createRandom } from "../runtime/random.ts";
import { createColdLimit } from "../servers/cold_limit.ts";
import { createServerRegistry } from "../servers/registry.ts";
import { createDemandMeter } from "../serving/demand.ts";
import { createExchange } from "../serving/exchange.ts";
import { createFlow } from "../serving/flow.ts";
import { startFront } from "../serving/front.ts";
import { createPaceTable } from "../serving/pace.ts";
import type { WireCodec } from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import { createServingMetrics } from "../telemetry/metrics.ts";
import { type ControlPaths, serveControl } from "./control_routes.ts";
import type { GatewaySettings } from "./settings.ts";

/** What a gateway is built from. */
export interface GatewayParts {
  settings: GatewaySettings;
  clock: Clock;
  log: Log;
  source: FactSource;
  register: VmRegister;
  codec: WireCodec;
  paths: ControlPaths;
}

/** VMs of a region that read the platform for the others. */
const READERS_PER_REGION = 2;
/**
 * How long clients use a directory answer. Some use it three times as long,
 * which has to pass before a VM that leaves stops taking connections.
 */
const DIRECTORY_TTL_MS = 1_500;
const TTL_STRETCH = 3;
/** Connections that reach a leaving VM just as clients forget it. */
const LEAVE_MARGIN_MS = 300;
/** Kept back from the time to stop, for the end of the process itself. */
const EXIT_MARGIN_MS = 400;
/** Connections that don't close in this time are left to the process's end. */
const CLOSE_MS = 100;
/** Part of a server's connections that all VMs together open. */
const CONNECTION_SHARE = 0.8;
const MIN_CONNECTIONS = 2;
/** Used until a configuration tells how many a server accepts. */
const DEFAULT_CONNECTIONS = 16;
/**
 * Demand that every region is taken to have besides what was measured, in
 * requests a second: figures of the first seconds don't swing the shares.
 */
const PRIOR_DEMAND_PER_S = 10;
const MAX_RANDOM_SEED = 0x7fff_ffff;

/**
 * Starts a gateway.
 *
 * @param parts What it is built from.
 * @returns The running gateway.
 */
export async function startGateway(parts: GatewayParts): Promise<Stoppable> {
  const { settings, clock, log, codec } = parts;
  const self = makeIdentity(settings, clock);
  const table = createMemberTable(self.id, clock);
  const board = createNewsBoard(clock);
  const demand = createDemandMeter(clock);
  const random = createRandom(
    Math.floor(hashToUnit(`${self.id} ${self.incarnation}`) * MAX_RANDOM_SEED),
  );
  let state: VmState = "starting";
  let routes: RouteTable | undefined;

  const registry = createServerRegistry({
    clock,
    log,
    regions: settings.regions,
    getColdDurationMs: (service) =>
      routes?.getTerms(service)?.coldDurationMs ?? 0,
  });
  const exchange = createExchange(codec, (server) => {
    const accepted = routes?.getTerms(server.service)?.maxConnections;
    if (accepted === undefined) return DEFAULT_CONNECTIONS;
    const part = accepted * CONNECTION_SHARE / countVms();
    return Math.max(MIN_CONNECTIONS, Math.floor(part));
  });
  board.subscribe((item, previous) => {
    if (item.fact?.kind === "configuration") {
      const { configuration } = item.fact;
      routes = createRouteTable(configuration);
      log.info(
        { version: configuration.version, routes: configuration.routes.length },
        "configuration in force",
      );
    }
    registry.apply(item);
    if (previous?.kind === "server" && item.fact === undefined) {
      exchange.forget(previous.server.id);
    }
  });

  function countVms(): number {
    return listServing().length;
  }

  /** This VM is always among them. */
  function listServing(): VmIdentity[] {
    const others = table.listAlive()
      .filter((member) => member.report?.state === "serving")
      .map((member) => member.identity);
    return [self, ...others];
  }

  function listRegionVms(region: string): string[] {
    return listServing()
      .filter((identity) => identity.region === region)
      .map((identity) => identity.id);
  }

  function hasReadDuty(): boolean {
    const vms = [
      self,
      ...table.listAlive().map((member) => member.identity),
    ].filter((identity) => identity.region === self.region);
    const before = vms.filter((identity) => identity.id < self.id);
    return before.length < READERS_PER_REGION;
  }

  function getFigures(service: string): RegionFigures[] {
    const nowMs = clock.monotonicMs();
    const figures = new Map<string, RegionFigures>();
    for (const region of settings.regions.values()) {
      figures.set(region, { region, slots: 0, demand: PRIOR_DEMAND_PER_S });
    }
    for (const server of registry.listUsable(service)) {
      const isCold = server.coldUntilMs > nowMs;
      if (!isCold) figures.get(server.region)!.slots += server.listed.slots;
    }
    const own = figures.get(self.region);
    if (own !== undefined) own.demand += demand.getRates()[service] ?? 0;
    for (const { identity, report } of table.listAlive()) {
      const region = figures.get(identity.region);
      if (region !== undefined) {
        region.demand += report?.demandPerS[service] ?? 0;
      }
    }
    return [...figures.values()];
  }

  const metrics = createServingMetrics({
    backend_connections: {
      help: "Open connections to backend servers",
      read: () => exchange.countConnections(),
    },
    fact_age_seconds: {
      help: "Age of the least current facts",
      read: () => Math.min(getOldestAgeMs(board), 1e9) / 1_000,
    },
    vms: { help: "VMs that serve, as seen here", read: countVms },
    configuration_version: {
      help: "Configuration in force; 0 before the first",
      read: () => routes?.configuration.version ?? 0,
    },
  });

  const flow = createFlow({
    clock,
    log,
    random,
    registry,
    ranking: createRanking(registry),
    plan: createRegionPlan({
      clock,
      log,
      ownRegion: self.region,
      getFigures,
      maxShift: settings.bounds.maxShift,
    }),
    coldLimit: createColdLimit({
      clock,
      ownId: self.id,
      listVms: listRegionVms,
    }),
    budget: createRetryBudget({
      ratio: settings.bounds.retryRatio,
      allowance: settings.bounds.retryAllowance,
    }, countVms),
    splitter: createSplitter(),
    demand,
    pace: createPaceTable(),
    exchange,
    memory: createObjectMemory(clock),
    getTerms: (service) => routes?.getTerms(service),
  });

  const peers = await listen(
    createRouter(),
    formatAddress(settings.peerAddress),
  );
  const readers = TOPICS.map((topic) =>
    startReader(topic, {
      source: parts.source,
      board,
      clock,
      log,
      times: DEFAULT_READER_TIMES,
      hasDuty: hasReadDuty,
      onNews: (items) => mesh.passOn(items),
    })
  );
  const mesh = startMesh({
    self,
    table,
    board,
    register: parts.register,
    clock,
    log,
    server: peers.server,
    seeds: settings.seeds,
    makeReport,
  });

  function makeReport(): VmReport {
    updateState();
    const [operations, servers] = readers.map((reader) => reader.getAgeMs());
    return {
      state,
      demandPerS: demand.getRates(),
      factAgesMs: {
        ...(operations === undefined ? {} : { operations }),
        ...(servers === undefined ? {} : { servers }),
      },
    };
  }

  /** Ready once it knows routes and has heard of servers. */
  function updateState(): void {
    if (state !== "starting") return;
    const knowsServers = board.getAgeMs("servers") < Infinity;
    if (routes === undefined || !knowsServers) return;
    state = "serving";
    log.info({ version: routes.configuration.version }, "serving");
  }

  const front = await startFront({
    address: settings.frontAddress,
    codec,
    flow,
    clock,
    log,
    metrics,
    getTable: () => routes,
  });
  const control: HttpServer[] = await serveControl({
    settings,
    paths: parts.paths,
    metrics,
    isReady() {
      updateState();
      return state === "serving";
    },
    getDirectoryView() {
      updateState();
      return {
        self,
        ownState: state,
        alive: table.listAlive(),
        ttlMs: Math.min(DIRECTORY_TTL_MS, settings.bounds.maxTtlMs),
      };
    },
    dumpState: () => ({
      self,
      state,
      configuration: routes?.configuration,
      factAgesMs: Object.fromEntries(
        TOPICS.map((topic) => [topic, board.getAgeMs(topic)]),
      ),
      evacuated: registry.listEvacuated(),
      servers: registry.listAll().map((server) => ({
        ...server.listed,
        use: server.load.getUse(),
        own: server.load.getOwn(),
        failureShare: server.health.getFailureShare(),
        isEjected: server.health.isEjected(),
      })),
      members: table.listKnown(),
      openRequests: front.countOpen(),
    }),
  });
  log.info({ ...self }, "started");

  async function stop(): Promise<void> {
    const stoppedAtMs = clock.monotonicMs();
    state = "leaving";
    log.info({ openRequests: front.countOpen() }, "leaving");
    mesh.reportNow();
    front.startLeaving();
    const forgetMs = DIRECTORY_TTL_MS * TTL_STRETCH + LEAVE_MARGIN_MS;
    const lastMs = settings.bounds.graceMs - EXIT_MARGIN_MS;
    await pause(clock, Math.min(forgetMs, lastMs));
    const leftMs = lastMs - (clock.monotonicMs() - stoppedAtMs);
    await Promise.race([front.close(), pause(clock, Math.max(0, leftMs))]);
    log.info({ openRequests: front.countOpen() }, "stopped");
    readers.forEach((reader) => reader.stop());
    mesh.stop();
    control.forEach((server) => server.server.close());
    await Promise.race([exchange.close(), pause(clock, CLOSE_MS)]);
  }

  return { stop };
}

function makeIdentity(settings: GatewaySettings, clock: Clock): VmIdentity {
  return {
    id: settings.vmId,
    incarnation: `${clock.now().getTime()}-${process.pid}`,
    region: settings.region,
    failureDomain: settings.failureDomain,
    frontAddress: formatAddress(settings.frontAddress),
    peerAddress: formatAddress(settings.peerAddress),
  };
}
