/**
 * Finds servers of other regions for requests that find their own one full.
 *
 * @module
 */
import { MAX_COPIES, MIN_COPIES } from "../placement/copies.ts";
import type { CopyPlan } from "../placement/copy_plan.ts";
import {
  chooseOverflowTarget,
  type OverflowBudget,
  type OverflowRegion,
} from "../placement/overflow.ts";
import type { Ranking } from "../placement/ranking.ts";
import type { Clock } from "../runtime/clock.ts";
import type { ServerPermits } from "../servers/permits.ts";
import type { ServerReachability } from "../servers/reachability.ts";
import type { KnownServer } from "../servers/registry.ts";
import type { LatencyModel } from "./latency_model.ts";
import type { RequestProgress } from "./request_progress.ts";

/** Why a request does not overflow. */
export type OverflowDenial = "no_region" | "cap_reached";

/** Servers of another region that may take a request, best first. */
export interface OverflowServers {
  kind: "servers";
  region: string;
  servers: readonly KnownServer[];
}

/** Finds servers of other regions. */
export interface OverflowPlacer {
  /**
   * Counts the request against the cap if it returns servers.
   *
   * @param progress A request that found its region full.
   * @param regions Regions that may serve it, without that one.
   * @param hasCachedObject Whether a server is expected to have the object.
   * @returns The servers, or why there are none.
   */
  find(
    progress: RequestProgress,
    regions: readonly string[],
    hasCachedObject: (serverId: string) => boolean,
  ): OverflowServers | { kind: "denied"; denial: OverflowDenial };
  /** Returns a counted request that no server took. */
  giveBack(service: string): void;
}

/** Dependencies of an overflow placer. */
export interface OverflowPlacerOptions {
  clock: Clock;
  ranking: Ranking;
  permits: Pick<ServerPermits, "isValid" | "isRateLimited">;
  reachability: Pick<ServerReachability, "getAvoidance">;
  latencyModel: Pick<LatencyModel, "getExpectedMs">;
  copyPlan: Pick<CopyPlan, "hasRoom">;
  budget: OverflowBudget;
  /** @returns Whether this VM hears from any other VM. */
  hearsOthers: () => boolean;
}

/** A region and its servers that may take the request, best first. */
interface ExaminedRegion extends OverflowRegion {
  /** Servers that have the object cached. */
  cached: readonly KnownServer[];
  /** The object's own servers. */
  own: readonly KnownServer[];
}

/** A server's report shows its load for this long; that of one or two runs. */
const MAX_REPORT_AGE_MS = 1_000;

/**
 * @param options Dependencies.
 * @returns An overflow placer.
 */
export function createOverflowPlacer(
  options: OverflowPlacerOptions,
): OverflowPlacer {
  const {
    clock,
    ranking,
    permits,
    reachability,
    latencyModel,
    copyPlan,
    budget,
  } = options;

  /**
   * Whether a server has a free slot for requests of other regions. One that a
   * VM reports unresponsive looks idle, so it is left out. Load that
   * neither this VM nor others have seen lately counts as unknown.
   */
  function isFree(server: KnownServer, hearsOthers: boolean): boolean {
    const { load } = server;
    return server.coldUntilMs <= clock.monotonicMs() &&
      !server.health.isEjected() &&
      reachability.getAvoidance(server.listed) === "none" &&
      permits.isValid(server.listed) &&
      !permits.isRateLimited(server.listed) &&
      (hearsOthers || load.getReportAgeMs() < MAX_REPORT_AGE_MS) &&
      load.getUtilization() < 1;
  }

  function examine(
    progress: RequestProgress,
    region: string,
    hasCachedObject: (serverId: string) => boolean,
    hearsOthers: boolean,
  ): ExaminedRegion {
    const { service, objectKey, excludedServers, usesObjectCache } = progress;
    const { route } = progress.request;
    const ranked = ranking.rank(service, region, objectKey);
    const usable = ranked.slice(0, MAX_COPIES).filter((server) =>
      !excludedServers.has(server.listed.id) && isFree(server, hearsOthers)
    );
    const cached = usable.filter(({ listed }) => hasCachedObject(listed.id));
    const own = ranked.slice(0, MIN_COPIES).filter((server) =>
      usable.includes(server)
    );
    // A VM that hears nothing does not know which objects others requested.
    const hasRoom = own.length > 0 &&
      (!usesObjectCache || hearsOthers && copyPlan.hasRoom(service, region));
    // A region that can't take the request isn't compared by its free slots.
    const free = cached.length > 0 || hasRoom
      ? ranked.filter((server) => isFree(server, hearsOthers))
      : [];
    const freeSlots = free.reduce(
      (sum, { load }) => sum + load.getSlots() - load.getTotal(),
      0,
    );
    return {
      cached,
      own,
      region,
      freeSlots,
      cachedServers: cached.length,
      hasRoom,
      hitMs: latencyModel.getExpectedMs(route, "hit"),
      missMs: latencyModel.getExpectedMs(
        route,
        usesObjectCache ? "miss" : "any",
      ),
    };
  }

  return {
    find(progress, regions, hasCachedObject) {
      const { service, request: { route, arrivedAtMs } } = progress;
      if (regions.length === 0) return { kind: "denied", denial: "no_region" };
      // The cap is checked first, since it costs less than the servers' state.
      if (!budget.take(service)) {
        return { kind: "denied", denial: "cap_reached" };
      }
      const hearsOthers = options.hearsOthers();
      const examined = regions.map((region) =>
        examine(progress, region, hasCachedObject, hearsOthers)
      );
      const elapsedMs = clock.monotonicMs() - arrivedAtMs;
      const target = chooseOverflowTarget(
        examined,
        route.targetLatencyMs - elapsedMs,
      );
      const found = examined.find(({ region }) => region === target?.region);
      if (target === undefined || found === undefined) {
        budget.giveBack(service);
        return { kind: "denied", denial: "no_region" };
      }
      const servers = target.needsCached ? found.cached : found.own;
      return { kind: "servers", region: target.region, servers };
    },
    giveBack: budget.giveBack,
  };
}
