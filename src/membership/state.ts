/**
 * What one process knows of the others.
 *
 * @module
 */
import {
  DEFAULT_DETECTION_TIMINGS,
  type DetectionTimings,
  type DomainView,
  type Member,
} from "./types.ts";

/** A member of the own failure domain, heard over a direct link. */
export interface DirectPeer {
  member: Member;
  lastHeartbeatMs: number;
  /** False from the moment its connection broke until it is heard again. */
  isConnected: boolean;
  /** Version that it has in force. */
  throughVersion: number;
}

/** A view of a failure domain and when it came. */
export interface ReceivedView {
  view: DomainView;
  receivedMs: number;
}

/** All that a process knows of the others. */
export interface MembershipState {
  self: Member;
  timings: DetectionTimings;
  /** By member id. */
  direct: Map<string, DirectPeer>;
  /** Newest view of each failure domain. */
  views: Map<string, ReceivedView>;
  /** Sequence of the views that this process makes. */
  ownSequence: number;
  /** Set when a newer process with this one's id was seen. */
  replaced: boolean;
}

/**
 * @param self This process.
 * @param timings Times of failure detection.
 * @returns Knowledge of a process that has heard nobody yet.
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
