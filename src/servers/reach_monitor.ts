/**
 * Watches whether this VM reaches the servers of each service: collects evidence
 * from its connections, and opens connections of its own where that is in doubt.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";
import type { Dial } from "../runtime/dial.ts";
import { describeError } from "../runtime/errors.ts";
import type { Random } from "../runtime/random.ts";
import type { Log } from "../telemetry/log.ts";
import { selectProbeTargets } from "./probe_targets.ts";
import { createReachEvidence, type ServiceReach } from "./reach_evidence.ts";
import type { KnownServer } from "./registry.ts";
import { createSilenceWatch } from "./silence_watch.ts";
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

/** An attempt over a connection of this VM that has no response yet. */
export interface WatchedAttempt {
  /** Ends the watch. */
  end(): void;
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
    error: Error & { isTimeout: boolean },
    startedAtMs: number,
  ): void;
  /** Records a response of a server on a connection of this VM. */
  recordResponse(server: ListedServer): void;
  /**
   * Watches an attempt over a connection of this VM.
   *
   * @param server The server.
   * @param onLost Called once if no server of the service responds and it is
   *   lost.
   * @returns The watch, to be ended with the attempt.
   */
  watch(server: ListedServer, onLost: () => void): WatchedAttempt;
  /**
   * @param service A service.
   * @returns Whether this VM reaches it.
   */
  assess(service: string): ServiceReach;
  /**
   * @param server A server.
   * @returns Whether it responded on a connection of this VM a moment ago.
   */
  hasResponded(server: ListedServer): boolean;
  /**
   * Opens connections to other servers of a service, to tell a server that is
   * down from a broken link of this VM.
   *
   * @param server The server that is in doubt.
   * @returns Whether one of them is reached; true where there is none.
   */
  reachesOthers(server: ListedServer): Promise<boolean>;
  /**
   * Subscribes to services that are lost, as far as probes confirm it, and that
   * are reached again after that.
   *
   * @param onChange Called with the service.
   */
  subscribe(onChange: (service: string, isLost: boolean) => void): void;
  /** @returns The services that this VM had to do with. */
  list(): ServiceReachState[];
  /** @returns Connections that could not be opened since the start. */
  countConnectFailures(): number;
  /** Ends all timers. */
  stop(): void;
}

/** Dependencies of `createReachMonitor`. */
export interface ReachMonitorOptions {
  clock: Clock;
  log: Log;
  random: Random;
  dial: Dial;
  /** @returns The servers of a service that may get requests. */
  listUsable: (service: string) => readonly KnownServer[];
  /** @returns Mean run time of a service's requests, in ms, if known. */
  getMeanRunMs: (service: string) => number | undefined;
}

const DIAL_TIMEOUT_MS = 400;
/** Servers that are dialed at once where a service is in doubt. */
const CHECKED_SERVERS = 2;
/** Least interval of such checks of a service. */
const MIN_CHECK_INTERVAL_MS = 300;
/**
 * Servers that are dialed to judge a crash, or several failures. A request that
 * crashes servers may have crashed some of these a moment ago.
 */
const COMPARED_SERVERS = 4;
/** Servers that are dialed at once while a service is lost. */
const PROBED_SERVERS = 2;
/** Interval of these dials; it grows by half each time. */
const FIRST_PROBE_INTERVAL_MS = 200;
const MAX_PROBE_INTERVAL_MS = 1_000;
const PROBE_INTERVAL_GROWTH = 1.5;
/** Random share added, so that VMs of a fleet don't probe together. */
const PROBE_JITTER = 0.25;
/** Time for which a response shows that open connections to a server live. */
const RESPONSE_LIFE_MS = 1_000;
/** Servers whose last responses are kept. */
const MAX_RESPONSES = 4_096;

interface LostService {
  sinceMs: number;
  probeIntervalMs: number;
  /** Whether the first probes failed too. */
  isConfirmed: boolean;
  timer: Timer | undefined;
}

/**
 * @param options Dependencies.
 * @returns A monitor to which all services are reached.
 */
export function createReachMonitor(options: ReachMonitorOptions): ReachMonitor {
  const { clock, log, random, dial, listUsable } = options;
  const evidence = createReachEvidence({
    clock,
    countServers: (service) => listUsable(service).length,
  });
  const silence = createSilenceWatch({
    clock,
    getMeanRunMs: options.getMeanRunMs,
    getSucceededAtMs: evidence.getSucceededAtMs,
    isLost: (service) => evidence.assess(service) === "lost",
    onSilent(server) {
      evidence.recordSilence(server.service);
      check(server.service, [server]);
    },
  });
  const lostServices = new Map<string, LostService>();
  const checkedAtMs = new Map<string, number>();
  /** Services some of whose servers are being dialed to check them. */
  const checking = new Set<string>();
  const respondedAtMs = new Map<string, number>();
  const listeners: ((service: string, isLost: boolean) => void)[] = [];
  let connectFailures = 0;
  let isStopped = false;

  /**
   * Dials servers at the same time. One that accepts shows that the others are
   * down themselves, so failures count only where none does.
   *
   * @param servers The servers.
   * @param onAccepted Called with each connection that opens.
   * @returns Whether one of them accepted.
   */
  async function probeServers(
    servers: readonly ListedServer[],
    onAccepted = () => {},
  ): Promise<boolean> {
    const startedAtMs = clock.monotonicMs();
    let isReached = false;
    const results = await Promise.all(servers.map(async (server) => {
      const result = await dial(server.address, DIAL_TIMEOUT_MS);
      if (isStopped || result !== "accepted") return { server, result };
      isReached = true;
      evidence.recordConnected(server);
      applyChanges();
      onAccepted();
      return { server, result };
    }));
    if (isStopped || isReached) return isReached;
    for (const { server, result } of results) {
      const isTimeout = result === "silent";
      evidence.recordConnectFailure(server, {
        startedAtMs,
        isTimeout,
        isProbe: true,
      });
    }
    applyChanges();
    return false;
  }

  function selectTargets(
    service: string,
    count: number,
    except: readonly ListedServer[] = [],
  ): ListedServer[] {
    const servers = listUsable(service).map(({ listed }) => listed);
    return selectProbeTargets(servers, {
      count,
      except,
      isFailing: evidence.isFailing,
      random,
    });
  }

  /**
   * Dials the suspected servers of a service, and others up to two, or more
   * where several have failed. Checks of a suspected service are not delayed,
   * since requests are sent by way of other VMs meanwhile.
   */
  function check(service: string, suspects: readonly ListedServer[]): void {
    if (isStopped || checking.has(service)) return;
    const nowMs = clock.monotonicMs();
    const lastMs = checkedAtMs.get(service) ?? -Infinity;
    const isSuspected = evidence.isSuspected(service);
    if (nowMs - lastMs < MIN_CHECK_INTERVAL_MS && !isSuspected) return;
    checkedAtMs.set(service, nowMs);
    const count = isSuspected ? COMPARED_SERVERS : CHECKED_SERVERS;
    const others = selectTargets(service, count - suspects.length, suspects);
    const targets = [...suspects, ...others];
    checking.add(service);
    probeServers(targets).then(() => {
      checking.delete(service);
      if (targets.length > 0 && evidence.isSuspected(service)) {
        check(service, []);
      }
    });
  }

  /** Probes a lost service until one of its servers accepts a connection. */
  function startProbing(service: string, lost: LostService): void {
    probeServers(selectTargets(service, PROBED_SERVERS)).then(() => {
      const isLost = lostServices.get(service) === lost;
      if (isLost && !lost.isConfirmed) confirm(service, lost);
    });
    const delayMs = lost.probeIntervalMs * (1 + PROBE_JITTER * random());
    lost.probeIntervalMs = Math.min(
      MAX_PROBE_INTERVAL_MS,
      lost.probeIntervalMs * PROBE_INTERVAL_GROWTH,
    );
    lost.timer = clock.after(delayMs, () => {
      if (lostServices.get(service) === lost) startProbing(service, lost);
    });
  }

  function confirm(service: string, lost: LostService): void {
    lost.isConfirmed = true;
    listeners.forEach((onChange) => onChange(service, true));
  }

  /** Applies which services were lost or are reached again since the last call. */
  function applyChanges(): void {
    // Connections that are closed at the end fail too.
    if (isStopped) return;
    const nowMs = clock.monotonicMs();
    const current = new Set(evidence.listLost());
    for (const service of current) {
      if (lostServices.has(service)) continue;
      const lost: LostService = {
        sinceMs: nowMs,
        probeIntervalMs: FIRST_PROBE_INTERVAL_MS,
        isConfirmed: false,
        timer: undefined,
      };
      lostServices.set(service, lost);
      log.warn(describe(service), "service lost");
      startProbing(service, lost);
    }
    for (const [service, { sinceMs, timer, isConfirmed }] of lostServices) {
      if (current.has(service)) continue;
      timer?.cancel();
      lostServices.delete(service);
      const lostMs = Math.round(nowMs - sinceMs);
      log.warn({ service, lostMs }, "service reached again");
      if (isConfirmed) {
        listeners.forEach((onChange) => onChange(service, false));
      }
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
      if (lostServices.size > 0) applyChanges();
    },
    recordConnectFailure(server, error, startedAtMs) {
      connectFailures++;
      const { id, service } = server;
      const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
      log.info(
        { server: id, service, tookMs, reason: describeError(error) },
        "connection to server failed",
      );
      const { isTimeout } = error;
      evidence.recordConnectFailure(server, {
        startedAtMs,
        isTimeout,
        isProbe: false,
      });
      applyChanges();
      if (evidence.isFailing(server)) check(service, []);
    },
    recordResponse(server) {
      if (respondedAtMs.size >= MAX_RESPONSES) respondedAtMs.clear();
      respondedAtMs.set(server.id, clock.monotonicMs());
      evidence.recordResponse(server);
    },
    watch: silence.watch,
    assess: evidence.assess,
    hasResponded: ({ id }) =>
      clock.monotonicMs() - (respondedAtMs.get(id) ?? -Infinity) <
        RESPONSE_LIFE_MS,
    async reachesOthers(server) {
      const others = selectTargets(server.service, COMPARED_SERVERS, [server]);
      if (others.length === 0) return true;
      return await new Promise<boolean>((resolve) => {
        probeServers(others, () => resolve(true)).then(resolve);
      });
    },
    subscribe: (onChange) => void listeners.push(onChange),
    list: () => evidence.listServices().map(describe),
    countConnectFailures: () => connectFailures,
    stop() {
      isStopped = true;
      silence.stop();
      for (const { timer } of lostServices.values()) timer?.cancel();
    },
  };
}
