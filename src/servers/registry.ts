/**
 * Registry of the backend servers of all services, with this VM's view of each.
 *
 * @module
 */
import type { FactUpdate } from "../news/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import type { RunningRequests } from "../activity/running.ts";
import type { RequestPairs } from "../activity/types.ts";
import { hashToUint32 } from "../runtime/hash.ts";
import { createServerHealth, type ServerHealth } from "./health.ts";
import { createServerLoad, type ServerLoad } from "./load.ts";
import { createDrainingInstances } from "./draining_instances.ts";
import type { RunTimes } from "./run_times.ts";
import type { ListedServer } from "./types.ts";

/** A backend server and this VM's view of it. */
export interface KnownServer {
  /** What the register lists. */
  listed: ListedServer;
  /** Hash of its id. */
  key: number;
  /** Position in the order in which this VM listed its servers. */
  sequence: number;
  region: string;
  load: ServerLoad;
  health: ServerHealth;
  /** End of the cold start on the monotonic clock; 0 where it is warm. */
  coldUntilMs: number;
  /** Whether its address turned out to belong to another server. */
  isReplaced: boolean;
}

/** All backend servers that this VM knows. */
export interface ServerRegistry {
  /** Applies a changed fact, if it is about servers or evacuations. */
  apply(item: FactUpdate): void;
  /**
   * @param service A service.
   * @returns Its servers that may get requests, cold ones included.
   */
  listUsable(service: string): readonly KnownServer[];
  /** @returns Whether a server is listed and may get requests. */
  isUsable(server: KnownServer): boolean;
  /** @returns All listed servers. */
  listAll(): KnownServer[];
  /** Records that a server's address belongs to another one now. */
  markReplaced(id: string): void;
  /**
   * Records that a server announced its drain. This applies to this instance of
   * the server, whatever the register lists later.
   */
  markDraining(server: KnownServer): void;
  /** @returns Whether a server announced its drain. */
  isDraining(server: KnownServer): boolean;
  /** @returns A number that changes whenever the result of `listUsable` may. */
  getRevision(): number;
  /** @returns Failure domains that are evacuated and get no requests. */
  listEvacuated(): string[];
  /** @returns The region of a server, given the hash of its id. */
  getRegion(serverKey: number): string | undefined;
  /**
   * @param getMinRunMs Returns the mean run time below which a service is left
   *   out.
   * @returns This VM's requests at servers, as pairs of server key and number.
   */
  listOwnRequests(getMinRunMs: (service: string) => number): RequestPairs;
}

/** Dependencies of `createServerRegistry`. */
export interface RegistryOptions {
  clock: Clock;
  log: Log;
  /** Region of each failure domain. */
  regions: ReadonlyMap<string, string>;
  /** Time for which a server of a service stays cold after it starts. */
  getColdDurationMs: (service: string) => number;
  /** Requests that other VMs have at servers. */
  running: Pick<RunningRequests, "getTotal">;
  /** Mean run times of requests. */
  runTimes: RunTimes;
}

/**
 * Servers may be cold when the evacuation of their failure domain ends, which
 * the register lists only up to a heartbeat (1.5 s) later.
 */
const REGISTER_LAG_MS = 1_600;
/** Time in which a starting VM receives the list of all servers. */
const INITIAL_LISTING_MS = 1_000;

/**
 * @param options Dependencies of the registry.
 * @returns A registry without servers.
 */
export function createServerRegistry(options: RegistryOptions): ServerRegistry {
  const { clock, log, regions, running, runTimes } = options;
  /** By registered name. */
  const servers = new Map<string, KnownServer>();
  const regionByKey = new Map<number, string>();
  /** Listed servers with requests of this VM. */
  const busyServers = new Set<KnownServer>();
  let addedServers = 0;
  const evacuated = new Set<string>();
  const drainingInstances = createDrainingInstances(clock);
  const usableByService = new Map<string, KnownServer[]>();
  let revision = 0;
  let firstListedAtMs: number | undefined;

  function invalidate(): void {
    revision++;
    usableByService.clear();
  }

  function mayGetRequests(server: KnownServer): boolean {
    return server.listed.state === "ready" && !server.isReplaced &&
      !drainingInstances.has(server.listed.id) &&
      !evacuated.has(server.listed.failureDomain);
  }

  function listUsable(service: string): readonly KnownServer[] {
    const cached = usableByService.get(service);
    if (cached !== undefined) return cached;
    const usable = [...servers.values()].filter((server) =>
      server.listed.service === service && mayGetRequests(server)
    );
    usableByService.set(service, usable);
    return usable;
  }

  function add(listed: ListedServer): void {
    const region = regions.get(listed.failureDomain);
    if (region === undefined) {
      log.warn(
        { server: listed.id, failureDomain: listed.failureDomain },
        "server in an unknown failure domain ignored",
      );
      return;
    }
    const key = hashToUint32(listed.id);
    regionByKey.set(key, region);
    const server: KnownServer = {
      listed,
      key,
      sequence: addedServers++,
      region,
      load: createServerLoad(listed.slots, clock, {
        getReported: () => running.getTotal(listed.id, key),
        getMeanRunMs: () => runTimes.getMeanMs(listed.service),
        onBusy() {
          if (servers.get(listed.registeredName) === server) {
            busyServers.add(server);
          }
        },
        onIdle: () => void busyServers.delete(server),
      }),
      health: createServerHealth(clock),
      coldUntilMs: computeColdUntilMs(listed.coldLeftMs),
      isReplaced: false,
    };
    servers.set(listed.registeredName, server);
    logListed(listed);
  }

  /** Logs a single line for the servers listed at the start, which may be 700. */
  function logListed(listed: ListedServer): void {
    const nowMs = clock.monotonicMs();
    if (firstListedAtMs === undefined) {
      firstListedAtMs = nowMs;
      clock.after(INITIAL_LISTING_MS, () => {
        log.info({ servers: servers.size }, "initial servers listed");
      });
    }
    if (nowMs - firstListedAtMs < INITIAL_LISTING_MS) return;
    log.info(describe(listed), "server listed");
  }

  function computeColdUntilMs(coldLeftMs: number): number {
    return coldLeftMs > 0 ? clock.monotonicMs() + coldLeftMs : 0;
  }

  function update(server: KnownServer, listed: ListedServer): void {
    const wasUsable = mayGetRequests(server);
    if (listed.state !== server.listed.state) {
      log.info(describe(listed), "server changed state");
    }
    server.listed = listed;
    if (listed.coldLeftMs > 0) {
      server.coldUntilMs = computeColdUntilMs(listed.coldLeftMs);
    }
    if (wasUsable !== mayGetRequests(server)) invalidate();
  }

  function remove(server: KnownServer): void {
    const { listed } = server;
    servers.delete(listed.registeredName);
    busyServers.delete(server);
    regionByKey.delete(server.key);
    log.info({ server: listed.id, service: listed.service }, "server removed");
    invalidate();
  }

  /** Replaces a server with its next instance, which keeps none of its state. */
  function applyServer(item: FactUpdate, registeredName: string): void {
    const existing = servers.get(registeredName);
    if (item.fact?.kind !== "server") {
      if (existing !== undefined) remove(existing);
      return;
    }
    const { server } = item.fact;
    if (existing?.listed.id === server.id) return update(existing, server);
    if (existing !== undefined) remove(existing);
    add(server);
    invalidate();
  }

  function applyEvacuation(item: FactUpdate, failureDomain: string): void {
    const isAsked = item.fact !== undefined;
    if (isAsked === evacuated.has(failureDomain)) return;
    if (isAsked) evacuated.add(failureDomain);
    else {
      evacuated.delete(failureDomain);
      markCold(failureDomain);
    }
    log.info({ failureDomain, isAsked, version: item.version }, "evacuation");
    invalidate();
  }

  /**
   * Treats the servers of a domain as cold when its evacuation ends, since a
   * surge of requests would overload those that are.
   */
  function markCold(failureDomain: string): void {
    for (const server of servers.values()) {
      if (server.listed.failureDomain !== failureDomain) continue;
      const coldMs = options.getColdDurationMs(server.listed.service);
      server.coldUntilMs = clock.monotonicMs() + coldMs + REGISTER_LAG_MS;
    }
  }

  function apply(item: FactUpdate): void {
    const [topic, name] = splitKey(item.key);
    if (topic === "server") applyServer(item, name);
    if (topic === "evacuation") applyEvacuation(item, name);
  }

  return {
    apply,
    listUsable,
    isUsable: (server) =>
      servers.get(server.listed.registeredName) === server &&
      mayGetRequests(server),
    listAll: () => [...servers.values()],
    markReplaced(id) {
      const server = [...servers.values()].find(({ listed }) =>
        listed.id === id
      );
      if (server === undefined || server.isReplaced) return;
      server.isReplaced = true;
      log.warn(
        { server: id },
        "server's address belongs to another server now",
      );
      invalidate();
    },
    markDraining({ listed }) {
      if (!drainingInstances.add(listed.id)) return;
      log.info(describe(listed), "server announced its drain");
      invalidate();
    },
    isDraining: ({ listed }) => drainingInstances.has(listed.id),
    getRevision: () => revision,
    listEvacuated: () => [...evacuated],
    getRegion: (serverKey) => regionByKey.get(serverKey),
    listOwnRequests(getMinRunMs) {
      const pairs: RequestPairs = [];
      // A fixed order, so that reports of the same requests are equal.
      const busy = [...busyServers].sort((a, b) => a.sequence - b.sequence);
      for (const { listed: { service }, key, load } of busy) {
        const meanRunMs = runTimes.getMeanMs(service) ?? 0;
        if (meanRunMs < getMinRunMs(service)) continue;
        pairs.push(key, load.getOwn());
      }
      return pairs;
    },
  };
}

function splitKey(key: string): [string, string] {
  const at = key.indexOf("/");
  return at < 0 ? [key, ""] : [key.slice(0, at), key.slice(at + 1)];
}

function describe(listed: ListedServer): Record<string, unknown> {
  const { id, service, failureDomain, state, coldLeftMs } = listed;
  return { server: id, service, failureDomain, state, coldLeftMs };
}
