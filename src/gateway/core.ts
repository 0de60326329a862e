/**
 * The decision logic of a gateway: facts, servers, placement and the handling
 * of requests, without any listening socket.
 *
 * @module
 */
import type { RateLimiter } from "../limits/limiter.ts";
import { createLimitShares, type LimitShares } from "../limits/shares.ts";
import {
  type CallerCheck,
  createCallerCheck,
} from "../accounts/caller_check.ts";
import { SharedUsageLimiter } from "../limits/shared_usage_limiter.ts";
import type { RunningRequests } from "../activity/running.ts";
import type { MemberTable } from "../members/table.ts";
import type { DemandByRegion, VmIdentity } from "../members/types.ts";
import type { VmViews } from "../members/views.ts";
import type { FactStore } from "../news/fact_store.ts";
import type { FreshnessTracker } from "../news/freshness.ts";
import type { FactUpdate } from "../news/types.ts";
import type { FactVersion } from "../news/version.ts";
import { type CopyPlan, createCopyPlan } from "../placement/copy_plan.ts";
import { createDemandSmoother } from "../placement/demand_smoothing.ts";
import { createRegionStatsReader } from "../placement/region_stats.ts";
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import { createObjectDemand } from "../placement/object_demand.ts";
import {
  createOverflowBudget,
  type OverflowBudget,
} from "../placement/overflow.ts";
import { createRanking } from "../placement/ranking.ts";
import { createRegionPlan } from "../placement/regions.ts";
import { computeShiftBudget } from "../placement/shares.ts";
import { createCacheSizeEstimator } from "../placement/cache_size.ts";
import {
  createUrgentDemand,
  listCompetingPriorities,
  type UrgentDemand,
} from "../queueing/urgency.ts";
import {
  type AccountShares,
  createAccountShares,
} from "../queueing/account_shares.ts";
import { createWaitQueue, type WaitQueue } from "../queueing/wait_queue.ts";
import {
  createSuspectTracker,
  type SuspectTracker,
} from "../quarantine/suspect_tracker.ts";
import {
  createProxyClient,
  type ProxyClient,
} from "../proxying/proxy_client.ts";
import { createProxySelection } from "../proxying/proxy_selection.ts";
import type { ProxyServerOptions } from "../proxying/proxy_server.ts";
import { createRetryBudget } from "../retries/budget.ts";
import { createSplitter } from "../routing/split.ts";
import { createRouteTable, type RouteTable } from "../routing/table.ts";
import type { Configuration } from "../routing/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { createDial } from "../runtime/dial.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { OpenSocket } from "../runtime/open_socket.ts";
import { createRandom } from "../runtime/random.ts";
import { createColdLimit } from "../servers/cold_limit.ts";
import { computeConnectionLimit } from "../servers/connection_limit.ts";
import { createCrashCheck } from "../servers/crash_check.ts";
import {
  createReachMonitor,
  type ReachMonitor,
} from "../servers/reach_monitor.ts";
import {
  createServerReachability,
  type ServerReachability,
} from "../servers/reachability.ts";
import {
  createServerRegistry,
  type KnownServer,
  type ServerRegistry,
} from "../servers/registry.ts";
import { createRunTimes } from "../servers/run_times.ts";
import type { ListedServer } from "../servers/types.ts";
import {
  type BodyBudget,
  computeBodyLimit,
  createBodyBudget,
} from "../serving/body_budget.ts";
import {
  createDemandMeter,
  type DemandMeter,
} from "../serving/demand_meter.ts";
import { createExchange, type Exchange } from "../serving/exchange.ts";
import {
  createRequestHandler,
  type RequestHandler,
} from "../serving/request_handler.ts";
import { createAttemptObserver } from "../serving/attempt_observer.ts";
import {
  createInflightBodies,
  type InflightBodies,
} from "../serving/inflight_bodies.ts";
import { createLatencyModel } from "../serving/latency_model.ts";
import { createOverflowPlacer } from "../serving/overflow_placer.ts";
import { createPlacer } from "../serving/placer.ts";
import type { ProcessEnd } from "../serving/process_end.ts";
import {
  createServerTransport,
  type ServerTransport,
} from "../serving/server_transport.ts";
import type { ExchangeResult, WireCodec } from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import { createServerLimits, type ServerLimits } from "./server_limits.ts";
import type { GatewaySettings } from "./settings.ts";

/** Dependencies of a core. */
export interface CoreOptions {
  settings: GatewaySettings;
  clock: Clock;
  log: Log;
  codec: WireCodec;
  /** Opens connections to backend servers. */
  openServerSocket: OpenSocket;
  self: VmIdentity;
  memberTable: MemberTable;
  vms: VmViews;
  cacheModel: ObjectCacheModel;
  running: RunningRequests;
  processEnd: ProcessEnd;
  factStore: FactStore;
  freshness: FreshnessTracker;
  /** @returns Demand by region as reported by hubs; undefined without hubs. */
  getFleetDemand: () => DemandByRegion | undefined;
  /**
   * Sends facts of this VM to all other VMs.
   *
   * @param updates Updates of the facts.
   */
  broadcastFacts: (updates: FactUpdate[]) => void;
}

/** The components that decide how requests are served. */
export interface Core {
  registry: ServerRegistry;
  exchange: Exchange;
  bodyBudget: BodyBudget;
  inflightBodies: InflightBodies;
  demandMeter: DemandMeter;
  urgentDemand: UrgentDemand;
  accountShares: AccountShares;
  waitQueue: WaitQueue;
  requestHandler: RequestHandler;
  callerCheck: CallerCheck;
  limiter: RateLimiter;
  limitShares: LimitShares;
  suspects: SuspectTracker;
  serverLimits: ServerLimits;
  reachability: ServerReachability;
  reachMonitor: ReachMonitor;
  transport: ServerTransport;
  proxyClient: ProxyClient;
  /** Records the result of an attempt that this VM sent for another one. */
  recordProxied: ProxyServerOptions["recordResult"];
  /** @returns Priorities that compete for a service, in ascending order. */
  getCompetingPriorities(service: string): readonly number[];
  copyPlan: CopyPlan;
  overflowBudget: OverflowBudget;
  /** @returns The current routes; undefined before the first configuration. */
  getRoutes(): RouteTable | undefined;
}

const MAX_RANDOM_SEED = 0x7fff_ffff;

/**
 * Creates the core and subscribes it to the fact store.
 *
 * @param options Dependencies of the core.
 * @returns The core.
 */
export function createCore(options: CoreOptions): Core {
  const {
    settings,
    clock,
    log,
    codec,
    self,
    memberTable,
    vms,
    factStore,
    cacheModel,
  } = options;
  let routes: RouteTable | undefined;
  const getServiceSettings = (service: string) =>
    routes?.getServiceSettings(service);
  const demandMeter = createDemandMeter(clock);
  const urgentDemand = createUrgentDemand(clock);
  const accountShares = createAccountShares(clock);
  const competingPriorities = new Map<string, readonly number[]>();
  const runTimes = createRunTimes();
  const random = createRandom(makeSeed(self));
  const countKnownVms = () => memberTable.countKnown() + 1;
  const serverLimits = createServerLimits({
    clock,
    log,
    random,
    ownId: self.id,
    countKnownVms,
    runTimes,
  });
  const { permits, rateLimits, backoffs } = serverLimits;
  const cacheSizeEstimator = createCacheSizeEstimator();
  const registry = createServerRegistry({
    clock,
    log,
    regions: settings.regions,
    getColdDurationMs: (service) =>
      getServiceSettings(service)?.coldDurationMs ?? 0,
    running: options.running,
    runTimes,
  });
  const reachability = createServerReachability({
    clock,
    log,
    random,
    ownId: self.id,
    ownDomain: self.failureDomain,
    countVms: countKnownVms,
    listAll: registry.listAll,
    listUsable: registry.listUsable,
  });

  function getCompetingPriorities(service: string): readonly number[] {
    if (routes === undefined) return [];
    const known = competingPriorities.get(service);
    if (known !== undefined) return known;
    const priorities = listCompetingPriorities(routes.configuration, service);
    competingPriorities.set(service, priorities);
    return priorities;
  }

  const serverDial = createDial(options.openServerSocket);
  const reachMonitor = createReachMonitor({
    clock,
    log,
    random,
    dial: serverDial,
    listUsable: registry.listUsable,
    getMeanRunMs: runTimes.getMeanMs,
  });
  reachMonitor.subscribe((service) => {
    // Ejections show how this VM's own connections failed.
    for (const { health } of registry.listUsable(service)) health.forgive();
    waitQueue.notify(service);
  });
  const exchange = createExchange({
    codec,
    clock,
    openSocket: options.openServerSocket,
    observer: reachMonitor,
    getConnectionLimit,
  });
  const bodyBudget = createBodyBudget({
    clock,
    log,
    random,
    limitBytes: computeBodyLimit(settings.memoryMb),
  });

  const inflightBodies = createInflightBodies({ clock, log });

  function getConnectionLimit(server: ListedServer): number {
    return computeConnectionLimit(
      getServiceSettings(server.service)?.maxConnections,
      {
        serving: vms.countServing(),
        known: countKnownVms(),
      },
    );
  }

  function applyConfiguration(
    configuration: Configuration,
    source: FactVersion,
  ): void {
    const { version } = configuration;
    routes = createRouteTable(configuration);
    competingPriorities.clear();
    log.info(
      { version, source, routes: configuration.routes.length },
      "configuration in force",
    );
  }

  factStore.subscribe((update, previous) => {
    if (update.fact?.kind === "configuration") {
      applyConfiguration(update.fact.configuration, update.version);
    }
    const revision = registry.getRevision();
    registry.apply(update);
    if (registry.getRevision() !== revision) waitQueue.notifyAll();
    if (
      previous?.kind === "server" && !isSameInstance(previous.server, update)
    ) {
      exchange.closePool(previous.server.id);
    }
  });

  const regionStats = createRegionStatsReader({
    ownRegion: self.region,
    regions: settings.regions,
    registry,
    table: memberTable,
    demandSmoother: createDemandSmoother(clock),
    getSlots: permits.getEffectiveSlots,
    getOwnDemand: demandMeter.getRates,
    getFleetDemand: options.getFleetDemand,
  });
  const regionPlan = createRegionPlan({
    clock,
    log,
    ownRegion: self.region,
    getStats: regionStats.read,
    getRequestsPerS: regionStats.getRequestsPerS,
    maxShift: settings.bounds.maxShift,
  });
  const overflowBudget = createOverflowBudget({
    clock,
    random,
    getShiftBudget: () =>
      computeShiftBudget(
        settings.bounds.maxShift,
        regionStats.getRequestsPerS(),
      ),
    getMovedShare: regionPlan.getMovedShare,
  });
  const retryBudgetSettings = {
    ratio: settings.bounds.retryRatio,
    allowance: settings.bounds.retryAllowance,
  };
  const budget = createRetryBudget(
    retryBudgetSettings,
    vms.countServing,
    self.id,
  );
  const latencyModel = createLatencyModel();
  const waitQueue = createWaitQueue({
    clock,
    log,
    random,
    registry,
    runTimes,
    latencyModel,
    getCompetingPriorities,
  });
  const suspects = createSuspectTracker({
    clock,
    log,
    ownId: self.id,
    quarantineSettings: settings.quarantine,
    publish(updates) {
      const applied = factStore.apply(updates);
      if (applied.length > 0) options.broadcastFacts(applied);
    },
    forget: (updates) => void factStore.apply(updates),
  });
  factStore.subscribe(suspects.apply);
  const objectDemand = createObjectDemand({ clock, registry });
  cacheModel.subscribe(objectDemand.record);
  const copyPlan = createCopyPlan({
    clock,
    ownRegion: self.region,
    registry,
    cacheSizeEstimator,
    demand: objectDemand,
    runTimes,
  });
  const ranking = createRanking(registry);
  const placer = createPlacer({
    clock,
    log,
    registry,
    ranking,
    plan: regionPlan,
    ownDomain: self.failureDomain,
    coldLimit: createColdLimit({
      clock,
      ownId: self.id,
      listVms: vms.listServingIds,
    }),
    permits,
    inflightBodies,
    reachability,
    latencyModel,
    cacheModel,
    cacheSizeEstimator,
    urgentDemand,
    accountShares,
    getCompetingPriorities,
    copyPlan,
    overflow: createOverflowPlacer({
      clock,
      ranking,
      permits,
      reachability,
      latencyModel,
      copyPlan,
      budget: overflowBudget,
      hearsOthers: () => vms.countServing() > 1,
    }),
    getServiceSettings,
  });
  const limitShares = createLimitShares(clock, countKnownVms);
  const limiter = new SharedUsageLimiter({
    clock,
    random,
    getShare: limitShares.getShare,
    getOwnShare: limitShares.getOwnShare,
    getStableMs: limitShares.getStableMs,
    margin: settings.accounts.limitMargin,
    findSubject: (name) => routes?.accounts?.get(name),
  });
  const callerCheck = createCallerCheck({
    log,
    random,
    bounds: settings.accounts,
    limiter,
    getKnowledgeAgeMs: options.freshness.getAgeMs,
  });
  const observer = createAttemptObserver({
    clock,
    log,
    latencyModel,
    cacheModel,
    cacheSizeEstimator,
    runTimes,
    rateLimits,
    backoffs,
    registry,
    reachability,
  });
  const proxyClient = createProxyClient(codec, clock);
  const transport = createServerTransport({
    clock,
    log,
    ownId: self.id,
    exchange,
    reach: reachMonitor,
    proxies: createProxySelection({
      clock,
      self,
      listServing: memberTable.listServing,
    }),
    proxyClient,
  });
  const crashCheck = createCrashCheck(serverDial, reachMonitor.reachesOthers);

  /** Records the result of an attempt that this VM sent for another one. */
  function recordProxied(
    server: KnownServer,
    result: ExchangeResult,
    fingerprint: string,
  ): void {
    observer.recordProxied(server, result);
    if (result.kind !== "lost" || result.reason !== "cut") return;
    crashCheck.check(server.listed).then((verdict) => {
      if (verdict !== "ended" || !registry.isUsable(server)) return;
      suspects.recordCrash(fingerprint, server.listed.id);
    });
  }

  const requestHandler = createRequestHandler({
    clock,
    log,
    random,
    registry,
    placer,
    observer,
    budget,
    splitter: createSplitter(),
    urgentDemand,
    accountShares,
    waitQueue,
    demand: {
      ...demandMeter,
      record(service) {
        demandMeter.record(service);
        overflowBudget.recordRequest(service);
      },
    },
    latencyModel,
    cacheModel,
    transport,
    crashCheck,
    suspects,
    permits,
    inflightBodies,
    limiter,
    processEnd: options.processEnd,
  });

  return {
    registry,
    exchange,
    bodyBudget,
    inflightBodies,
    demandMeter,
    urgentDemand,
    accountShares,
    waitQueue,
    requestHandler,
    callerCheck,
    limiter,
    limitShares,
    suspects,
    serverLimits,
    reachability,
    reachMonitor,
    transport,
    proxyClient,
    recordProxied,
    getCompetingPriorities,
    copyPlan,
    overflowBudget,
    getRoutes: () => routes,
  };
}

/** Whether an update is about the server instance that was listed before. */
function isSameInstance(previous: ListedServer, { fact }: FactUpdate): boolean {
  return fact?.kind === "server" && fact.server.id === previous.id;
}

/** VMs that start at the same time must not use the same random numbers. */
function makeSeed({ id, incarnation }: VmIdentity): number {
  return Math.floor(hashToUnit(`${id} ${incarnation}`) * MAX_RANDOM_SEED);
}
