/**
 * A process's local view of the other processes.
 *
 * @module
 */
import {
  DEFAULT_DETECTION_TIMINGS,
  type DetectionTimings,
  type DomainView,
  type Member,
} from "./types.ts";

/** A member of the own failure domain, reached over a direct link. */
export interface DirectPeer {
  member: Member;
  /** Monotonic time of its last heartbeat, in ms. */
  lastHeartbeatMs: number;
  /** False from the loss of its connection until its next heartbeat. */
  isConnected: boolean;
  /** Version that it has in force. */
  throughVersion: number;
}

/** A view of a failure domain and when it was received. */
export interface ReceivedView {
  view: DomainView;
  /** Monotonic time, in ms. */
  receivedMs: number;
}

/** A process's local view of the fleet. */
export interface MembershipState {
  self: Member;
  timings: DetectionTimings;
  /** Members of the own failure domain with a direct link, by member id. */
  direct: Map<string, DirectPeer>;
  /** Newest view of each failure domain, by its name. */
  views: Map<string, ReceivedView>;
  /** Sequence of the last view that this process made. */
  ownSequence: number;
  /** Whether a newer process with the same member id was seen. */
  replaced: boolean;
}

/**
 * @param self This process.
 * @param timings Timings of failure detection.
 * @returns The state of a process that has heard from no other yet.
 */
export function createMembershipState(
  self: Member,
  timings: DetectionTimings = DEFAULT_DETECTION_TIMINGS,
): MembershipState {
  return {
    self,
    timings,
    direct: new Map(),
    views: new Map(),
    ownSequence: 0,
    replaced: false,
  };
}
