/**
 * Slots and demand of every region, from the list of servers and the reports of
 * VMs.
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
 * What figures are made from. Slots of cold servers count: a server stays cold
 * for 3 s, and shares that moved away from it took 20 s to come back. Servers
 * that can't be reached don't: the register lists them for another 4.5 s.
 */
export interface RegionStatsOptions {
  ownRegion: string;
  /** Region of each failure domain. */
  regions: ReadonlyMap<string, string>;
  registry: ServerRegistry;
  table: MemberTable;
  demandSmoother: DemandSmoother;
  /** Slots that a server can be used with. */
  getSlots: (server: ListedServer) => number;
  /** Requests a second that this VM's clients make, by service. */
  getOwnDemand: () => Record<string, number>;
  /** Demand by region where hubs tell of it; this VM's own is part of it. */
  getFleetDemand: () => DemandByRegion | undefined;
}

/**
 * Demand that every region is taken to have besides what was measured, in
 * requests a second: figures of the first seconds don't swing the shares.
 */
const PRIOR_DEMAND_PER_S = 10;

interface VmDemand {
  region: string;
  demandPerS: Record<string, number>;
}

/** Works figures out. */
export interface RegionStatsReader {
  /** @returns Figures of every region for one service. */
  read(service: string): RegionStats[];
  /** @returns Requests a second from the own region's callers. */
  getRequestsPerS(): number;
}

/**
 * @param parts What figures are made from.
 * @returns A reader of figures.
 */
export function createRegionStatsReader(
  parts: RegionStatsOptions,
): RegionStatsReader {
  const { registry, table, demandSmoother: trend } = parts;

  function addSlots(
    figures: Map<string, RegionStats>,
    service: string,
  ): void {
    for (const server of registry.listUsable(service)) {
      const region = figures.get(server.region);
      if (region === undefined || server.health.isDown()) continue;
      region.slots += parts.getSlots(server.listed);
    }
  }

  /** @returns What clients ask for, by VM or summed up by region. */
  function listDemands(): VmDemand[] {
    const told = parts.getFleetDemand();
    if (told !== undefined) {
      return Object.entries(told).map(([region, demandPerS]) => ({
        region,
        demandPerS,
      }));
    }
    const own = { region: parts.ownRegion, demandPerS: parts.getOwnDemand() };
    const others = table.listAlive().map(({ identity, report }) => ({
      region: identity.region,
      demandPerS: report?.demandPerS ?? {},
    }));
    return [own, ...others];
  }

  function addDemand(
    figures: Map<string, RegionStats>,
    service: string,
  ): void {
    for (const { region, demandPerS } of listDemands()) {
      const figure = figures.get(region);
      if (figure !== undefined) figure.demand += demandPerS[service] ?? 0;
    }
  }

  /** Shares move too slowly to follow each wave of demand. */
  function planDemand(
    figures: Map<string, RegionStats>,
    service: string,
  ): void {
    const measured = new Map(
      [...figures].map(([region, { demand }]) => [region, demand]),
    );
    for (const [region, demand] of trend.smooth(service, measured)) {
      const figure = figures.get(region);
      if (figure !== undefined) figure.demand = demand;
    }
  }

  function read(service: string): RegionStats[] {
    const figures = new Map<string, RegionStats>();
    for (const region of parts.regions.values()) {
      figures.set(region, { region, slots: 0, demand: PRIOR_DEMAND_PER_S });
    }
    addSlots(figures, service);
    addDemand(figures, service);
    planDemand(figures, service);
    return [...figures.values()];
  }

  function getRequestsPerS(): number {
    return listDemands()
      .filter(({ region }) => region === parts.ownRegion)
      .flatMap(({ demandPerS }) => Object.values(demandPerS))
      .reduce((total, ratePerS) => total + ratePerS, 0);
  }

  return { read, getRequestsPerS };
}
