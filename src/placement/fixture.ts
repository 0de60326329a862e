/**
 * Test fixture: backend servers that run requests in slots, queue the rest and
 * cache the objects requested last.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";

/** Properties of modelled servers. */
export interface ModelServerSettings {
  slots: number;
  /** Objects that a server caches. */
  cacheSize: number;
  hitMs: number;
  missMs: number;
}

/** Modelled servers, by id. */
export interface ModelServers {
  /** Runs a request when a slot is free, and calls `end` after it. */
  run(serverId: string, objectKey: string, end: () => void): void;
}

interface ModelServer {
  cachedKeys: string[];
  running: number;
  queue: (() => void)[];
}

/**
 * @param clock The clock.
 * @param random Source of the variation of run times.
 * @param settings Properties of all servers.
 * @returns Servers with empty caches.
 */
export function createModelServers(
  clock: Clock,
  random: Random,
  { slots, cacheSize, hitMs, missMs }: ModelServerSettings,
): ModelServers {
  const servers = new Map<string, ModelServer>();

  function run(serverId: string, objectKey: string, end: () => void): void {
    const server = servers.get(serverId) ??
      { cachedKeys: [], running: 0, queue: [] };
    servers.set(serverId, server);
    if (server.running >= slots) {
      return void server.queue.push(() => run(serverId, objectKey, end));
    }
    server.running++;
    const isHit = server.cachedKeys.includes(objectKey);
    const others = server.cachedKeys.filter((key) => key !== objectKey);
    server.cachedKeys = [...others, objectKey].slice(-cacheSize);
    clock.after((isHit ? hitMs : missMs) * (0.85 + 0.3 * random()), () => {
      server.running--;
      end();
      server.queue.shift()?.();
    });
  }

  return { run };
}
