/**
 * Finds the backend server for an attempt of a request: the object's region
 * first, then a server there.
 *
 * @module
 */
import { chooseServer } from "../placement/choose.ts";
import type { ObjectMemory } from "../placement/memory.ts";
import type { Ranking } from "../placement/ranking.ts";
import type { RegionPlan } from "../placement/regions.ts";
import type { Retention } from "../placement/retention.ts";
import { rankRegions, type RegionShare } from "../placement/shares.ts";
import type { ServiceTerms } from "../routing/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { ColdLimit } from "../servers/cold_limit.ts";
import type { ServerPermits } from "../servers/permits.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { ListedServer } from "../servers/types.ts";
import type { Log } from "../telemetry/log.ts";
import type { PaceTable } from "./pace.ts";
import { nameObject, type Progress } from "./progress.ts";
import type { RefusalReason } from "./types.ts";

/** What placing needs. */
export interface PlacerParts {
  clock: Clock;
  log: Log;
  registry: ServerRegistry;
  ranking: Ranking;
  plan: RegionPlan;
  coldLimit: ColdLimit;
  permits: ServerPermits;
  pace: PaceTable;
  memory: ObjectMemory;
  retention: Retention;
  /** Terms of a service in the configuration in force. */
  getTerms: (service: string) => ServiceTerms | undefined;
}

/** Where an attempt goes. */
export interface Placed {
  kind: "placed";
  server: KnownServer;
  /** Whether the server is taken to know the object. */
  isKnown: boolean;
}

/** Why an attempt goes nowhere. */
export interface NotPlaced {
  kind: "not_placed";
  reason: RefusalReason;
  /** When there will be room, as far as that is known. */
  retryAfterMs?: number;
}

/** Finds servers. */
export interface Placer {
  /**
   * @param progress A request that is to be sent.
   * @returns The server to send it to, or why there is none.
   */
  place(progress: Progress): Placed | NotPlaced;
}

/**
 * @param parts What placing needs.
 * @returns A placer.
 */
export function createPlacer(parts: PlacerParts): Placer {
  const { clock, log, registry, ranking, plan, pace, memory, permits } = parts;

  function place(progress: Progress): Placed | NotPlaced {
    const { request, service, objectKey, tried } = progress;
    const { route, homeRegions } = request;
    if (homeRegions === undefined) return refuse("no_home");
    const { requestId } = request.terms;
    const shares = plan.getShares(service, homeRegions);
    const region = chooseRegion(shares, service, objectKey);
    const candidates = region === undefined
      ? []
      : [ranking.rank(service, region, objectKey)];
    const throttled: ListedServer[] = [];
    const placement = {
      candidates,
      tried,
      maxUse: pace.getMaxUse(route),
      firstRunQueue: progress.hasObject
        ? pace.getFirstRunQueue(route, progress.endsAtMs - clock.monotonicMs())
        : Infinity,
      coldRatePerS: parts.getTerms(service)?.coldRequestsPerS ?? 0,
      knowsObject: (id: string) => knowsObject(progress, id),
      isRateLimited: ({ listed }: KnownServer) => permits.isRateLimited(listed),
      takePermit({ listed }: KnownServer) {
        const isTaken = permits.take(listed);
        if (!isTaken) throttled.push(listed);
        return isTaken;
      },
    };
    const choice = chooseServer(placement, parts.coldLimit, clock);
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
      const uses = readUses(service);
      const { maxUse } = placement;
      log.info({ ...inputs, choice: choice.kind, maxUse, uses }, "choose");
      if (throttled.length > 0) {
        return refuse("throttled", permits.getWaitMs(throttled));
      }
      return refuse(choice.kind === "full" ? "all_full" : "no_server");
    }
    const { server, rank, use, isKnown } = choice;
    log.info(
      {
        ...inputs,
        server: server.listed.id,
        rank,
        use,
        slots: server.load.getSlots(),
        isKnown,
      },
      "choose",
    );
    return { kind: "placed", server, isKnown };
  }

  function knowsObject(progress: Progress, serverId: string): boolean {
    if (!progress.hasObject) return false;
    const depth = memory.getDepth(serverId, nameObject(progress));
    return depth !== undefined &&
      depth < parts.retention.getKept(progress.service);
  }

  /** @returns How full each region's servers are, in requests a slot. */
  function readUses(service: string): Record<string, number> {
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

  /** Whether a region has a server that can take any request. */
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
   * The object's region, or another one where that has no sound server.
   * Sending on what finds its region full scatters objects over servers that
   * don't know them: it gained nothing against refusing.
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

function refuse(reason: RefusalReason, retryAfterMs?: number): NotPlaced {
  return { kind: "not_placed", reason, retryAfterMs };
}
