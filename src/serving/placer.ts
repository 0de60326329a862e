/**
 * Selects the backend server for an attempt: first the region of the object,
 * then a server in that region.
 *
 * @module
 */
import { chooseServer } from "../placement/choose.ts";
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import type { Ranking } from "../placement/ranking.ts";
import type { RegionPlan } from "../placement/regions.ts";
import type { CacheSizeEstimator } from "../placement/cache_size.ts";
import { rankRegions, type RegionShare } from "../placement/shares.ts";
import type { ServiceSettings } from "../routing/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { ColdLimit } from "../servers/cold_limit.ts";
import type { ServerPermits } from "../servers/permits.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import { isUnusualSlowdown } from "../servers/speed.ts";
import type { ListedServer } from "../servers/types.ts";
import type { Log } from "../telemetry/log.ts";
import type { LatencyModel } from "./latency_model.ts";
import { makeObjectName, type RequestProgress } from "./request_progress.ts";
import type { RefusalReason } from "./types.ts";

/** Options of a placer. */
export interface PlacerOptions {
  clock: Clock;
  log: Log;
  registry: ServerRegistry;
  ranking: Ranking;
  plan: RegionPlan;
  coldLimit: ColdLimit;
  permits: ServerPermits;
  latencyModel: LatencyModel;
  cacheModel: ObjectCacheModel;
  cacheSizeEstimator: CacheSizeEstimator;
  /** Returns the settings of a service in the active configuration. */
  getServiceSettings: (service: string) => ServiceSettings | undefined;
}

/** The server that was selected for an attempt. */
export interface PlacedAttempt {
  kind: "placed";
  server: KnownServer;
  /** Whether the server is expected to have cached the object. */
  isCached: boolean;
}

/** Why no server can take an attempt. */
export interface PlacementFailure {
  kind: "not_placed";
  reason: RefusalReason;
  /** When capacity is expected; undefined where that is unknown. */
  retryAfterMs?: number;
}

/** Selects servers for attempts. */
export interface Placer {
  /**
   * @param progress The request to send.
   * @returns The server to send it to, or the reason why there is none.
   */
  place(progress: RequestProgress): PlacedAttempt | PlacementFailure;
}

/**
 * @param options Dependencies.
 * @returns A placer.
 */
export function createPlacer(options: PlacerOptions): Placer {
  const {
    clock,
    log,
    registry,
    ranking,
    plan,
    latencyModel,
    cacheModel,
    permits,
  } = options;

  function place(progress: RequestProgress): PlacedAttempt | PlacementFailure {
    const { request, service, objectKey, triedServers } = progress;
    const { route, homeRegions } = request;
    if (homeRegions === undefined) return refuse("no_home");
    const { requestId } = request.metadata;
    const shares = plan.getShares(service, homeRegions);
    const region = chooseRegion(shares, service, objectKey);
    const candidates = region === undefined
      ? []
      : [ranking.rank(service, region, objectKey)];
    const throttled: ListedServer[] = [];
    const placement = {
      candidates,
      tried: triedServers,
      maxUtilization: latencyModel.getMaxUtilization(route),
      maxCacheMissQueue: progress.usesObjectCache
        ? latencyModel.getMaxCacheMissQueue(
          route,
          progress.deadlineAtMs - clock.monotonicMs(),
        )
        : Infinity,
      coldRatePerS: options.getServiceSettings(service)?.coldRequestsPerS ?? 0,
      hasCachedObject: (id: string) => hasCachedObject(progress, id),
      isRateLimited: ({ listed }: KnownServer) => permits.isRateLimited(listed),
      takePermit({ listed }: KnownServer) {
        const isTaken = permits.take(listed);
        if (!isTaken) throttled.push(listed);
        return isTaken;
      },
    };
    const choice = chooseServer(placement, options.coldLimit, clock);
    const inputs = {
      requestId,
      service,
      objectKey,
      region,
      ...(throttled.length > 0
        ? { throttled: throttled.map(permits.describe) }
        : {}),
    };
    if (choice.kind !== "server") {
      const uses = computeUtilizations(service);
      const { maxUtilization: maxUse } = placement;
      log.info({ ...inputs, choice: choice.kind, maxUse, uses }, "choose");
      if (throttled.length > 0) {
        return refuse("throttled", permits.getWaitMs(throttled));
      }
      return refuse(choice.kind === "full" ? "all_full" : "no_server");
    }
    const { server, rank, utilization, isCached } = choice;
    log.info(
      {
        ...inputs,
        server: server.listed.id,
        rank,
        use: utilization,
        slowdown: describeSlowdown(server),
        slots: server.load.getSlots(),
        isKnown: isCached,
      },
      "choose",
    );
    return { kind: "placed", server, isCached };
  }

  function hasCachedObject(
    progress: RequestProgress,
    serverId: string,
  ): boolean {
    if (!progress.usesObjectCache) return false;
    const depth = cacheModel.getDepth(serverId, makeObjectName(progress));
    return depth !== undefined &&
      depth < options.cacheSizeEstimator.getCacheSize(progress.service);
  }

  /** @returns Utilization of the servers by region, in requests per slot. */
  function computeUtilizations(service: string): Record<string, number> {
    const totals = new Map<string, { requests: number; slots: number }>();
    for (const { region, listed, load } of registry.listUsable(service)) {
      const total = totals.get(region) ?? { requests: 0, slots: 0 };
      total.requests += load.getTotal();
      total.slots += listed.slots;
      totals.set(region, total);
    }
    return Object.fromEntries(
      [...totals].map((
        [region, { requests, slots }],
      ) => [region, requests / slots]),
    );
  }

  /** Whether a region has a warm, healthy server that isn't backing off. */
  function canServe(
    region: string,
    service: string,
    objectKey: string,
  ): boolean {
    const nowMs = clock.monotonicMs();
    return ranking.rank(service, region, objectKey).some((server) =>
      server.coldUntilMs <= nowMs && !server.health.isEjected() &&
      permits.isValid(server.listed)
    );
  }

  /**
   * Chooses the object's region, or the next one where no server there is
   * usable. A saturated region is still chosen: forwarding its requests to
   * other regions scatters objects over servers that haven't cached them, and
   * was no better than refusing.
   */
  function chooseRegion(
    shares: readonly RegionShare[],
    service: string,
    objectKey: string,
  ): string | undefined {
    const regions = rankRegions(shares, `${service} ${objectKey}`);
    return regions.find((region) => canServe(region, service, objectKey)) ??
      regions[0];
  }

  return { place };
}

/** Returns the slowdown for the log; undefined where it is usual. */
function describeSlowdown({ load }: KnownServer): number | undefined {
  const slowdown = load.speed.getSlowdown();
  return isUnusualSlowdown(slowdown) ? Number(slowdown.toFixed(2)) : undefined;
}

function refuse(
  reason: RefusalReason,
  retryAfterMs?: number,
): PlacementFailure {
  return { kind: "not_placed", reason, retryAfterMs };
}
