/**
 * Holds requests for an object back while a backend server learns it.
 *
 * Load pattern: after a start, or a loss of servers, many requests meet servers
 * that don't know their objects. Each request for an object that arrives while
 * the first one runs would take three times as long as after it, and keep a
 * slot from others that long.
 *
 * @module
 */
import type { ObjectMemory } from "../placement/memory.ts";
import type { Clock } from "../runtime/clock.ts";
import type { KnownServer } from "../servers/registry.ts";
import type { Log } from "../telemetry/log.ts";
import { nameObject, type Progress } from "./progress.ts";

/** What holding needs. */
export interface HolderParts {
  clock: Clock;
  log: Log;
  memory: ObjectMemory;
}

/** Holds requests back. */
export interface Holder {
  /**
   * @param progress A request that is to be sent.
   * @param server Where to.
   * @returns Whether it was held; its server has to be chosen again then.
   */
  hold(progress: Progress, server: KnownServer): Promise<boolean>;
}

/**
 * Longest hold, as a part of the time that is left: what is learned by then
 * leaves enough to run, and what isn't has to run elsewhere or unlearned.
 */
const HELD_PART = 0.45;
/** The end of a hold is noticed this much late; shorter holds gain nothing. */
const MIN_HOLD_MS = 20;

/**
 * @param parts What holding needs.
 * @returns A holder.
 */
export function createHolder(parts: HolderParts): Holder {
  const { clock, log, memory } = parts;

  return {
    async hold(progress, server) {
      const { route, terms } = progress.request;
      if (progress.wasHeld || !route.isSticky) return false;
      const serverId = server.listed.id;
      const objectName = nameObject(progress);
      if (memory.getState(serverId, objectName) !== "learning") return false;
      const startedAtMs = clock.monotonicMs();
      const maxMs = (progress.endsAtMs - startedAtMs) * HELD_PART;
      if (maxMs < MIN_HOLD_MS) return false;
      progress.wasHeld = true;
      await memory.waitWhileLearning(serverId, objectName, maxMs);
      log.info(
        {
          requestId: terms.requestId,
          server: serverId,
          objectName,
          heldMs: Math.round(clock.monotonicMs() - startedAtMs),
          outcome: memory.getState(serverId, objectName),
        },
        "held while learned",
      );
      return true;
    },
  };
}
