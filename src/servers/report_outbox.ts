/**
 * Reports about servers that this VM is due to send to the others.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import {
  countDomains,
  HOLD_MS,
  KEPT_MS,
  type ReachabilityNews,
  type ReachabilityReport,
  REPORT_LIFE_MS,
} from "./reachability_types.ts";
import type { RemoteReports } from "./remote_reports.ts";
import type { ServerContacts } from "./server_contacts.ts";

/** Reports that are due. */
export interface ReportOutbox {
  /**
   * Queues the report of a response, unless a failure after it is queued or was
   * reported: the others keep only the last report of a VM.
   *
   * @param server Id of the server instance.
   * @param atMs Time of the response.
   */
  queueResponse(server: string, atMs: number): void;
  /**
   * Queues the report of a failure that was just observed. It is sent once
   * responses of other servers show that this VM's link works.
   *
   * @param server Id of the server instance.
   * @param hasTimedOut Whether a connect attempt timed out, which shows when
   *   the failure began.
   */
  queueFailure(server: string, hasTimedOut: boolean): void;
  /** Drops a queued report that a server is unreachable. */
  cancelFailure(server: string): void;
  /**
   * @param server Id of a server instance.
   * @returns Whether this VM's last report says that it is unreachable, and is
   *   still in force.
   */
  hasReportedFailure(server: string): boolean;
  /** @returns Reports that may be sent now, a bounded number. */
  take(): ReachabilityReport[];
  /** @returns Whether any reports are queued. */
  hasPending(): boolean;
  /** Drops what is too old to matter to the next reports. */
  sweep(): void;
  /**
   * Subscribes to the first report to be sent after there was none.
   *
   * @param onFirst Called with each such report.
   */
  subscribe(onFirst: () => void): void;
  /** @returns Number of reports sent since the start of the process. */
  countSent(): number;
}

/** Dependencies of `createReportOutbox`. */
export interface ReportOutboxOptions {
  clock: Clock;
  log: Log;
  ownId: string;
  ownDomain: string;
  contacts: Pick<ServerContacts, "countReached" | "reachesOthers">;
  remote: Pick<RemoteReports, "getCurrent" | "getRespondedAtMs">;
}

/**
 * Servers that responded this long before a connect timeout, or later, show
 * that the VM's own link works. The timeout takes 400 ms, so that a link that
 * broke before the attempt shows none; a VM with 10 requests a second gets
 * about three responses in that time.
 */
const EVIDENCE_MS = 300;
/** Interval at which a server is reported again. */
const RENEW_MS = 1_000;
/** Maximum number of servers per message. */
const MAX_TAKEN_REPORTS = 32;

/** News of this VM that was not sent yet. */
interface PendingNews {
  news: ReachabilityNews;
  atMs: number;
  /** From when on responses of other servers show that the link works. */
  evidenceFromMs: number;
}

/** What this VM told the others last. */
interface SentNews {
  news: ReachabilityNews;
  atMs: number;
  stampMs: number;
  sentAtMs: number;
}

/**
 * @param options Dependencies.
 * @returns An outbox without reports.
 */
export function createReportOutbox(options: ReportOutboxOptions): ReportOutbox {
  const { clock, log, contacts, remote } = options;
  const pending = new Map<string, PendingNews>();
  const sent = new Map<string, SentNews>();
  const listeners: (() => void)[] = [];
  let sentReports = 0;

  function queue(server: string, item: PendingNews): void {
    pending.set(server, item);
    if (pending.size === 1) { for (const onFirst of listeners) onFirst(); }
  }

  /** Whether the others have the news already. */
  function isKnown(server: string, { news, atMs }: PendingNews): boolean {
    const nowMs = clock.monotonicMs();
    const last = sent.get(server);
    if (last?.news === news && nowMs - last.sentAtMs < RENEW_MS) return true;
    if (news === "responded") return remote.getRespondedAtMs(server) >= atMs;
    const recent = remote.getCurrent(server).filter(([, report]) =>
      nowMs - report.atMs < RENEW_MS
    );
    return countDomains(recent) > 1;
  }

  function takeReport(
    server: string,
    { news, atMs }: PendingNews,
  ): ReachabilityReport {
    const nowMs = clock.monotonicMs();
    const lastStampMs = sent.get(server)?.stampMs ?? 0;
    const stampMs = Math.max(clock.now().getTime(), lastStampMs + 1);
    pending.delete(server);
    sent.set(server, { news, atMs, stampMs, sentAtMs: nowMs });
    sentReports++;
    log.info(
      { server, news, ageMs: Math.round(nowMs - atMs) },
      "reachability sent",
    );
    return {
      server,
      by: options.ownId,
      failureDomain: options.ownDomain,
      news,
      stampMs,
      ageMs: nowMs - atMs,
      reached: contacts.countReached(server, nowMs - REPORT_LIFE_MS),
    };
  }

  return {
    queueResponse(server, atMs) {
      const lastMs = (pending.get(server) ?? sent.get(server))?.atMs;
      if (lastMs !== undefined && lastMs > atMs) return;
      queue(server, { news: "responded", atMs, evidenceFromMs: -Infinity });
    },
    queueFailure(server, hasTimedOut) {
      const atMs = clock.monotonicMs();
      // A request may go unanswered just after the link broke, so that earlier
      // responses show nothing.
      const evidenceFromMs = atMs - (hasTimedOut ? EVIDENCE_MS : 0);
      queue(server, { news: "unreachable", atMs, evidenceFromMs });
    },
    cancelFailure(server) {
      if (pending.get(server)?.news === "unreachable") pending.delete(server);
    },
    hasReportedFailure(server) {
      const last = sent.get(server);
      return last?.news === "unreachable" &&
        clock.monotonicMs() - last.atMs <= REPORT_LIFE_MS;
    },
    take() {
      const reports: ReachabilityReport[] = [];
      for (const [server, item] of pending) {
        if (reports.length >= MAX_TAKEN_REPORTS) break;
        const isLate = clock.monotonicMs() - item.atMs > HOLD_MS;
        if (isLate || isKnown(server, item)) pending.delete(server);
        else if (
          item.news === "responded" ||
          contacts.reachesOthers(server, item.evidenceFromMs)
        ) {
          reports.push(takeReport(server, item));
        }
      }
      return reports;
    },
    hasPending: () => pending.size > 0,
    sweep() {
      const endMs = clock.monotonicMs() - KEPT_MS;
      for (const [server, { sentAtMs }] of sent) {
        if (sentAtMs < endMs) sent.delete(server);
      }
    },
    subscribe: (onFirst) => void listeners.push(onFirst),
    countSent: () => sentReports,
  };
}
