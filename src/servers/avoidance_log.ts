/**
 * Logs which servers this VM starts and ceases to avoid.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import type { Avoidance } from "./reachability_types.ts";
import type { ListedServer } from "./types.ts";

/** Log of avoided servers. */
export interface AvoidanceLog {
  /**
   * Logs that a server is avoided, unless that was logged lately.
   *
   * @param listed The server.
   * @param avoidance How it is used.
   * @param describe Returns the further fields of the log line.
   */
  recordAvoided(
    listed: ListedServer,
    avoidance: Avoidance,
    describe: () => Record<string, unknown>,
  ): void;
  /**
   * Logs that a server responds again, if its avoidance was logged.
   *
   * @param server Id of the server instance.
   * @param by The VM that it responded to.
   */
  recordResponse(server: string, by: string): void;
  /** Drops a server without reports. */
  forget(server: string): void;
}

/** Minimum interval between two log lines about a server. */
const LOG_INTERVAL_MS = 5_000;

const LEVELS: Record<Avoidance, number> = { none: 0, last: 1, excluded: 2 };

/** The last log line about a server. */
interface LoggedServer {
  /** "none" once it responded. */
  avoidance: Avoidance;
  atMs: number;
}

/**
 * @param log The log.
 * @param clock The clock.
 * @returns A log without avoided servers.
 */
export function createAvoidanceLog(log: Log, clock: Clock): AvoidanceLog {
  const logged = new Map<string, LoggedServer>();

  return {
    recordAvoided({ id, service }, avoidance, describe) {
      if (avoidance === "none") return;
      const nowMs = clock.monotonicMs();
      const last = logged.get(id) ?? { avoidance: "none", atMs: -Infinity };
      const isRaised = LEVELS[avoidance] > LEVELS[last.avoidance];
      const isDue = nowMs - last.atMs >= LOG_INTERVAL_MS;
      // A server that is reported and responds in turn is logged once.
      if (!isDue && !(isRaised && last.avoidance !== "none")) return;
      logged.set(id, { avoidance, atMs: nowMs });
      log.info(
        { server: id, service, avoidance, ...describe() },
        "server avoided",
      );
    },
    recordResponse(server, by) {
      const last = logged.get(server);
      if (last === undefined || last.avoidance === "none") return;
      last.avoidance = "none";
      log.info({ server, by }, "server responds again");
    },
    forget: (server) => void logged.delete(server),
  };
}
