/**
 * Infers from this VM's own connections whether it reaches the servers of each
 * service, as opposed to a single server being down.
 *
 * Load pattern: the links of a VM to the backend servers break, while clients
 * and other VMs still reach it. A server that is down fails alone: connections
 * to other servers of its service open meanwhile. Open connections may live on
 * while no new one opens, so that responses alone prove nothing. Several servers
 * may crash together, and requests are placed on them again and again. Only
 * failed probes of random servers therefore make a service lost.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { ListedServer } from "./types.ts";

/**
 * Whether a VM reaches a service.
 *
 * - `reached`: nothing speaks against it.
 * - `doubtful`: something got no response, or several servers refused, and
 *   nothing has succeeded since it began. A single refusal is quick, so that
 *   another server can be tried instead.
 * - `lost`: no connection opens to several servers, and no probe succeeds.
 */
export type ServiceReach = "reached" | "doubtful" | "lost";

/** A connection that could not be opened. */
export interface ConnectFailure {
  /** When the attempt began, on the monotonic clock. */
  startedAtMs: number;
  /** Whether the address did not respond, rather than refusing. */
  isTimeout: boolean;
  /** Whether it was a probe of a server chosen at random, not a request. */
  isProbe: boolean;
}

/** What this VM's own connections show. */
export interface ReachEvidence {
  /** Records that a connection to a server was opened. */
  recordConnected(server: ListedServer): void;
  /**
   * Records that no connection to a server could be opened.
   *
   * @param server The server.
   * @param failure How the attempt failed.
   */
  recordConnectFailure(server: ListedServer, failure: ConnectFailure): void;
  /** Records a response of a server on a connection of this VM. */
  recordResponse(server: ListedServer): void;
  /** Records that no server of a service responds to waiting requests. */
  recordSilence(service: string): void;
  /**
   * @param service A service.
   * @returns Whether this VM reaches it.
   */
  assess(service: string): ServiceReach;
  /**
   * @param server A server.
   * @returns Whether the last connection attempts to it and to others failed.
   */
  isFailing(server: ListedServer): boolean;
  /**
   * @param service A service.
   * @returns Whether several of its servers are failing but too few probes have
   *   failed yet.
   */
  isSuspected(service: string): boolean;
  /**
   * @param service A service.
   * @returns When a connection to one of its servers opened or one responded
   *   last; -Infinity where there was none.
   */
  getSucceededAtMs(service: string): number;
  /**
   * @param service A service.
   * @returns Ids of its servers to which no connection opens.
   */
  listFailing(service: string): string[];
  /** @returns Services that are lost. */
  listLost(): string[];
  /** @returns All services with any evidence. */
  listServices(): string[];
}

/** Dependencies of `createReachEvidence`. */
export interface ReachEvidenceOptions {
  clock: Clock;
  /** @returns Number of servers of a service that may get requests. */
  countServers: (service: string) => number;
}

/**
 * Distinct servers to which no connection opens that make a service suspected. A
 * second one distinguishes a broken link from a server that is down.
 */
const MIN_FAILING_SERVERS = 2;
/** Distinct servers whose probes timed out that make a service lost. */
const MIN_SILENT_PROBES = 2;
/**
 * Distinct servers whose probes were refused that make a service lost. Servers
 * that have crashed refuse too: with a third of the servers down, all four of a
 * random set are down in about one case of a hundred.
 */
const MIN_REFUSED_PROBES = 4;
/** Failures and silence are forgotten after this time. */
const EVIDENCE_LIFE_MS = 3_000;

interface ServiceEvidence {
  connectedAtMs: number;
  respondedAtMs: number;
  /** The last failure at a server, by id. */
  failing: Map<string, ConnectFailure>;
  /** When silence was noticed; undefined where there is none. */
  silentAtMs: number | undefined;
  isLost: boolean;
}

/**
 * @param options Dependencies.
 * @returns Evidence of nothing.
 */
export function createReachEvidence(
  { clock, countServers }: ReachEvidenceOptions,
): ReachEvidence {
  const services = new Map<string, ServiceEvidence>();
  /** Servers of any service whose probes failed since anything succeeded. */
  const failingAnywhere = new Map<string, ConnectFailure>();
  let succeededAtMs = -Infinity;

  function getEvidence(service: string): ServiceEvidence {
    const known = services.get(service);
    if (known !== undefined) return known;
    const evidence: ServiceEvidence = {
      connectedAtMs: -Infinity,
      respondedAtMs: -Infinity,
      failing: new Map(),
      silentAtMs: undefined,
      isLost: false,
    };
    services.set(service, evidence);
    return evidence;
  }

  function recordSuccess(): void {
    succeededAtMs = clock.monotonicMs();
    failingAnywhere.clear();
  }

  function dropOld(failing: Map<string, ConnectFailure>): void {
    const endMs = clock.monotonicMs() - EVIDENCE_LIFE_MS;
    for (const [id, { startedAtMs }] of failing) {
      if (startedAtMs < endMs) failing.delete(id);
    }
  }

  function hasSeveralFailing(
    service: string,
    { failing }: ServiceEvidence,
  ): boolean {
    dropOld(failing);
    const needed = Math.min(MIN_FAILING_SERVERS, countServers(service));
    return failing.size >= Math.max(1, needed);
  }

  /** Whether enough probes have failed to make a service lost. */
  function haveProbesFailed(
    service: string,
    { failing }: ServiceEvidence,
  ): boolean {
    const failures = [...failing.values()];
    const probes = failures.filter(({ isProbe }) => isProbe).length;
    const needed = countNeededProbes(failures);
    return probes >= Math.min(needed, countServers(service) - 1);
  }

  /** Whether something got no response and nothing has succeeded since. */
  function isDoubtful(service: string, evidence: ServiceEvidence): boolean {
    const { failing, silentAtMs, connectedAtMs, respondedAtMs } = evidence;
    const endMs = clock.monotonicMs() - EVIDENCE_LIFE_MS;
    if (silentAtMs !== undefined && silentAtMs >= endMs) return true;
    if (failing.size > 0 && hasSeveralFailing(service, evidence)) return true;
    const lastMs = Math.max(connectedAtMs, respondedAtMs, endMs);
    for (const { startedAtMs, isTimeout } of failing.values()) {
      if (isTimeout && startedAtMs > lastMs) return true;
    }
    return false;
  }

  function assess(service: string): ServiceReach {
    const evidence = services.get(service);
    if (evidence === undefined) return "reached";
    if (evidence.isLost) return "lost";
    return isDoubtful(service, evidence) ? "doubtful" : "reached";
  }

  return {
    recordConnected({ service }) {
      const evidence = getEvidence(service);
      evidence.connectedAtMs = clock.monotonicMs();
      evidence.failing.clear();
      evidence.silentAtMs = undefined;
      evidence.isLost = false;
      recordSuccess();
    },
    recordConnectFailure({ id, service }, failure) {
      const evidence = getEvidence(service);
      const { startedAtMs, isProbe } = failure;
      // Another server was connected to meanwhile: this one alone failed.
      if (evidence.connectedAtMs >= startedAtMs) return;
      dropOld(evidence.failing);
      const wasProbed = evidence.failing.get(id)?.isProbe ?? false;
      const known = { ...failure, isProbe: isProbe || wasProbed };
      evidence.failing.set(id, known);
      if (
        hasSeveralFailing(service, evidence) &&
        haveProbesFailed(service, evidence)
      ) evidence.isLost = true;
      if (succeededAtMs >= startedAtMs || !isProbe) return;
      dropOld(failingAnywhere);
      failingAnywhere.set(id, failure);
      const needed = countNeededProbes([...failingAnywhere.values()]);
      if (failingAnywhere.size < needed) return;
      for (const other of services.values()) other.isLost = true;
    },
    recordResponse({ service }) {
      const evidence = getEvidence(service);
      evidence.respondedAtMs = clock.monotonicMs();
      evidence.silentAtMs = undefined;
      recordSuccess();
    },
    recordSilence(service) {
      getEvidence(service).silentAtMs = clock.monotonicMs();
    },
    assess,
    isFailing: ({ id, service }) =>
      services.get(service)?.failing.has(id) ?? false,
    isSuspected(service) {
      const evidence = services.get(service);
      return evidence !== undefined && !evidence.isLost &&
        hasSeveralFailing(service, evidence);
    },
    getSucceededAtMs(service) {
      const evidence = services.get(service);
      if (evidence === undefined) return -Infinity;
      return Math.max(evidence.connectedAtMs, evidence.respondedAtMs);
    },
    listFailing: (service) => [...services.get(service)?.failing.keys() ?? []],
    listLost: () =>
      [...services].filter(([, { isLost }]) => isLost).map(([name]) => name),
    listServices: () => [...services.keys()],
  };
}

function countNeededProbes(failures: readonly ConnectFailure[]): number {
  const hasTimeout = failures.some(({ isTimeout }) => isTimeout);
  return hasTimeout ? MIN_SILENT_PROBES : MIN_REFUSED_PROBES;
}
