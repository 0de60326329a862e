/**
 * Who takes part: the system's own processes, grouped by failure domain.
 *
 * @module
 */

/** What a process does. */
export type Role = "steer" | "entry";

/** What a process says of itself. */
export type MemberState = "serving" | "leaving";

/** A process of the system. */
export interface Member {
  /** `<VM id>/<role>`. */
  id: string;
  vmId: string;
  role: Role;
  failureDomain: string;
  region: string;
  /** Rises with each start of the process; in ms since the epoch. */
  incarnation: number;
  state: MemberState;
}

/** How alive another process looks from here. */
export type Liveness =
  /** Heard of in time. */
  | "alive"
  /** Overdue, or its connection broke: gets no new callers. */
  | "suspect"
  /** Overdue for long. */
  | "dead"
  /** Its whole failure domain can't be heard: it may be alive. */
  | "unreachable";

/** A member and how alive it looks. */
export interface ObservedMember {
  member: Member;
  liveness: Liveness;
}

/** A failure domain's members, as one of its steers sees them. */
export interface DomainView {
  failureDomain: string;
  /** Member id of the steer that made it. */
  authorId: string;
  authorIncarnation: number;
  /** Rises with each view of the same author. */
  sequence: number;
  /** Only members that the author holds for alive. */
  members: Member[];
  /** Lowest version that all those members have in force. */
  lowestVersion: number;
  /** Members that do not have the author's own version in force yet. */
  behindCount: number;
}

/** Times of failure detection, in ms. */
export interface DetectionTimings {
  heartbeatPeriodMs: number;
  suspectAfterMs: number;
  deadAfterMs: number;
  /** Age at which another domain's view no longer counts. */
  viewExpiryMs: number;
}

/** Defaults that hold a loopback fleet and 35 ms links alike. */
export const DEFAULT_DETECTION_TIMINGS: DetectionTimings = {
  heartbeatPeriodMs: 500,
  suspectAfterMs: 1_500,
  deadAfterMs: 3_000,
  viewExpiryMs: 3_000,
};
