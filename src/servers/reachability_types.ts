/**
 * Data of the reports about unresponsive servers, and the limits that several
 * modules of them use.
 *
 * @module
 */

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

/** A report of another VM, as this VM keeps it. */
export interface RemoteReport {
  failureDomain: string;
  news: ReachabilityNews;
  stampMs: number;
  /** Time of the outcome on this VM's monotonic clock. */
  atMs: number;
  reached: number;
}

/** A report with the id of its VM. */
export type VmReport = [by: string, report: RemoteReport];

/** Time after which a report counts no more; the longest ejection. */
export const REPORT_LIFE_MS = 4_000;
/**
 * Time for which an unresponsive server waits to be reported until responses of
 * others show that the VM's own link works.
 */
export const HOLD_MS = 2_000;
/** Other servers that have to respond for a report to count. */
export const MIN_REACHED = 2;
/**
 * Servers that have to respond for each one that does not. A VM that reaches
 * fewer has probably lost a link rather than servers.
 */
export const MIN_REACHED_RATIO = 2;
/**
 * Time for which reports are kept to recognize repeated ones, and for which an
 * own outcome counts as the one before.
 */
export const KEPT_MS = 60_000;

/**
 * @param reports Reports of VMs.
 * @returns The number of failure domains that they come from.
 */
export function countDomains(reports: readonly VmReport[]): number {
  return new Set(reports.map(([, { failureDomain }]) => failureDomain)).size;
}
