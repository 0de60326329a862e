/**
 * Watches whether this VM reaches the servers of each service, and logs when
 * that changes.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { Log } from "../telemetry/log.ts";
import { createReachEvidence, type ServiceReach } from "./reach_evidence.ts";
import type { ListedServer } from "./types.ts";

/** What is known of one service, for the state dump. */
export interface ServiceReachState {
  service: string;
  reach: ServiceReach;
  /** Servers to which no connection opens. */
  failing: string[];
  /** Time since a server of it was connected to or responded. */
  succeededAgoMs: number;
}

/** Watches whether this VM reaches the servers of each service. */
export interface ReachMonitor {
  /** Records that a connection to a server was opened. */
  recordConnected(server: ListedServer): void;
  /**
   * Records that no connection to a server could be opened.
   *
   * @param server The server.
   * @param error Why.
   * @param startedAtMs When the attempt began, on the monotonic clock.
   */
  recordConnectFailure(
    server: ListedServer,
    error: Error,
    startedAtMs: number,
  ): void;
  /** Records a response of a server on a connection of this VM. */
  recordResponse(server: ListedServer): void;
  /** @returns The services that this VM had to do with. */
  list(): ServiceReachState[];
  /** @returns Connections that could not be opened since the start. */
  countConnectFailures(): number;
}

/** Dependencies of `createReachMonitor`. */
export interface ReachMonitorOptions {
  clock: Clock;
  log: Log;
  /** @returns Number of servers of a service that may get requests. */
  countServers: (service: string) => number;
}

/**
 * @param options Dependencies.
 * @returns A monitor to which all services are reached.
 */
export function createReachMonitor(options: ReachMonitorOptions): ReachMonitor {
  const { clock, log } = options;
  const evidence = createReachEvidence(options);
  /** Services that are lost, with the time of the change. */
  const lostSinceMs = new Map<string, number>();
  let connectFailures = 0;

  /** Logs which services were lost or are reached again since the last call. */
  function logChanges(): void {
    const nowMs = clock.monotonicMs();
    const lost = new Set(evidence.listLost());
    for (const service of lost) {
      if (lostSinceMs.has(service)) continue;
      lostSinceMs.set(service, nowMs);
      log.warn(describe(service), "service lost");
    }
    for (const [service, sinceMs] of lostSinceMs) {
      if (lost.has(service)) continue;
      lostSinceMs.delete(service);
      const lostMs = Math.round(nowMs - sinceMs);
      log.warn({ service, lostMs }, "service reached again");
    }
  }

  function describe(service: string): ServiceReachState {
    const agoMs = clock.monotonicMs() - evidence.getSucceededAtMs(service);
    return {
      service,
      reach: evidence.assess(service),
      failing: evidence.listFailing(service),
      succeededAgoMs: Math.round(agoMs),
    };
  }

  return {
    recordConnected(server) {
      evidence.recordConnected(server);
      if (lostSinceMs.size > 0) logChanges();
    },
    recordConnectFailure(server, error, startedAtMs) {
      connectFailures++;
      const { id, service } = server;
      const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
      log.info(
        { server: id, service, tookMs, reason: describeError(error) },
        "connection to server failed",
      );
      evidence.recordConnectFailure(server, startedAtMs);
      logChanges();
    },
    recordResponse: evidence.recordResponse,
    list: () => evidence.listServices().map(describe),
    countConnectFailures: () => connectFailures,
  };
}
