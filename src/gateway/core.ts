/**
 * What a gateway decides with: facts, servers, placement and the flow of
 * requests, without any address that listens.
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
import { createDemandSmoother } from "../placement/demand_smoothing.ts";
import { createRegionStatsReader } from "../placement/region_stats.ts";
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import { createRanking } from "../placement/ranking.ts";
import { createRegionPlan } from "../placement/regions.ts";
import { createCacheSizeEstimator } from "../placement/cache_size.ts";
import {
  createSuspectTracker,
  type SuspectTracker,
} from "../quarantine/suspect_tracker.ts";
import { createRetryBudget } from "../retries/budget.ts";
import { createSplitter } from "../routing/split.ts";
import { createRouteTable, type RouteTable } from "../routing/table.ts";
import type { Configuration } from "../routing/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { dial } from "../runtime/dial.ts";
import { hashToUnit } from "../runtime/hash.ts";
import { createRandom } from "../runtime/random.ts";
import { createColdLimit } from "../servers/cold_limit.ts";
import { computeConnectionLimit } from "../servers/connection_limit.ts";
import { createCrashCheck } from "../servers/crash_check.ts";
import {
  createServerRegistry,
  type ServerRegistry,
} from "../servers/registry.ts";
import { createRunTimes } from "../servers/run_times.ts";
import type { ListedServer } from "../servers/types.ts";
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
import { createLatencyModel } from "../serving/latency_model.ts";
import { createPlacer } from "../serving/placer.ts";
import type { WireCodec } from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import { createServerLimits, type ServerLimits } from "./server_limits.ts";
import type { GatewaySettings } from "./settings.ts";

/** What a core is built from. */
export interface CoreParts {
  settings: GatewaySettings;
  clock: Clock;
  log: Log;
  codec: WireCodec;
  self: VmIdentity;
  table: MemberTable;
  vms: VmViews;
  memory: ObjectCacheModel;
  running: RunningRequests;
  board: FactStore;
  knowledge: FreshnessTracker;
  /** Demand by region where hubs tell of it. */
  getFleetDemand: () => DemandByRegion | undefined;
  /** Passes facts of this VM on to all others. */
  passOn: (items: FactUpdate[]) => void;
}

/** The deciding parts of a gateway. */
export interface Core {
  registry: ServerRegistry;
  exchange: Exchange;
  demand: DemandMeter;
  flow: RequestHandler;
  callerCheck: CallerCheck;
  limiter: RateLimiter;
  limitPool: LimitShares;
  suspects: SuspectTracker;
  serverLimits: ServerLimits;
  /** @returns Routes in force; undefined before the first configuration. */
  getRoutes(): RouteTable | undefined;
}

const MAX_RANDOM_SEED = 0x7fff_ffff;

/**
 * @param parts What the core is built from.
 * @returns A core that follows the board's facts.
 */
export function createCore(parts: CoreParts): Core {
  const { settings, clock, log, codec, self, table, vms, board, memory } =
    parts;
  let routes: RouteTable | undefined;
  const getTerms = (service: string) => routes?.getServiceSettings(service);
  const demand = createDemandMeter(clock);
  const runTimes = createRunTimes();
  const random = createRandom(makeSeed(self));
  const countKnown = () => table.countKnown() + 1;
  const serverLimits = createServerLimits({
    clock,
    log,
    random,
    ownId: self.id,
    countKnown,
    runTimes,
  });
  const { permits, rateLimits, backoffs } = serverLimits;
  const retention = createCacheSizeEstimator();
  const registry = createServerRegistry({
    clock,
    log,
    regions: settings.regions,
    getColdDurationMs: (service) => getTerms(service)?.coldDurationMs ?? 0,
    running: parts.running,
    runTimes,
  });
  const exchange = createExchange(codec, getConnectionLimit);

  function getConnectionLimit(server: ListedServer): number {
    return computeConnectionLimit(getTerms(server.service)?.maxConnections, {
      serving: vms.countServing(),
      known: countKnown(),
    });
  }

  function takeConfiguration(
    configuration: Configuration,
    source: FactVersion,
  ): void {
    const { version } = configuration;
    routes = createRouteTable(configuration);
    log.info(
      { version, source, routes: configuration.routes.length },
      "configuration in force",
    );
  }

  board.subscribe((item, previous) => {
    if (item.fact?.kind === "configuration") {
      takeConfiguration(item.fact.configuration, item.version);
    }
    registry.apply(item);
    if (previous?.kind === "server" && !isSameStart(previous.server, item)) {
      exchange.closePool(previous.server.id);
    }
  });

  const figures = createRegionStatsReader({
    ownRegion: self.region,
    regions: settings.regions,
    registry,
    table,
    demandSmoother: createDemandSmoother(clock),
    getSlots: permits.getEffectiveSlots,
    getOwnDemand: demand.getRates,
    getFleetDemand: parts.getFleetDemand,
  });
  const plan = createRegionPlan({
    clock,
    log,
    ownRegion: self.region,
    getStats: figures.read,
    getRequestsPerS: figures.getRequestsPerS,
    maxShift: settings.bounds.maxShift,
  });
  const terms = {
    ratio: settings.bounds.retryRatio,
    allowance: settings.bounds.retryAllowance,
  };
  const budget = createRetryBudget(terms, vms.countServing, self.id);
  const pace = createLatencyModel();
  const suspects = createSuspectTracker({
    clock,
    log,
    ownId: self.id,
    quarantineSettings: settings.quarantine,
    publish(items) {
      const news = board.apply(items);
      if (news.length > 0) parts.passOn(news);
    },
    forget: (items) => void board.apply(items),
  });
  board.subscribe(suspects.apply);
  const placer = createPlacer({
    clock,
    log,
    registry,
    ranking: createRanking(registry),
    plan,
    coldLimit: createColdLimit({
      clock,
      ownId: self.id,
      listVms: vms.listServingIds,
    }),
    permits,
    latencyModel: pace,
    cacheModel: memory,
    cacheSizeEstimator: retention,
    getServiceSettings: getTerms,
  });
  const limitPool = createLimitShares(clock, countKnown);
  const limiter = new SharedUsageLimiter({
    clock,
    random,
    getShare: limitPool.getShare,
    getOwnShare: limitPool.getOwnShare,
    getStableMs: limitPool.getStableMs,
    margin: settings.accounts.limitMargin,
    findSubject: (name) => routes?.accounts?.get(name),
  });
  const callerCheck = createCallerCheck({
    log,
    random,
    bounds: settings.accounts,
    limiter,
    getKnowledgeAgeMs: parts.knowledge.getAgeMs,
  });
  const flow = createRequestHandler({
    clock,
    log,
    random,
    registry,
    placer,
    observer: createAttemptObserver({
      clock,
      log,
      latencyModel: pace,
      cacheModel: memory,
      cacheSizeEstimator: retention,
      runTimes,
      rateLimits,
      backoffs,
      registry,
    }),
    budget,
    splitter: createSplitter(),
    demand,
    latencyModel: pace,
    cacheModel: memory,
    exchange,
    crashCheck: createCrashCheck(dial),
    suspects,
    permits,
    limiter,
  });

  return {
    registry,
    exchange,
    demand,
    flow,
    callerCheck,
    limiter,
    limitPool,
    suspects,
    serverLimits,
    getRoutes: () => routes,
  };
}

/** Whether news of a server are of the start that was listed before. */
function isSameStart(before: ListedServer, { fact }: FactUpdate): boolean {
  return fact?.kind === "server" && fact.server.id === before.id;
}

/** VMs that start at the same moment must not draw the same numbers. */
function makeSeed({ id, incarnation }: VmIdentity): number {
  return Math.floor(hashToUnit(`${id} ${incarnation}`) * MAX_RANDOM_SEED);
}
