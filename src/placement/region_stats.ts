/**
 * Slots and demand of each region, from the registered servers and the reports
 * of VMs.
 *
 * @module
 */
import type { MemberTable } from "../members/table.ts";
import type { DemandByRegion } from "../members/types.ts";
import type { ServerRegistry } from "../servers/registry.ts";
import type { ListedServer } from "../servers/types.ts";
import type { DemandSmoother } from "./demand_smoothing.ts";
import type { RegionStats } from "./shares.ts";

/**
 * Dependencies of the stats reader. Slots of cold servers are counted: a server
 * stays cold for 3 s, but shares that moved away from it took 20 s to move back.
 * Slots of unreachable servers are not: the registry lists them for another
 * 4.5 s.
 */
export interface RegionStatsOptions {
  ownRegion: string;
  /** Region of each failure domain. */
  regions: ReadonlyMap<string, string>;
  registry: ServerRegistry;
  table: MemberTable;
  demandSmoother: DemandSmoother;
  /** Usable slots of a server. */
  getSlots: (server: ListedServer) => number;
  /** Requests per second from this VM's clients, by service. */
  getOwnDemand: () => Record<string, number>;
  /**
   * Demand by region, this VM's included, if hubs report it; undefined
   * otherwise.
   */
  getFleetDemand: () => DemandByRegion | undefined;
}

/**
 * Requests per second added to the measured demand of each region, so that the
 * first few requests after a start don't swing the shares.
 */
const PRIOR_DEMAND_PER_S = 10;

/** Demand of one VM's clients, or of a whole region. */
interface ReportedDemand {
  region: string;
  /** Requests per second by service. */
  demandPerS: Record<string, number>;
}

/** Reads the current stats. */
export interface RegionStatsReader {
  /**
   * @param service The name of the service.
   * @returns Slots and smoothed demand of each region for the service.
   */
  read(service: string): RegionStats[];
  /**
   * @returns Requests per second from callers of this VM's region, for all
   *   services.
   */
  getRequestsPerS(): number;
}

/**
 * @param options The reader's dependencies.
 * @returns A reader of region stats.
 */
export function createRegionStatsReader(
  options: RegionStatsOptions,
): RegionStatsReader {
  const { registry, table, demandSmoother } = options;

  function addSlots(
    statsByRegion: Map<string, RegionStats>,
    service: string,
  ): void {
    for (const server of registry.listUsable(service)) {
      const stats = statsByRegion.get(server.region);
      if (stats === undefined || server.health.isDown()) continue;
      stats.slots += options.getSlots(server.listed);
    }
  }

  /** @returns Demand by region if hubs report it, by VM otherwise. */
  function listDemands(): ReportedDemand[] {
    const fleetDemand = options.getFleetDemand();
    if (fleetDemand !== undefined) {
      return Object.entries(fleetDemand).map(([region, demandPerS]) => ({
        region,
        demandPerS,
      }));
    }
    const own = {
      region: options.ownRegion,
      demandPerS: options.getOwnDemand(),
    };
    const others = table.listAlive().map(({ identity, report }) => ({
      region: identity.region,
      demandPerS: report?.demandPerS ?? {},
    }));
    return [own, ...others];
  }

  function addDemand(
    statsByRegion: Map<string, RegionStats>,
    service: string,
  ): void {
    for (const { region, demandPerS } of listDemands()) {
      const stats = statsByRegion.get(region);
      if (stats !== undefined) stats.demand += demandPerS[service] ?? 0;
    }
  }

  /** Replaces measured demand: shares move too slowly to follow its waves. */
  function smoothDemand(
    statsByRegion: Map<string, RegionStats>,
    service: string,
  ): void {
    const measured = new Map(
      [...statsByRegion].map(([region, { demand }]) => [region, demand]),
    );
    for (const [region, demand] of demandSmoother.smooth(service, measured)) {
      const stats = statsByRegion.get(region);
      if (stats !== undefined) stats.demand = demand;
    }
  }

  function read(service: string): RegionStats[] {
    const statsByRegion = new Map<string, RegionStats>();
    for (const region of options.regions.values()) {
      statsByRegion.set(region, {
        region,
        slots: 0,
        demand: PRIOR_DEMAND_PER_S,
      });
    }
    addSlots(statsByRegion, service);
    addDemand(statsByRegion, service);
    smoothDemand(statsByRegion, service);
    return [...statsByRegion.values()];
  }

  function getRequestsPerS(): number {
    return listDemands()
      .filter(({ region }) => region === options.ownRegion)
      .flatMap(({ demandPerS }) => Object.values(demandPerS))
      .reduce((total, ratePerS) => total + ratePerS, 0);
  }

  return { read, getRequestsPerS };
}
