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
import type { KnownServer } from "./registry.ts";
import type { ListedServer } from "./types.ts";

/** What a VM tells others of a server. */
export type ReachabilityNews = "unreachable" | "responded";

/** Outcome of an attempt, as far as it shows whether a server responds. */
export type ContactOutcome =
  /** Any response of the server, a refusal included. */
  | "responded"
  /** The connect attempt timed out. */
  | "unreachable"
  /** No response to a request in time, while the server answered nothing else of this VM. */
  | "unanswered";

/** How a server is used because of reports of other VMs. */
export type Avoidance =
  | "none"
  /** Chosen only if no other server takes the request. */
  | "last"
  | "excluded";

/** A VM's news about a server, as VMs send it to each other. */
export interface ReachabilityReport {
  /** Id of the server instance. */
  server: string;
  /** The VM that learned it. */
  by: string;
  /** Failure domain of that VM. */
  failureDomain: string;
  news: ReachabilityNews;
  /**
   * Wall-clock time of that VM. Only compared with its other reports, to detect
   * repeated ones.
   */
  stampMs: number;
  /** Time since the outcome. */
  ageMs: number;
  /** Number of other servers that responded to that VM in the last seconds. */
  reached: number;
}

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
  /** @returns Whether any reports are held, so that servers may be avoided. */
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

/** Time after which a report counts no more; the longest ejection. */
const REPORT_LIFE_MS = 4_000;
/**
 * Servers that responded this long before a connect timeout, or later, show
 * that the VM's own link works. The timeout takes 400 ms, so that a link that
 * broke before the attempt shows none; a VM with 10 requests a second gets
 * about three responses in that time.
 */
const EVIDENCE_MS = 300;
/** Time for which an own outcome waits for such responses. */
const HOLD_MS = 2_000;
/** Other servers that have to respond for a report to count. */
const MIN_REACHED = 2;
/**
 * Servers that have to respond for each one that does not. A VM that reaches
 * fewer has probably lost a link rather than servers.
 */
const MIN_REACHED_RATIO = 2;
/**
 * Requests in a row without a response that count as an unreachable server.
 * Three in 100 requests take seven times as long and outlast their deadline at
 * a healthy server. With two in a row, 112 VMs made two false reports in 30 s.
 */
const MIN_UNANSWERED = 3;
/** Largest share of a service's servers that is avoided on reports. */
const MAX_AVOIDED_SHARE = 1 / 3;
/** Interval at which a server is reported again. */
const RENEW_MS = 1_000;
/** Time after a report without trials. */
const TRIAL_QUIET_MS = 1_000;
/**
 * Trials of all VMs together start on average this long apart, if each has
 * requests for the server: each VM draws its time from as many intervals as
 * there are VMs.
 */
const TRIAL_INTERVAL_MS = 250;
/** A trial that has not ended by then no longer prevents the next one. */
const MAX_TRIAL_MS = 10_000;
/** Maximum number of servers per message. */
const MAX_TAKEN_REPORTS = 32;
/**
 * Reports of other VMs accepted a second. A report takes 162 bytes, and a VM
 * behind two hubs receives each twice: 6.5 KB/s at most.
 */
const MAX_RECEIVED_PER_S = 20;
/** Maximum number of servers with reports, and of reports for each. */
const MAX_SERVERS = 1_024;
const MAX_REPORTERS = 32;
/** Maximum number of servers whose last response is kept. */
const MAX_CONTACTS = 4_096;
/**
 * Time for which reports are kept to recognize repeated ones, and for which an
 * own outcome counts as the one before.
 */
const KEPT_MS = 60_000;
/**
 * Time for which the reports in force are cached, since a choice examines about
 * ten servers.
 */
const VIEW_LIFE_MS = 50;
/** Minimum interval between two log lines about a server or a service. */
const LOG_INTERVAL_MS = 5_000;

/** Last outcomes of this VM at a server. */
interface Contact {
  respondedAtMs: number;
  /** Last outcome without a response. */
  failedAtMs: number;
  /** Consecutive requests without a response. */
  unanswered: number;
}

interface RemoteReport {
  failureDomain: string;
  news: ReachabilityNews;
  stampMs: number;
  atMs: number;
  reached: number;
}

interface ReportedServer {
  /** The last report of each VM. */
  reports: Map<string, RemoteReport>;
  /** Last response to another VM. */
  respondedAtMs: number;
  lastReportAtMs: number;
  trialDueAtMs: number;
  trialStartedAtMs: number;
  /** What was logged last, unless it was lifted. */
  logged: Avoidance;
  loggedAtMs: number;
}

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

type VmReport = [by: string, report: RemoteReport];

/** The reports in force at some time. */
interface ReportView {
  atMs: number;
  /** By server. */
  current: ReadonlyMap<string, readonly VmReport[]>;
  /** By service; filled on demand. */
  isOverBound: Map<string, boolean>;
}

const LEVELS: Record<Avoidance, number> = { none: 0, last: 1, excluded: 2 };

/**
 * @param options Dependencies.
 * @returns A state in which all servers are taken to respond.
 */
export function createServerReachability(
  options: ReachabilityOptions,
): ServerReachability {
  const { clock, log, ownId } = options;
  const contacts = new Map<string, Contact>();
  const reported = new Map<string, ReportedServer>();
  const pending = new Map<string, PendingNews>();
  const sent = new Map<string, SentNews>();
  const boundLoggedAtMs = new Map<string, number>();
  const listeners: (() => void)[] = [];
  const stats: ReachabilityStats = {
    sent: 0,
    received: 0,
    dropped: 0,
    trials: 0,
  };
  let view: ReportView | undefined;
  let acceptable = MAX_RECEIVED_PER_S;
  let acceptableAtMs = clock.monotonicMs();

  function getContact(server: string): Contact {
    const known = contacts.get(server);
    if (known !== undefined) return known;
    if (contacts.size >= MAX_CONTACTS) dropOldContacts();
    const contact: Contact = {
      respondedAtMs: -Infinity,
      failedAtMs: -Infinity,
      unanswered: 0,
    };
    contacts.set(server, contact);
    return contact;
  }

  function dropOldContacts(): void {
    const endMs = clock.monotonicMs() - KEPT_MS;
    for (const [server, { respondedAtMs, failedAtMs }] of contacts) {
      const isOld = respondedAtMs < endMs && failedAtMs < endMs;
      if (isOld) contacts.delete(server);
    }
    if (contacts.size >= MAX_CONTACTS) contacts.clear();
  }

  function queue(
    server: string,
    news: ReachabilityNews,
    atMs: number,
    evidenceFromMs = -Infinity,
  ): void {
    pending.set(server, { news, atMs, evidenceFromMs });
    if (pending.size === 1) { for (const onFirst of listeners) onFirst(); }
  }

  function recordResponse(server: string, contact: Contact): void {
    const nowMs = clock.monotonicMs();
    const last = sent.get(server);
    const isContrary = getCurrent(server).length > 0 ||
      last?.news === "unreachable" && nowMs - last.atMs <= REPORT_LIFE_MS;
    contact.respondedAtMs = nowMs;
    contact.unanswered = 0;
    if (pending.get(server)?.news === "unreachable") pending.delete(server);
    if (!isContrary) return;
    view = undefined;
    queue(server, "responded", nowMs);
    logLifted(server, ownId);
  }

  function recordFailure(
    server: string,
    contact: Contact,
    outcome: ContactOutcome,
  ): void {
    const nowMs = clock.monotonicMs();
    const isFirst = nowMs - contact.failedAtMs > KEPT_MS;
    contact.unanswered = isFirst ? 1 : contact.unanswered + 1;
    contact.failedAtMs = nowMs;
    const isCertain = outcome === "unreachable" ||
      contact.unanswered >= MIN_UNANSWERED;
    if (!isCertain) return;
    // A request may go unanswered just after the link broke, so that earlier
    // responses show nothing.
    const evidenceMs = outcome === "unreachable" ? EVIDENCE_MS : 0;
    queue(server, "unreachable", nowMs, nowMs - evidenceMs);
  }

  function getCurrent(server: string): readonly VmReport[] {
    if (!reported.has(server)) return [];
    return getView().current.get(server) ?? [];
  }

  /** Returns the reports in force; a cached result may be slightly old. */
  function getView(): ReportView {
    const nowMs = clock.monotonicMs();
    if (view !== undefined && nowMs - view.atMs < VIEW_LIFE_MS) return view;
    const counts = countReportsByVm();
    const current = new Map<string, VmReport[]>();
    for (const [server, entry] of reported) {
      const reports = listCurrent(server, entry, counts);
      if (reports.length > 0) current.set(server, reports);
    }
    view = { atMs: nowMs, current, isOverBound: new Map() };
    return view;
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
      contacts.get(server)?.respondedAtMs ?? -Infinity,
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

  function hasOwnEvidence(server: string): boolean {
    const contact = contacts.get(server);
    if (contact === undefined) return false;
    const { failedAtMs, respondedAtMs } = contact;
    return failedAtMs > respondedAtMs &&
      clock.monotonicMs() - failedAtMs <= REPORT_LIFE_MS;
  }

  /**
   * Whether more servers of a service are reported than may be avoided. Their
   * reports then count for nothing: the others could not take the load, and a
   * fault of the network is more likely.
   */
  function isOverBound(service: string): boolean {
    const { current, isOverBound } = getView();
    const known = isOverBound.get(service);
    if (known !== undefined) return known;
    const servers = options.listUsable(service);
    const avoided = servers.filter(({ listed }) => current.has(listed.id));
    const isOver = avoided.length > MAX_AVOIDED_SHARE * servers.length;
    isOverBound.set(service, isOver);
    if (isOver) logOverBound(service, avoided.length, servers.length);
    return isOver;
  }

  function logOverBound(
    service: string,
    reportedServers: number,
    servers: number,
  ): void {
    const nowMs = clock.monotonicMs();
    const loggedAtMs = boundLoggedAtMs.get(service) ?? -Infinity;
    if (nowMs - loggedAtMs < LOG_INTERVAL_MS) return;
    boundLoggedAtMs.set(service, nowMs);
    log.warn(
      { service, reported: reportedServers, servers },
      "too many servers reported unresponsive, reports ignored",
    );
  }

  function getAvoidance({ id, service }: ListedServer): Avoidance {
    const current = getCurrent(id);
    if (current.length === 0 || isOverBound(service)) return "none";
    return weigh(id, current);
  }

  function weigh(
    server: string,
    reports: readonly VmReport[],
  ): Avoidance {
    const domains = new Set(
      reports.map(([, { failureDomain }]) => failureDomain),
    );
    return domains.size > 1 || hasOwnEvidence(server) ? "excluded" : "last";
  }

  function trackServer(server: string): ReportedServer | undefined {
    const known = reported.get(server);
    if (known !== undefined) return known;
    if (reported.size >= MAX_SERVERS) return undefined;
    const entry: ReportedServer = {
      reports: new Map(),
      respondedAtMs: -Infinity,
      lastReportAtMs: -Infinity,
      trialDueAtMs: -Infinity,
      trialStartedAtMs: -Infinity,
      logged: "none",
      loggedAtMs: -Infinity,
    };
    reported.set(server, entry);
    return entry;
  }

  /** Drops what is too old to recognize repeated reports by. */
  function sweep(): void {
    const endMs = clock.monotonicMs() - KEPT_MS;
    for (const [server, { lastReportAtMs }] of reported) {
      if (lastReportAtMs < endMs) reported.delete(server);
    }
    for (const [server, { sentAtMs }] of sent) {
      if (sentAtMs < endMs) sent.delete(server);
    }
  }

  /** Takes one from the number of reports that may be accepted for now. */
  function tryAccept(): boolean {
    const nowMs = clock.monotonicMs();
    const added = (nowMs - acceptableAtMs) / 1_000 * MAX_RECEIVED_PER_S;
    acceptable = Math.min(MAX_RECEIVED_PER_S, acceptable + added);
    acceptableAtMs = nowMs;
    if (acceptable < 1) {
      stats.dropped++;
      return false;
    }
    acceptable--;
    return true;
  }

  /** @returns Whether the report is new to this VM. */
  function applyReport(report: ReachabilityReport): boolean {
    const { server, by, news, stampMs, ageMs } = report;
    if (by === ownId || ageMs > REPORT_LIFE_MS) return false;
    const known = reported.get(server)?.reports.get(by);
    if (known !== undefined && stampMs <= known.stampMs) return false;
    if (!tryAccept()) return false;
    const entry = trackServer(server);
    if (entry === undefined) return false;
    stats.received++;
    view = undefined;
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
      logLifted(server, by);
      return true;
    }
    entry.trialDueAtMs = atMs + TRIAL_QUIET_MS +
      options.random() * options.countVms() * TRIAL_INTERVAL_MS;
    const respondedAtMs = contacts.get(server)?.respondedAtMs ?? -Infinity;
    if (respondedAtMs > atMs) queue(server, "responded", respondedAtMs);
    return true;
  }

  function logLifted(server: string, by: string): void {
    const entry = reported.get(server);
    if (entry === undefined || entry.logged === "none") return;
    entry.logged = "none";
    log.info({ server, by }, "server responds again");
  }

  function logAvoidance(listed: ListedServer): void {
    const entry = reported.get(listed.id);
    if (entry === undefined) return;
    const avoidance = getAvoidance(listed);
    if (avoidance === "none") return;
    const nowMs = clock.monotonicMs();
    const isRaised = LEVELS[avoidance] > LEVELS[entry.logged];
    const isDue = nowMs - entry.loggedAtMs >= LOG_INTERVAL_MS;
    // A server that is reported and responds in turn is logged once.
    if (!isDue && !(isRaised && entry.logged !== "none")) return;
    entry.logged = avoidance;
    entry.loggedAtMs = nowMs;
    log.info(
      {
        server: listed.id,
        service: listed.service,
        avoidance,
        reports: describeReports(getCurrent(listed.id)),
        hasOwnEvidence: hasOwnEvidence(listed.id),
      },
      "server avoided",
    );
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

  function countReached(server: string, sinceMs: number): number {
    let count = 0;
    for (const [other, { respondedAtMs }] of contacts) {
      if (other !== server && respondedAtMs >= sinceMs) count++;
    }
    return count;
  }

  /** Whether this VM's link works, judged by responses of other servers. */
  function reachesOthers(server: string, sinceMs: number): boolean {
    // When a broken link works again, the failures of before still count.
    const failingFromMs = sinceMs - HOLD_MS;
    let failing = 0;
    for (const { failedAtMs, respondedAtMs } of contacts.values()) {
      if (failedAtMs >= failingFromMs && failedAtMs > respondedAtMs) failing++;
    }
    const reached = countReached(server, sinceMs);
    return reached >= MIN_REACHED && reached >= MIN_REACHED_RATIO * failing;
  }

  /** Whether the others have the news already. */
  function isKnown(server: string, { news, atMs }: PendingNews): boolean {
    const nowMs = clock.monotonicMs();
    const last = sent.get(server);
    if (last?.news === news && nowMs - last.sentAtMs < RENEW_MS) return true;
    const entry = reported.get(server);
    if (entry === undefined) return false;
    if (news === "responded") return entry.respondedAtMs >= atMs;
    const recent = getCurrent(server).filter(([, report]) =>
      nowMs - report.atMs < RENEW_MS
    );
    return new Set(recent.map(([, { failureDomain }]) => failureDomain)).size >
      1;
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
    stats.sent++;
    log.info(
      { server, news, ageMs: Math.round(nowMs - atMs) },
      "reachability sent",
    );
    return {
      server,
      by: ownId,
      failureDomain: options.ownDomain,
      news,
      stampMs,
      ageMs: nowMs - atMs,
      reached: countReached(server, nowMs - REPORT_LIFE_MS),
    };
  }

  return {
    recordOwn(server, outcome) {
      const contact = getContact(server);
      if (outcome === "responded") recordResponse(server, contact);
      else recordFailure(server, contact, outcome);
    },
    receive(reports) {
      sweep();
      const applied = reports.filter(applyReport);
      if (applied.length === 0) return applied;
      const servers = new Set(applied.map(({ server }) => server));
      for (const { listed } of options.listAll()) {
        if (servers.has(listed.id)) logAvoidance(listed);
      }
      return applied;
    },
    takeReports() {
      sweep();
      const reports: ReachabilityReport[] = [];
      for (const [server, item] of pending) {
        if (reports.length >= MAX_TAKEN_REPORTS) break;
        const isLate = clock.monotonicMs() - item.atMs > HOLD_MS;
        if (isLate || isKnown(server, item)) pending.delete(server);
        else if (
          item.news === "responded" ||
          reachesOthers(server, item.evidenceFromMs)
        ) {
          reports.push(takeReport(server, item));
        }
      }
      return reports;
    },
    hasPending: () => pending.size > 0,
    hasReports: () => reported.size > 0,
    getAvoidance,
    isTrialDue(server) {
      const entry = reported.get(server);
      if (entry === undefined) return false;
      const nowMs = clock.monotonicMs();
      return nowMs >= entry.trialDueAtMs &&
        nowMs - entry.trialStartedAtMs >= MAX_TRIAL_MS;
    },
    beginTrial(server) {
      const entry = reported.get(server);
      if (entry === undefined) return;
      entry.trialStartedAtMs = clock.monotonicMs();
      stats.trials++;
    },
    endTrial(server) {
      const entry = reported.get(server);
      if (entry !== undefined) entry.trialStartedAtMs = -Infinity;
    },
    list() {
      const nowMs = clock.monotonicMs();
      return options.listAll().flatMap(({ listed }) => {
        const { id } = listed;
        const entry = reported.get(id);
        if (entry === undefined) return [];
        const current = getCurrent(id);
        if (current.length === 0) return [];
        return [{
          server: id,
          avoidance: getAvoidance(listed),
          reports: describeReports(current),
          hasOwnEvidence: hasOwnEvidence(id),
          isTrialRunning: nowMs - entry.trialStartedAtMs < MAX_TRIAL_MS,
        }];
      });
    },
    getStats: () => ({ ...stats }),
    subscribe: (onFirst) => void listeners.push(onFirst),
  };
}
