/**
 * Selects the backend server for an attempt: first the region of the object,
 * then a server in that region. Where all of these are full, it selects one of
 * another region, if overflow is allowed, or estimates when one has a slot.
 *
 * @module
 */
import {
  type Choice,
  chooseServer,
  getMaxUtilization,
  type PlacementRequest,
  type ServerChoice,
} from "../placement/choose.ts";
import type { CopyPlan } from "../placement/copy_plan.ts";
import { MIN_COPIES } from "../placement/copies.ts";
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import type { Ranking } from "../placement/ranking.ts";
import type { RegionPlan } from "../placement/regions.ts";
import type { CacheSizeEstimator } from "../placement/cache_size.ts";
import { rankRegions, type RegionShare } from "../placement/shares.ts";
import type { AccountShares } from "../queueing/account_shares.ts";
import {
  type CompetingDemand,
  computeMaxUtilization,
  computeSlotsLeftFree,
  lowerMaxUtilization,
} from "../queueing/thresholds.ts";
import type { SlotProspect } from "../queueing/wait_decision.ts";
import type { UrgentDemand } from "../queueing/urgency.ts";
import type { Route, ServiceSettings } from "../routing/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { ColdLimit } from "../servers/cold_limit.ts";
import type { ServerPermits } from "../servers/permits.ts";
import type { Avoidance, ServerReachability } from "../servers/reachability.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import { isUnusualSlowdown } from "../servers/speed.ts";
import type { ListedServer } from "../servers/types.ts";
import type { Log } from "../telemetry/log.ts";
import {
  type BodyLimitKind,
  getCountedBytes,
  type InflightBodies,
} from "./inflight_bodies.ts";
import type { LatencyModel } from "./latency_model.ts";
import type { OverflowDenial, OverflowPlacer } from "./overflow_placer.ts";
import { makeObjectName, type RequestProgress } from "./request_progress.ts";
import type { RefusalReason } from "./types.ts";

/** Options of a placer. */
export interface PlacerOptions {
  clock: Clock;
  log: Log;
  registry: ServerRegistry;
  ranking: Ranking;
  plan: RegionPlan;
  /** Failure domain of this VM. */
  ownDomain: string;
  coldLimit: ColdLimit;
  permits: ServerPermits;
  inflightBodies: Pick<InflightBodies, "hasRoom" | "recordPassedOver">;
  reachability: Pick<
    ServerReachability,
    "hasReports" | "getAvoidance" | "isTrialDue" | "beginTrial"
  >;
  latencyModel: LatencyModel;
  cacheModel: ObjectCacheModel;
  cacheSizeEstimator: CacheSizeEstimator;
  urgentDemand: UrgentDemand;
  accountShares: AccountShares;
  /** Returns the priorities that compete for a service, in ascending order. */
  getCompetingPriorities: (service: string) => readonly number[];
  copyPlan: Pick<CopyPlan, "getCopies">;
  overflow: OverflowPlacer;
  /** Returns the settings of a service in the active configuration. */
  getServiceSettings: (service: string) => ServiceSettings | undefined;
}

/** The server that was selected for an attempt. */
export interface PlacedAttempt {
  kind: "placed";
  server: KnownServer;
  /** Whether the server is expected to have cached the object. */
  isCached: boolean;
  /** Whether it is the trial request of an avoided server. */
  isTrial: boolean;
}

/** Why no server can take an attempt. */
export interface PlacementFailure {
  kind: "not_placed";
  reason: RefusalReason;
  /** When capacity is expected; undefined where that is unknown. */
  retryAfterMs?: number;
  /**
   * When a slot is expected where all servers are full; absent where none of
   * them can be expected to accept the request.
   */
  prospect?: SlotProspect;
}

/** Selects servers for attempts. */
export interface Placer {
  /**
   * @param progress The request to send.
   * @returns The server to send it to, or the reason why there is none.
   */
  place(progress: RequestProgress): PlacedAttempt | PlacementFailure;
}

/** The result of an overflow, with its log fields. */
interface OverflowChoice {
  choice?: ServerChoice;
  fields:
    | { overflow: OverflowDenial }
    | { region: string; overflowFrom: string | undefined };
}

/** What the choice of a server for one attempt depends on, and what it found. */
interface Placement {
  choiceOptions: PlacementRequest;
  shares: readonly RegionShare[];
  /** Region of the object; undefined where no region can serve it. */
  region: string | undefined;
  demand: CompetingDemand | undefined;
  /** Whether the account of the request is over its fair share. */
  exceedsShare: boolean;
  /** The limit of requests of accounts within their share. */
  getOrdinaryMaxUtilization: (slots: number) => number;
  /** Servers that gave no permit. */
  throttled: ListedServer[];
  /** Servers without room for the body; undefined where it is small. */
  withoutRoom: Set<string> | undefined;
  /** Servers that are avoided; undefined while there are no reports. */
  avoided: Map<string, Avoidance> | undefined;
  /** Applies the largest limit of body bytes from then on. */
  useLargestBodyLimit(): void;
}

/** Maximum number of avoided servers in a log line. */
const MAX_LOGGED_SERVERS = 8;

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
    reachability,
  } = options;

  function place(progress: RequestProgress): PlacedAttempt | PlacementFailure {
    const { homeRegions } = progress.request;
    if (homeRegions === undefined) return refuse("no_home");
    const placement = prepare(progress, homeRegions);
    const { overflow, choice } = choose(progress, placement);
    const inputs = describeInputs(progress, placement, overflow);
    if (choice.kind !== "server") {
      return refuseChoice(progress, placement, choice, inputs);
    }
    const { server, rank, utilization, isCached } = choice;
    const { route } = progress.request;
    const isTrial = placement.avoided !== undefined &&
      isTrialOf(server, route);
    if (isTrial) reachability.beginTrial(server.listed.id);
    log.info(
      {
        ...inputs,
        server: server.listed.id,
        rank,
        use: utilization,
        slowdown: describeSlowdown(server),
        slots: server.load.getSlots(),
        isKnown: isCached,
        ...(isTrial ? { isTrial } : {}),
      },
      "choose",
    );
    return { kind: "placed", server, isCached, isTrial };
  }

  /** Collects what a choice of a server depends on. */
  function prepare(
    progress: RequestProgress,
    homeRegions: readonly string[],
  ): Placement {
    const { request, service, objectKey, excludedServers } = progress;
    const { route, account } = request;
    const shares = plan.getShares(service, homeRegions);
    const region = chooseRegion(shares, service, objectKey);
    const candidates = region === undefined
      ? []
      : listCandidates(route, ranking.rank(service, region, objectKey));
    const throttled: ListedServer[] = [];
    const bodyBytes = getCountedBytes(request);
    const withoutRoom = bodyBytes > 0 ? new Set<string>() : undefined;
    const avoided = reachability.hasReports()
      ? new Map<string, Avoidance>()
      : undefined;
    let bodyLimit: BodyLimitKind = "current";
    const latencyLimit = latencyModel.getMaxUtilization(route);
    const demand = findCompetingDemand(progress);
    const exceedsShare = options.accountShares.isExceeded(service, account);
    const getOrdinaryMaxUtilization = (slots: number) =>
      computeMaxUtilization(latencyLimit, slots, demand);
    const choiceOptions: PlacementRequest = {
      candidates,
      excluded: excludedServers,
      maxUtilization: latencyLimit,
      ...(demand === undefined && !exceedsShare ? {} : {
        getMaxUtilization: (slots) =>
          exceedsShare
            ? lowerMaxUtilization(getOrdinaryMaxUtilization(slots), slots)
            : getOrdinaryMaxUtilization(slots),
      }),
      copies: getCopies(progress, region),
      maxCacheMissQueue: progress.usesObjectCache
        ? latencyModel.getMaxCacheMissQueue(
          route,
          progress.deadlineAtMs - clock.monotonicMs(),
        )
        : Infinity,
      coldRatePerS: options.getServiceSettings(service)?.coldRequestsPerS ?? 0,
      hasCachedObject: (id) => hasCachedObject(progress, id),
      ...(avoided === undefined ? {} : {
        getAvoidance: ({ listed }) =>
          getAvoidance(listed, route.kind === "idempotent", avoided),
      }),
      isRateLimited: ({ listed }) => permits.isRateLimited(listed),
      hasBodyRoom: withoutRoom && ((server) => {
        const hasRoom = options.inflightBodies.hasRoom(
          server,
          bodyBytes,
          bodyLimit,
        );
        if (!hasRoom) withoutRoom.add(server.listed.id);
        return hasRoom;
      }),
      takePermit({ listed }) {
        const isTaken = permits.take(listed);
        if (!isTaken) throttled.push(listed);
        return isTaken;
      },
    };
    return {
      choiceOptions,
      shares,
      region,
      demand,
      exceedsShare,
      getOrdinaryMaxUtilization,
      throttled,
      withoutRoom,
      avoided,
      useLargestBodyLimit: () => void (bodyLimit = "largest"),
    };
  }

  /** Selects a server of the own region, else one of another region. */
  function choose(
    progress: RequestProgress,
    placement: Placement,
  ): { overflow: OverflowChoice | undefined; choice: Choice } {
    const { throttled, withoutRoom } = placement;
    const ownChoice = chooseServer(
      placement.choiceOptions,
      options.coldLimit,
      clock,
    );
    const overflow = ownChoice.kind === "full" && throttled.length === 0
      ? chooseOverflow(
        progress,
        placement.choiceOptions,
        placement.shares,
        placement.region,
      )
      : undefined;
    let choice = overflow?.choice ?? ownChoice;
    if (withoutRoom !== undefined && withoutRoom.size > 0) {
      if (choice.kind === "full" && throttled.length === 0) {
        placement.useLargestBodyLimit();
        choice = chooseServer(
          placement.choiceOptions,
          options.coldLimit,
          clock,
        );
      }
      options.inflightBodies.recordPassedOver(choice.kind === "server");
    }
    return { overflow, choice };
  }

  /** Returns the fields of the log line of a choice that don't depend on it. */
  function describeInputs(
    { request, service, objectKey }: RequestProgress,
    placement: Placement,
    overflow: OverflowChoice | undefined,
  ): Record<string, unknown> {
    const { demand, exceedsShare, throttled, withoutRoom, avoided } = placement;
    const { copies } = placement.choiceOptions;
    return {
      requestId: request.metadata.requestId,
      service,
      objectKey,
      region: placement.region,
      ...(demand === undefined ? {} : {
        priority: request.route.priority,
        moreUrgent: demand.moreUrgent,
        spareMs: Math.round(demand.spareMs),
        slotsLeftFree: computeSlotsLeftFree(demand),
      }),
      ...(exceedsShare ? { exceedsShare } : {}),
      ...overflow?.fields,
      ...(copies > MIN_COPIES ? { copies } : {}),
      ...(throttled.length > 0
        ? { throttled: throttled.map(permits.describe) }
        : {}),
      // Absent where the body is small or all servers had room.
      noBodyRoom: withoutRoom?.size || undefined,
      // Absent where no server was avoided.
      ...(avoided !== undefined && avoided.size > 0
        ? { avoided: Object.fromEntries(avoided) }
        : {}),
    };
  }

  /** Logs why no server was selected, and counts what is short. */
  function refuseChoice(
    progress: RequestProgress,
    placement: Placement,
    choice: Exclude<Choice, ServerChoice>,
    inputs: Record<string, unknown>,
  ): PlacementFailure {
    const { throttled } = placement;
    // A waiting request fails many times; the end of its wait is logged.
    if (!progress.wait?.isWaiting) {
      if (choice.kind === "full" && throttled.length === 0) {
        recordShortage(progress, placement);
      }
      const uses = computeUtilizations(progress.service);
      const { maxUtilization: maxUse } = placement.choiceOptions;
      log.info({ ...inputs, choice: choice.kind, maxUse, uses }, "choose");
    }
    if (throttled.length > 0) {
      return refuse("throttled", permits.getWaitMs(throttled));
    }
    if (choice.kind === "none") return refuse("no_server");
    return {
      ...refuse("all_full"),
      prospect: computeProspect(placement.choiceOptions),
    };
  }

  /**
   * Records that all servers are full, or that the request is only held back
   * because its account exceeds its share.
   */
  function recordShortage(
    { service, request }: RequestProgress,
    { choiceOptions, exceedsShare, getOrdinaryMaxUtilization }: Placement,
  ): void {
    if (exceedsShare && !isFull(choiceOptions, getOrdinaryMaxUtilization)) {
      options.accountShares.recordHeldBack();
    } else {
      options.accountShares.recordFull(service, request.account);
    }
  }

  /**
   * Returns how a server is used because of reports. One that is due for a
   * trial is used as any other by an idempotent request.
   */
  function getAvoidance(
    listed: ListedServer,
    isIdempotent: boolean,
    avoided: Map<string, Avoidance>,
  ): Avoidance {
    const avoidance = reachability.getAvoidance(listed);
    if (avoidance === "none") return avoidance;
    if (isIdempotent && reachability.isTrialDue(listed.id)) return "none";
    if (avoided.size < MAX_LOGGED_SERVERS) avoided.set(listed.id, avoidance);
    return avoidance;
  }

  function isTrialOf({ listed }: KnownServer, { kind }: Route): boolean {
    return kind === "idempotent" &&
      reachability.getAvoidance(listed) !== "none" &&
      reachability.isTrialDue(listed.id);
  }

  /** Whether a server is neither ejected nor excluded on reports. */
  function isOpen({ health, listed }: KnownServer): boolean {
    return !health.isEjected() &&
      reachability.getAvoidance(listed) !== "excluded";
  }

  /**
   * Tries servers of the own failure domain first for large bodies, which would
   * otherwise fill the links between failure domains.
   */
  function listCandidates(
    { transfer }: Route,
    ranked: readonly KnownServer[],
  ): (readonly KnownServer[])[] {
    if (transfer === "small") return [ranked];
    const inOwnDomain = ranked.filter(({ listed }) =>
      listed.failureDomain === options.ownDomain
    );
    return [inOwnDomain, ranked];
  }

  /** @returns The more urgent demand that a request competes with, if any. */
  function findCompetingDemand(
    { request, service }: RequestProgress,
  ): CompetingDemand | undefined {
    const { priority } = request.route;
    const spareMs = options.urgentDemand.getLeastSpareMs(service, priority);
    if (spareMs === undefined) return undefined;
    const moreUrgent = options.getCompetingPriorities(service)
      .filter((other) => other < priority);
    // The configuration may have lost the priority since its last request.
    if (moreUrgent.length === 0) return undefined;
    const runMs = latencyModel.getExpectedMs(request.route, "any") ?? 0;
    return { moreUrgent, spareMs, runMs };
  }

  /**
   * Estimates when one of the servers that share the object accepts a request:
   * once enough of the requests of one of them have ended.
   */
  function computeProspect(
    placement: PlacementRequest,
  ): SlotProspect | undefined {
    const nowMs = clock.monotonicMs();
    const { excluded, copies } = placement;
    const sharing = placement.candidates.flatMap((servers) =>
      servers.filter((server) =>
        !excluded.has(server.listed.id) && server.coldUntilMs <= nowMs &&
        isOpen(server) && permits.isValid(server.listed)
      ).slice(0, copies)
    );
    const servers = new Set(sharing);
    if (servers.size === 0) return undefined;
    let acceptsPerRun = 0;
    let utilization = 0;
    let isCached = false;
    for (const server of servers) {
      const isHit = placement.hasCachedObject(server.listed.id);
      const limit = getMaxUtilization(server, placement, isHit);
      const slots = server.load.getSlots();
      const total = server.load.getTotal();
      const endsNeeded = Math.floor(Math.max(0, total - limit * slots)) + 1;
      acceptsPerRun += Math.min(slots, Math.max(1, total)) / endsNeeded;
      utilization = Math.max(utilization, limit);
      isCached ||= isHit;
    }
    return { waitRuns: 1 / acceptsPerRun, utilization, isCached };
  }

  /** Whether no warm server takes a request by other limits than its own. */
  function isFull(
    placement: PlacementRequest,
    getMaxUtilization: (slots: number) => number,
  ): boolean {
    const choice = chooseServer(
      { ...placement, getMaxUtilization, takePermit: () => true },
      { take: () => false },
      clock,
    );
    return choice.kind !== "server";
  }

  /** Selects a server of another region, where that is allowed. */
  function chooseOverflow(
    progress: RequestProgress,
    placement: PlacementRequest,
    shares: readonly RegionShare[],
    fullRegion: string | undefined,
  ): OverflowChoice {
    const found = options.overflow.find(
      progress,
      shares.map(({ region }) => region).filter((name) => name !== fullRegion),
      placement.hasCachedObject,
    );
    if (found.kind === "denied") return { fields: { overflow: found.denial } };
    const choice = chooseServer(
      {
        ...placement,
        candidates: [found.servers],
        copies: MIN_COPIES,
        maxUtilization: 1,
        getMaxUtilization: (slots) =>
          Math.min(1, placement.getMaxUtilization?.(slots) ?? 1),
        maxCacheMissQueue: 0,
        takePermit: ({ listed }) => permits.take(listed),
      },
      { take: () => false },
      clock,
    );
    if (choice.kind !== "server") {
      options.overflow.giveBack(progress.service);
      return { fields: { overflow: "no_region" } };
    }
    const fields = { region: found.region, overflowFrom: fullRegion };
    return { choice, fields };
  }

  function getCopies(progress: RequestProgress, region?: string): number {
    if (!progress.usesObjectCache || region === undefined) return MIN_COPIES;
    const { service } = progress;
    return options.copyPlan.getCopies(
      service,
      region,
      makeObjectName(progress),
    );
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
      server.coldUntilMs <= nowMs && isOpen(server) &&
      permits.isValid(server.listed)
    );
  }

  /**
   * Chooses the object's region, or the next one where no server there is
   * usable. A saturated region is still chosen; `overflow.ts` decides which of
   * its requests go to another one.
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
