/**
 * Members of the system: its own processes, grouped by failure domain.
 *
 * @module
 */

/** Kind of a process. */
export type Role = "steer" | "entry";

/** State that a process announces of itself. */
export type MemberState = "serving" | "leaving";

/** A process of the system. */
export interface Member {
  /** `<VM id>/<role>`. */
  id: string;
  vmId: string;
  role: Role;
  failureDomain: string;
  region: string;
  /** Start time, in ms since the Unix epoch; increases with each start. */
  incarnation: number;
  state: MemberState;
}

/** Liveness of a process, as another one observes it. */
export type Liveness =
  /** Its heartbeats or its domain's views arrive in time. */
  | "alive"
  /** Its heartbeat is overdue or its connection was lost: gets no new callers. */
  | "suspect"
  /** Its heartbeat is overdue by longer. */
  | "dead"
  /** No current view of its failure domain; it may be alive. */
  | "unreachable";

/** A member and its liveness. */
export interface ObservedMember {
  member: Member;
  liveness: Liveness;
}

/** Members of a failure domain, as one of its steers observes them. */
export interface DomainView {
  failureDomain: string;
  /** Member id of the steer that made it. */
  authorId: string;
  authorIncarnation: number;
  /** Increases with each view of the same author. */
  sequence: number;
  /** Only members that look alive to the author. */
  members: Member[];
  /** Lowest version that all those members have in force. */
  lowestVersion: number;
  /** Number of members that don't have the author's version in force yet. */
  behindCount: number;
}

/** Timings of failure detection, in ms. */
export interface DetectionTimings {
  heartbeatPeriodMs: number;
  /** Time without a heartbeat after which a peer is suspect. */
  suspectAfterMs: number;
  /** Time without a heartbeat after which a peer is dead. */
  deadAfterMs: number;
  /** Age at which a view of another domain expires. */
  viewExpiryMs: number;
}

/** Defaults for links with delays from loopback up to 35 ms. */
export const DEFAULT_DETECTION_TIMINGS: DetectionTimings = {
  heartbeatPeriodMs: 500,
  suspectAfterMs: 1_500,
  deadAfterMs: 3_000,
  viewExpiryMs: 3_000,
};
