/**
 * Shares between VMs which backend servers are unresponsive.
 *
 * Load pattern: servers lose their machine without notice, and their address
 * then answers nothing. A VM sends a given server one request every 20 s, so
 * that each VM would need many of them to detect this alone.
 *
 * A report of another VM is weak evidence, since that VM's own link may be
 * broken: alone, it makes this VM choose the server last. Reports from two
 * failure domains, or one together with an outcome of this VM, exclude it.
 * Reports refer to an instance of a server, so that they say nothing about the
 * next one at the same address.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";
import type { Log } from "../telemetry/log.ts";
import { createAvoidanceRule } from "./avoidance.ts";
import { createAvoidanceLog } from "./avoidance_log.ts";
import type {
  Avoidance,
  ContactOutcome,
  ReachabilityReport,
  VmReport,
} from "./reachability_types.ts";
import type { KnownServer } from "./registry.ts";
import { createRemoteReports } from "./remote_reports.ts";
import { createReportOutbox } from "./report_outbox.ts";
import { createServerContacts } from "./server_contacts.ts";
import { createServerTrials } from "./server_trials.ts";
import type { ListedServer } from "./types.ts";

export type {
  Avoidance,
  ContactOutcome,
  ReachabilityNews,
  ReachabilityReport,
} from "./reachability_types.ts";

/** A server with current reports, for the state dump. */
export interface AvoidedServer {
  server: string;
  avoidance: Avoidance;
  reports: { by: string; failureDomain: string; ageMs: number }[];
  hasOwnEvidence: boolean;
  isTrialRunning: boolean;
}

/** Counts since the start of the process. */
export interface ReachabilityStats {
  sent: number;
  /** New reports of other VMs. */
  received: number;
  /** New reports that exceeded the permitted rate. */
  dropped: number;
  trials: number;
}

/** Which servers respond to this VM and to others. */
export interface ServerReachability {
  /**
   * Records the outcome of an attempt of this VM.
   *
   * @param server Id of the server instance.
   * @param outcome The outcome.
   */
  recordOwn(server: string, outcome: ContactOutcome): void;
  /**
   * Applies reports that another VM sent or relayed.
   *
   * @param reports The reports.
   * @returns Those that are new to this VM, to be relayed.
   */
  receive(reports: readonly ReachabilityReport[]): ReachabilityReport[];
  /** @returns Reports of this VM that are due, a bounded number. */
  takeReports(): ReachabilityReport[];
  /** @returns Whether `takeReports` may return reports, now or soon. */
  hasPending(): boolean;
  /** @returns Whether any reports may be in force, so that servers are avoided. */
  hasReports(): boolean;
  /**
   * @param server A server.
   * @returns How it is used because of reports.
   */
  getAvoidance(server: ListedServer): Avoidance;
  /**
   * @param server Id of an avoided server instance.
   * @returns Whether it may get an idempotent request as a trial.
   */
  isTrialDue(server: string): boolean;
  /** Records that an avoided server gets a trial request. */
  beginTrial(server: string): void;
  /** Records that the trial request ended, whatever its outcome. */
  endTrial(server: string): void;
  /** @returns Servers with current reports. */
  list(): AvoidedServer[];
  /** @returns Counts since the start of the process. */
  getStats(): ReachabilityStats;
  /**
   * Subscribes to the first report to be sent after there was none.
   *
   * @param onFirst Called with each such report.
   */
  subscribe(onFirst: () => void): void;
}

/** Dependencies of `createServerReachability`. */
export interface ReachabilityOptions {
  clock: Clock;
  log: Log;
  random: Random;
  ownId: string;
  ownDomain: string;
  /** @returns Number of VMs, this one included. */
  countVms: () => number;
  /** @returns All listed servers. */
  listAll: () => readonly KnownServer[];
  /** @returns The servers of a service that may get requests. */
  listUsable: (service: string) => readonly KnownServer[];
}

/**
 * @param options Dependencies.
 * @returns A state in which all servers are taken to respond.
 */
export function createServerReachability(
  options: ReachabilityOptions,
): ServerReachability {
  const { clock, log, ownId } = options;
  const contacts = createServerContacts(clock);
  const remote = createRemoteReports(ownId, contacts, clock);
  const outbox = createReportOutbox({ ...options, contacts, remote });
  const trials = createServerTrials(options);
  const getAvoidance = createAvoidanceRule({ ...options, contacts, remote });
  const avoidanceLog = createAvoidanceLog(log, clock);

  function recordResponse(server: string): void {
    const isContrary = remote.getCurrent(server).length > 0 ||
      outbox.hasReportedFailure(server);
    contacts.recordResponse(server);
    outbox.cancelFailure(server);
    if (!isContrary) return;
    remote.invalidate();
    outbox.queueResponse(server, clock.monotonicMs());
    avoidanceLog.recordResponse(server, ownId);
  }

  /** @returns Whether the report is new to this VM. */
  function applyReport(report: ReachabilityReport): boolean {
    if (!remote.apply(report)) return false;
    const { server, by, news, ageMs } = report;
    if (news === "responded") {
      avoidanceLog.recordResponse(server, by);
      return true;
    }
    const atMs = clock.monotonicMs() - ageMs;
    trials.schedule(server, atMs);
    const respondedAtMs = contacts.getRespondedAtMs(server);
    if (respondedAtMs > atMs) outbox.queueResponse(server, respondedAtMs);
    return true;
  }

  function sweep(): void {
    outbox.sweep();
    for (const server of remote.sweep()) {
      trials.forget(server);
      avoidanceLog.forget(server);
    }
  }

  function describeReports(
    reports: readonly VmReport[],
  ): AvoidedServer["reports"] {
    const nowMs = clock.monotonicMs();
    return reports.map(([by, { failureDomain, atMs }]) => ({
      by,
      failureDomain,
      ageMs: Math.round(nowMs - atMs),
    }));
  }

  return {
    recordOwn(server, outcome) {
      if (outcome === "responded") return recordResponse(server);
      trials.postpone(server);
      if (contacts.recordFailure(server, outcome)) {
        outbox.queueFailure(server, outcome === "unreachable");
      }
    },
    receive(reports) {
      sweep();
      const applied = reports.filter(applyReport);
      if (applied.length === 0) return applied;
      const servers = new Set(applied.map(({ server }) => server));
      for (const { listed } of options.listAll()) {
        if (!servers.has(listed.id)) continue;
        avoidanceLog.recordAvoided(listed, getAvoidance(listed), () => ({
          reports: describeReports(remote.getCurrent(listed.id)),
          hasOwnEvidence: contacts.hasRecentFailure(listed.id),
        }));
      }
      return applied;
    },
    takeReports() {
      sweep();
      return outbox.take();
    },
    hasPending: outbox.hasPending,
    hasReports: remote.hasAny,
    getAvoidance,
    isTrialDue: trials.isDue,
    beginTrial: trials.begin,
    endTrial: trials.end,
    list: () =>
      options.listAll().flatMap(({ listed }) => {
        const { id } = listed;
        const current = remote.getCurrent(id);
        if (current.length === 0) return [];
        return [{
          server: id,
          avoidance: getAvoidance(listed),
          reports: describeReports(current),
          hasOwnEvidence: contacts.hasRecentFailure(id),
          isTrialRunning: trials.isRunning(id),
        }];
      }),
    getStats: () => ({
      sent: outbox.countSent(),
      ...remote.getStats(),
      trials: trials.countStarted(),
    }),
    subscribe: outbox.subscribe,
  };
}
