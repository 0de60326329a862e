/**
 * What one process knows of the others.
 *
 * @module
 */
import {
  DEFAULT_DETECTION_TIMES,
  type DetectionTimes,
  type DomainView,
  type Member,
} from "./types.ts";

/** A member of the own failure domain, heard over a direct link. */
export interface DirectPeer {
  member: Member;
  lastHeardMs: number;
  /** False from the moment its connection broke until it is heard again. */
  connected: boolean;
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
  times: DetectionTimes;
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
 * @param times Times of failure detection.
 * @returns Knowledge of a process that has heard nobody yet.
 */
export function createMembershipState(
  self: Member,
  times: DetectionTimes = DEFAULT_DETECTION_TIMES,
): MembershipState {
  return {
    self,
    times,
    direct: new Map(),
    views: new Map(),
    ownSequence: 0,
    replaced: false,
  };
}
