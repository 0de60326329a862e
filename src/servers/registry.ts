/**
 * The backend servers of every service, with what this VM has seen of each.
 *
 * @module
 */
import type { NewsItem } from "../news/types.ts";
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
  listed: ListedServer;
  region: string;
  load: ServerLoad;
  health: ServerHealth;
  /** Cold until then on the monotonic clock; 0 where it is warm. */
  coldUntilMs: number;
  /** Set once it answered that another server has its address. */
  isReplaced: boolean;
}

/** All backend servers that this VM knows. */
export interface ServerRegistry {
  /** Takes a changed fact in. */
  apply(item: NewsItem): void;
  /**
   * @param service A service.
   * @returns Its servers that may be sent requests, cold ones included.
   */
  listUsable(service: string): readonly KnownServer[];
  /** @returns Whether a server is listed, and is to get requests. */
  isUsable(server: KnownServer): boolean;
  /** @returns Every server that is listed. */
  listAll(): KnownServer[];
  /** Notes that a server's address belongs to another one now. */
  markReplaced(id: string): void;
  /**
   * Notes that a server announced its drain. That holds for this start of it,
   * whatever the register lists later.
   */
  markDraining(server: KnownServer): void;
  /** @returns Whether a server announced its drain. */
  isDraining(server: KnownServer): boolean;
  /** Changes whenever `listUsable` would list other servers. */
  getRevision(): number;
  /** @returns Failure domains that are to get no requests. */
  listEvacuated(): string[];
  /** @returns The region of a server, by the hash of its id. */
  getRegion(serverKey: number): string | undefined;
  /**
   * @param minRunMs Services whose requests last less are left out.
   * @returns Requests that this VM has at servers.
   */
  listOwnRequests(minRunMs: number): RequestPairs;
}

/** What a registry needs. */
export interface RegistryOptions {
  clock: Clock;
  log: Log;
  /** Region of each failure domain. */
  regions: ReadonlyMap<string, string>;
  /** How long a server of a service stays cold after a start. */
  getColdDurationMs: (service: string) => number;
  /** Requests of other VMs. */
  running: Pick<RunningRequests, "getTotal">;
  /** How long requests last. */
  runTimes: RunTimes;
}

/**
 * Servers of a failure domain that is taken back may be cold, which the
 * register tells up to a heartbeat (1.5 s) later.
 */
const REGISTER_LAG_MS = 1_600;
/** Time in which a VM that starts hears of all servers. */
const FIRST_LISTING_MS = 1_000;

/**
 * @param parts What the registry needs.
 * @returns A registry with no servers.
 */
export function createServerRegistry(parts: RegistryOptions): ServerRegistry {
  const { clock, log, regions, running, runTimes } = parts;
  /** By the name in the register. */
  const servers = new Map<string, KnownServer>();
  const regionByKey = new Map<number, string>();
  const evacuated = new Set<string>();
  const drainingStarts = createDrainingInstances(clock);
  const usableByService = new Map<string, KnownServer[]>();
  let revision = 0;
  let firstListedAtMs: number | undefined;

  function touch(): void {
    revision++;
    usableByService.clear();
  }

  function isUsableServer(server: KnownServer): boolean {
    return server.listed.state === "ready" && !server.isReplaced &&
      !drainingStarts.has(server.listed.id) &&
      !evacuated.has(server.listed.failureDomain);
  }

  function listUsable(service: string): readonly KnownServer[] {
    const cached = usableByService.get(service);
    if (cached !== undefined) return cached;
    const usable = [...servers.values()].filter((server) =>
      server.listed.service === service && isUsableServer(server)
    );
    usableByService.set(service, usable);
    return usable;
  }

  function add(listed: ListedServer): void {
    const region = regions.get(listed.failureDomain);
    if (region === undefined) {
      log.warn(
        { server: listed.id, failureDomain: listed.failureDomain },
        "server in an unknown failure domain, left out",
      );
      return;
    }
    regionByKey.set(hashToUint32(listed.id), region);
    servers.set(listed.registeredName, {
      listed,
      region,
      load: createServerLoad(listed.slots, clock, {
        getReported: () => running.getTotal(listed.id),
        getMeanRunMs: () => runTimes.getMeanMs(listed.service),
      }),
      health: createServerHealth(clock),
      coldUntilMs: toColdUntil(listed.coldLeftMs),
      isReplaced: false,
    });
    noteListed(listed);
  }

  /** Of 700 servers that a VM hears of as it starts, one line tells. */
  function noteListed(listed: ListedServer): void {
    const nowMs = clock.monotonicMs();
    if (firstListedAtMs === undefined) {
      firstListedAtMs = nowMs;
      clock.after(FIRST_LISTING_MS, () => {
        log.info({ servers: servers.size }, "first servers listed");
      });
    }
    if (nowMs - firstListedAtMs < FIRST_LISTING_MS) return;
    log.info(describe(listed), "server listed");
  }

  function toColdUntil(coldLeftMs: number): number {
    return coldLeftMs > 0 ? clock.monotonicMs() + coldLeftMs : 0;
  }

  function update(server: KnownServer, listed: ListedServer): void {
    const wasUsable = isUsableServer(server);
    if (listed.state !== server.listed.state) {
      log.info(describe(listed), "server changed state");
    }
    server.listed = listed;
    if (listed.coldLeftMs > 0) {
      server.coldUntilMs = toColdUntil(listed.coldLeftMs);
    }
    if (wasUsable !== isUsableServer(server)) touch();
  }

  function remove({ listed }: KnownServer): void {
    servers.delete(listed.registeredName);
    regionByKey.delete(hashToUint32(listed.id));
    log.info({ server: listed.id, service: listed.service }, "server gone");
    touch();
  }

  /** Nothing that is known of a start holds for the next one of its name. */
  function applyServer(item: NewsItem, registeredName: string): void {
    const known = servers.get(registeredName);
    if (item.fact?.kind !== "server") {
      if (known !== undefined) remove(known);
      return;
    }
    const { server } = item.fact;
    if (known?.listed.id === server.id) return update(known, server);
    if (known !== undefined) remove(known);
    add(server);
    touch();
  }

  function applyEvacuation(item: NewsItem, failureDomain: string): void {
    const isAsked = item.fact !== undefined;
    if (isAsked === evacuated.has(failureDomain)) return;
    if (isAsked) evacuated.add(failureDomain);
    else {
      evacuated.delete(failureDomain);
      presumeCold(failureDomain);
    }
    log.info({ failureDomain, isAsked, version: item.version }, "evacuation");
    touch();
  }

  /** Keeps a domain that is taken back from a rush that cold servers fail at. */
  function presumeCold(failureDomain: string): void {
    for (const server of servers.values()) {
      if (server.listed.failureDomain !== failureDomain) continue;
      const coldMs = parts.getColdDurationMs(server.listed.service);
      server.coldUntilMs = clock.monotonicMs() + coldMs + REGISTER_LAG_MS;
    }
  }

  function apply(item: NewsItem): void {
    const [topic, name] = splitKey(item.key);
    if (topic === "server") applyServer(item, name);
    if (topic === "evacuation") applyEvacuation(item, name);
  }

  return {
    apply,
    listUsable,
    isUsable: (server) =>
      servers.get(server.listed.registeredName) === server &&
      isUsableServer(server),
    listAll: () => [...servers.values()],
    markReplaced(id) {
      const server = [...servers.values()].find(({ listed }) =>
        listed.id === id
      );
      if (server === undefined || server.isReplaced) return;
      server.isReplaced = true;
      log.warn({ server: id }, "address belongs to another server now");
      touch();
    },
    markDraining({ listed }) {
      if (!drainingStarts.add(listed.id)) return;
      log.info(describe(listed), "server announced its drain");
      touch();
    },
    isDraining: ({ listed }) => drainingStarts.has(listed.id),
    getRevision: () => revision,
    listEvacuated: () => [...evacuated],
    getRegion: (serverKey) => regionByKey.get(serverKey),
    listOwnRequests(minRunMs) {
      const pairs: RequestPairs = [];
      for (const { listed, load } of servers.values()) {
        const isLong = (runTimes.getMeanMs(listed.service) ?? 0) >= minRunMs;
        if (!isLong || load.getOwn() === 0) continue;
        pairs.push(hashToUint32(listed.id), load.getOwn());
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
