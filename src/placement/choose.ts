/**
 * Selects the backend server for one attempt of a request.
 *
 * Load pattern: a server answers three times faster for objects that it has
 * cached, and a few objects receive most of the requests. Each object therefore
 * has a first and a second server; the second takes what the first has no
 * capacity for, and the object stays cached on both. Spreading an object over
 * more servers would dilute their caches, so further servers are used only for
 * objects that they have cached already, or for as many copies as `copies.ts`
 * allows.
 *
 * @module
 */
import type { ColdLimit } from "../servers/cold_limit.ts";
import type { Avoidance } from "../servers/reachability.ts";
import type { KnownServer } from "../servers/registry.ts";
import type { Clock } from "../runtime/clock.ts";
import { MIN_COPIES } from "./copies.ts";

/** Input for the selection of a server. */
export interface PlacementRequest {
  /** Regions to try, in order, each with its servers, best first. */
  candidates: readonly (readonly KnownServer[])[];
  /** Ids of the servers that this request was sent to or must not be sent to. */
  excluded: ReadonlySet<string>;
  /** Number of servers of a region that may hold the object; at least 2. */
  copies: number;
  /** Utilization, in requests per slot, at which a server is saturated. */
  maxUtilization: number;
  /**
   * Returns the limit that replaces `maxUtilization` for a server with a number
   * of slots; absent where it is the same for all servers.
   */
  getMaxUtilization?: (slots: number) => number;
  /**
   * Requests per slot that may already wait for a slot on a server that has not
   * cached the object.
   */
  maxCacheMissQueue: number;
  /** Requests per second that a cold server of the service can take. */
  coldRatePerS: number;
  /** Whether a server is expected to have the object cached. */
  hasCachedObject: (serverId: string) => boolean;
  /**
   * Returns how a server is used because other VMs report it unresponsive;
   * absent where there are no reports.
   */
  getAvoidance?: (server: KnownServer) => Avoidance;
  /** Whether a server advertises a rate limit. */
  isRateLimited: (server: KnownServer) => boolean;
  /**
   * Whether a server may be sent the request's body; undefined where the body
   * is small.
   */
  hasBodyRoom?: (server: KnownServer) => boolean;
  /**
   * Takes a permit to send one request to a server. Returns false if none is
   * left.
   */
  takePermit: (server: KnownServer) => boolean;
}

/** A server that takes an attempt. */
export interface ServerChoice {
  kind: "server";
  server: KnownServer;
  /** Position in the ranking, without the servers ruled out before; from 0. */
  rank: number;
  /** Requests per slot before this attempt. */
  utilization: number;
  /** Whether the server is expected to have the object cached. */
  isCached: boolean;
}

/** The result of the selection. */
export type Choice =
  | ServerChoice
  /** Every eligible server is saturated. */
  | { kind: "full" }
  /** No server is eligible. */
  | { kind: "none" };

/** Minimum number of best-ranked servers considered if they have cached the object. */
const CACHED_CANDIDATES = 4;
/**
 * Cost of sending a request to a server other than the first with the object
 * cached, in requests per slot: a server is preferred while its utilization is
 * lower by more than the difference. A request for an uncached object takes
 * three times as long. A miss costs less on the first server than on others, so
 * that a server that joins starts to receive its objects.
 */
const FIRST_SERVER_MISS_PENALTY = 0.35;
const HIT_PENALTY = 0.25;
const MISS_PENALTY = 0.9;
/**
 * Slots reserved for requests of other VMs that are not reported yet when a
 * request arrives. A server with nine slots accepts cache misses up to 0.85
 * requests per slot; a bound of 0.55 gave the same goodput with 50% more
 * refusals.
 */
const RESERVED_SLOTS = 1.35;
/**
 * Cost of the request's own run, in requests per slot, for each multiple of the
 * usual time that it takes longer. It is small, since a cached object is worth
 * more than a fast server: with the whole run and the load multiplied by the
 * slowdown, fewer requests were answered in time than with speeds ignored
 * (docs/design/server-speed.md).
 */
const HIT_RUN = 0.25;
const MISS_RUN = 0.5;
/** Maximum number of servers tried for a permit in one attempt. */
const MAX_PERMIT_TRIES = 8;
/** Servers with at least this share of recent failures are the last resort. */
const HIGH_FAILURE_SHARE = 0.35;

/**
 * Selects a server in the first region that has an eligible one.
 *
 * @param placement The request's candidates and limits.
 * @param coldLimit Admits requests to cold servers.
 * @param clock The clock.
 * @returns The selected server, or why there is none.
 */
export function chooseServer(
  placement: PlacementRequest,
  coldLimit: ColdLimit,
  clock: Clock,
): Choice {
  const { candidates, excluded } = placement;
  let isAnyAlive = false;
  const lastResort = new Set<KnownServer>();
  for (const servers of candidates) {
    const found = findEligible(servers, placement, clock.monotonicMs());
    if (found.first !== undefined) isAnyAlive = true;
    const choice = chooseInRegion(found, placement, coldLimit, clock);
    if (choice !== undefined) return choice;
    for (const server of found.lastResort) lastResort.add(server);
  }
  if (lastResort.size > 0) {
    isAnyAlive = true;
    const choice = chooseWithPermit([...lastResort], placement);
    if (choice !== undefined) return choice;
  }
  if (isAnyAlive) return { kind: "full" };
  const untried = candidates.flat().filter((server) =>
    !excluded.has(server.listed.id) && server.coldUntilMs <= clock.monotonicMs()
  );
  const fallback = untried.find((server) => hasBodyRoom(placement, server));
  if (fallback === undefined && untried.length > 0) return { kind: "full" };
  if (fallback !== undefined && placement.takePermit(fallback)) {
    const isCached = placement.hasCachedObject(fallback.listed.id);
    return {
      kind: "server",
      server: fallback,
      rank: 0,
      utilization: 0,
      isCached,
    };
  }
  return { kind: "none" };
}

/** The servers of a region that a request may be sent to. */
interface EligibleServers {
  /** The best server that is neither excluded nor ejected, warm or cold. */
  first: KnownServer | undefined;
  /**
   * Warm servers, best first: those without many failures, else all. As many as
   * the choice can use.
   */
  warm: readonly KnownServer[];
  /**
   * Warm servers that a report calls unresponsive, best first. They are chosen
   * after all others.
   */
  lastResort: readonly KnownServer[];
}

/**
 * Finds the eligible servers of a region. It stops at the last one that can be
 * used, since a region may have a hundred servers and the choice is among a few.
 */
function findEligible(
  servers: readonly KnownServer[],
  placement: PlacementRequest,
  nowMs: number,
): EligibleServers {
  const usableCount = Math.max(CACHED_CANDIDATES, placement.copies) +
    MAX_PERMIT_TRIES;
  let first: KnownServer | undefined;
  const failing: KnownServer[] = [];
  const healthy: KnownServer[] = [];
  const lastResort: KnownServer[] = [];
  let healthyRank = 0;
  for (const server of servers) {
    if (placement.excluded.has(server.listed.id) || server.health.isEjected()) {
      continue;
    }
    const avoidance = placement.getAvoidance?.(server) ?? "none";
    if (avoidance !== "none") {
      const isLast = avoidance === "last" && server.coldUntilMs <= nowMs;
      if (isLast && isOpenTo(placement, server, lastResort.length)) {
        lastResort.push(server);
      }
      continue;
    }
    first ??= server;
    if (server.coldUntilMs > nowMs) continue;
    if (server.health.getFailureShare() >= HIGH_FAILURE_SHARE) {
      if (healthyRank === 0) failing.push(server);
      continue;
    }
    if (isOpenTo(placement, server, healthyRank)) healthy.push(server);
    healthyRank++;
    if (healthy.length >= usableCount) break;
  }
  const warm = healthyRank > 0
    ? healthy
    : failing.filter((server, rank) => isOpenTo(placement, server, rank));
  return { first, warm, lastResort };
}

function hasBodyRoom(
  placement: PlacementRequest,
  server: KnownServer,
): boolean {
  return placement.hasBodyRoom === undefined || placement.hasBodyRoom(server);
}

/**
 * Whether a server at a rank has room for the body, and permits to spare.
 * Permits of rate-limited servers are kept for their own objects: used for
 * other objects they are spent on cache misses that finish too late, and if all
 * servers are limited, no request is answered in time.
 */
function isOpenTo(
  placement: PlacementRequest,
  server: KnownServer,
  rank: number,
): boolean {
  if (!hasBodyRoom(placement, server)) return false;
  return rank < MIN_COPIES || !placement.isRateLimited(server) ||
    rank < CACHED_CANDIDATES && placement.hasCachedObject(server.listed.id);
}

function chooseInRegion(
  { first, warm }: EligibleServers,
  placement: PlacementRequest,
  coldLimit: ColdLimit,
  clock: Clock,
): Choice | undefined {
  return chooseWithPermit(warm, placement) ??
    chooseColdServer(first, placement, coldLimit, clock.monotonicMs());
}

/**
 * Selects the object's first server if it is cold. A cold server receives only
 * its own objects, at a limited rate, and only when the warm servers cannot
 * take the request: while cold it takes twice as long even for cached objects.
 */
function chooseColdServer(
  first: KnownServer | undefined,
  placement: PlacementRequest,
  coldLimit: ColdLimit,
  nowMs: number,
): Choice | undefined {
  if (first === undefined || first.coldUntilMs <= nowMs) return undefined;
  if (!hasBodyRoom(placement, first)) return undefined;
  const utilization = first.load.getUtilization();
  const maxUtilization = placement.getMaxUtilization?.(first.load.getSlots());
  if (utilization >= Math.min(1, maxUtilization ?? 1)) return undefined;
  const { id } = first.listed;
  if (!coldLimit.take(id, placement.coldRatePerS, first.region)) {
    return undefined;
  }
  if (!placement.takePermit(first)) return undefined;
  const isCached = placement.hasCachedObject(id);
  return { kind: "server", server: first, rank: 0, utilization, isCached };
}

/**
 * Selects a server that grants a permit; if one has none left, the next best is
 * tried.
 */
function chooseWithPermit(
  servers: readonly KnownServer[],
  placement: PlacementRequest,
): Choice | undefined {
  let remaining = servers;
  let constraints = placement;
  for (let tries = 0; tries < MAX_PERMIT_TRIES; tries++) {
    const choice = chooseCheapest(remaining, constraints) ??
      chooseFurtherCopy(remaining, constraints);
    if (choice === undefined || placement.takePermit(choice.server)) {
      return choice;
    }
    remaining = remaining.filter((server) => server !== choice.server);
    // Queued cache misses would evict objects of the next server from its cache.
    constraints = { ...placement, maxCacheMissQueue: 0 };
  }
  return undefined;
}

/** Selects the unsaturated server with the lowest utilization plus penalties. */
function chooseCheapest(
  servers: readonly KnownServer[],
  placement: PlacementRequest,
): ServerChoice | undefined {
  let best: ServerChoice | undefined;
  let bestCost = Infinity;
  const considered = Math.max(CACHED_CANDIDATES, placement.copies);
  servers.slice(0, considered).forEach((server, rank) => {
    const utilization = server.load.getUtilization();
    const isCached = placement.hasCachedObject(server.listed.id);
    if (utilization >= getMaxUtilization(server, placement, isCached)) return;
    if (rank >= MIN_COPIES && !isCached) return;
    const cost = utilization + getPenalty(rank, isCached) +
      getSpeedPenalty(server, isCached);
    if (cost >= bestCost) return;
    bestCost = cost;
    best = { kind: "server", server, rank, utilization, isCached };
  });
  return best;
}

/**
 * Selects the first server that may get a further copy of the object, once all
 * servers that have it are saturated. If there is none, the request is refused:
 * other servers would have to evict objects of their own, and after half of the
 * servers were lost, no server had its objects cached any more.
 */
function chooseFurtherCopy(
  servers: readonly KnownServer[],
  placement: PlacementRequest,
): ServerChoice | undefined {
  for (let rank = MIN_COPIES; rank < placement.copies; rank++) {
    const server = servers[rank];
    if (server === undefined) return undefined;
    if (placement.hasCachedObject(server.listed.id)) continue;
    const utilization = server.load.getUtilization();
    if (utilization >= getMaxUtilization(server, placement, false)) continue;
    return { kind: "server", server, rank, utilization, isCached: false };
  }
  return undefined;
}

/**
 * Returns the utilization from which a server refuses the request. The limit is
 * lower for cache misses, which take most of the time that a request has: one
 * that has to queue first times out after it has occupied a slot for as long as
 * one that succeeds. With misses accepted up to two requests per slot, three
 * quarters of the servers' time went to requests that timed out.
 *
 * @param server The server.
 * @param placement The request's limits.
 * @param isCached Whether the server is expected to have the object cached.
 * @returns The limit in requests per slot.
 */
export function getMaxUtilization(
  { load }: KnownServer,
  placement: PlacementRequest,
  isCached: boolean,
): number {
  const { maxCacheMissQueue } = placement;
  const maxUtilization = placement.getMaxUtilization?.(load.getSlots()) ??
    placement.maxUtilization;
  if (isCached) return maxUtilization;
  // An idle server accepts a cache miss however few slots it has.
  const freeSlots = Math.max(1, load.getSlots() - RESERVED_SLOTS);
  return Math.min(
    maxUtilization,
    freeSlots / load.getSlots() + maxCacheMissQueue,
  );
}

/** Returns 0 where the server has its usual speed. */
function getSpeedPenalty({ load }: KnownServer, isCached: boolean): number {
  const ownRun = isCached ? HIT_RUN : MISS_RUN;
  return ownRun * (load.speed.getSlowdown() - 1);
}

function getPenalty(rank: number, isCached: boolean): number {
  if (rank === 0) return isCached ? 0 : FIRST_SERVER_MISS_PENALTY;
  return isCached ? HIT_PENALTY : MISS_PENALTY;
}
