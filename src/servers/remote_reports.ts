/**
 * Reports of other VMs about unresponsive servers, and which are in force.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import {
  KEPT_MS,
  MIN_REACHED,
  MIN_REACHED_RATIO,
  type ReachabilityReport,
  type RemoteReport,
  REPORT_LIFE_MS,
  type VmReport,
} from "./reachability_types.ts";
import type { ServerContacts } from "./server_contacts.ts";

/** Reports of other VMs. */
export interface RemoteReports {
  /**
   * Keeps a report that another VM sent or relayed.
   *
   * @param report The report.
   * @returns Whether it is new to this VM, and accepted.
   */
  apply(report: ReachabilityReport): boolean;
  /**
   * @param server Id of a server instance.
   * @returns The reports in force that it is unreachable; at most 50 ms old.
   */
  getCurrent(server: string): readonly VmReport[];
  /** @returns The same by server; another map whenever they are computed. */
  getAllCurrent(): ReadonlyMap<string, readonly VmReport[]>;
  /** Computes the reports in force anew when they are next used. */
  invalidate(): void;
  /**
   * @param server Id of a server instance.
   * @returns The time of its last response to another VM; -Infinity where none
   *   was reported.
   */
  getRespondedAtMs(server: string): number;
  /** @returns Whether any reports may be in force. */
  hasAny(): boolean;
  /**
   * Drops what is too old to recognize repeated reports by.
   *
   * @returns The ids of the servers without reports since.
   */
  sweep(): string[];
  /** @returns Counts since the start of the process. */
  getStats(): { received: number; dropped: number };
}

/**
 * Reports of other VMs accepted a second. A report takes 162 bytes, and a VM
 * behind two hubs receives each twice: 6.5 KB/s at most.
 */
const MAX_RECEIVED_PER_S = 20;
/** Maximum number of servers with reports, and of reports for each. */
const MAX_SERVERS = 1_024;
const MAX_REPORTERS = 32;
/**
 * Time for which the reports in force are cached, since a choice examines about
 * ten servers.
 */
const CACHE_LIFE_MS = 50;

interface ReportedServer {
  /** The last report of each VM. */
  reports: Map<string, RemoteReport>;
  /** Last response to another VM. */
  respondedAtMs: number;
  lastReportAtMs: number;
}

/**
 * @param ownId Id of this VM, whose own reports are ignored.
 * @param contacts This VM's last outcomes.
 * @param clock The clock.
 * @returns A state without reports.
 */
export function createRemoteReports(
  ownId: string,
  contacts: Pick<ServerContacts, "getRespondedAtMs">,
  clock: Clock,
): RemoteReports {
  const reported = new Map<string, ReportedServer>();
  const stats = { received: 0, dropped: 0 };
  /** When the last report that a server is unreachable ends. */
  let endsAtMs = -Infinity;
  let cache:
    | { atMs: number; current: ReadonlyMap<string, readonly VmReport[]> }
    | undefined;
  let tokens = MAX_RECEIVED_PER_S;
  let refilledAtMs = clock.monotonicMs();

  function hasAny(): boolean {
    return endsAtMs >= clock.monotonicMs();
  }

  function getAllCurrent(): ReadonlyMap<string, readonly VmReport[]> {
    const nowMs = clock.monotonicMs();
    if (cache !== undefined && nowMs - cache.atMs < CACHE_LIFE_MS) {
      return cache.current;
    }
    const counts = countReportsByVm();
    const current = new Map<string, VmReport[]>();
    for (const [server, entry] of reported) {
      const reports = listCurrent(server, entry, counts);
      if (reports.length > 0) current.set(server, reports);
    }
    cache = { atMs: nowMs, current };
    return current;
  }

  function listCurrent(
    server: string,
    entry: ReportedServer,
    counts: ReadonlyMap<string, number>,
  ): VmReport[] {
    const nowMs = clock.monotonicMs();
    if (nowMs - entry.lastReportAtMs > REPORT_LIFE_MS) return [];
    const respondedAtMs = Math.max(
      entry.respondedAtMs,
      contacts.getRespondedAtMs(server),
    );
    return [...entry.reports].filter(([by, { news, atMs, reached }]) =>
      news === "unreachable" && nowMs - atMs <= REPORT_LIFE_MS &&
      atMs > respondedAtMs && reached >= MIN_REACHED &&
      reached >= MIN_REACHED_RATIO * (counts.get(by) ?? 0)
    );
  }

  /** Counts servers that each VM reported lately; many if its link is broken. */
  function countReportsByVm(): Map<string, number> {
    const startMs = clock.monotonicMs() - REPORT_LIFE_MS;
    const counts = new Map<string, number>();
    for (const { reports } of reported.values()) {
      for (const [by, { news, atMs }] of reports) {
        if (news !== "unreachable" || atMs < startMs) continue;
        counts.set(by, (counts.get(by) ?? 0) + 1);
      }
    }
    return counts;
  }

  function trackServer(server: string): ReportedServer | undefined {
    const known = reported.get(server);
    if (known !== undefined) return known;
    if (reported.size >= MAX_SERVERS) return undefined;
    const entry: ReportedServer = {
      reports: new Map(),
      respondedAtMs: -Infinity,
      lastReportAtMs: -Infinity,
    };
    reported.set(server, entry);
    return entry;
  }

  /** Takes a token of the permitted rate. */
  function tryAccept(): boolean {
    const nowMs = clock.monotonicMs();
    const added = (nowMs - refilledAtMs) / 1_000 * MAX_RECEIVED_PER_S;
    tokens = Math.min(MAX_RECEIVED_PER_S, tokens + added);
    refilledAtMs = nowMs;
    if (tokens < 1) {
      stats.dropped++;
      return false;
    }
    tokens--;
    return true;
  }

  return {
    apply(report) {
      const { server, by, news, stampMs, ageMs } = report;
      if (by === ownId || ageMs > REPORT_LIFE_MS) return false;
      const known = reported.get(server)?.reports.get(by);
      if (known !== undefined && stampMs <= known.stampMs) return false;
      if (!tryAccept()) return false;
      const entry = trackServer(server);
      if (entry === undefined) return false;
      stats.received++;
      cache = undefined;
      const atMs = clock.monotonicMs() - ageMs;
      const { failureDomain, reached } = report;
      entry.reports.delete(by);
      entry.reports.set(by, { failureDomain, news, stampMs, atMs, reached });
      if (entry.reports.size > MAX_REPORTERS) {
        const [oldest] = entry.reports.keys();
        entry.reports.delete(oldest);
      }
      entry.lastReportAtMs = Math.max(entry.lastReportAtMs, atMs);
      if (news === "responded") {
        entry.respondedAtMs = Math.max(entry.respondedAtMs, atMs);
      } else {
        endsAtMs = Math.max(endsAtMs, atMs + REPORT_LIFE_MS);
      }
      return true;
    },
    getCurrent(server) {
      if (!reported.has(server) || !hasAny()) return [];
      return getAllCurrent().get(server) ?? [];
    },
    getAllCurrent,
    invalidate() {
      cache = undefined;
    },
    getRespondedAtMs: (server) =>
      reported.get(server)?.respondedAtMs ?? -Infinity,
    hasAny,
    sweep() {
      const endMs = clock.monotonicMs() - KEPT_MS;
      const old = [...reported]
        .filter(([, { lastReportAtMs }]) => lastReportAtMs < endMs)
        .map(([server]) => server);
      for (const server of old) reported.delete(server);
      return old;
    },
    getStats: () => ({ ...stats }),
  };
}
