/**
 * Failure detection, by heartbeats within a failure domain and by views between
 * domains. Pure: the caller passes the monotonic time as `nowMs`.
 *
 * @module
 */
import type { DirectPeer, MembershipState } from "./state.ts";
import type {
  DomainView,
  Liveness,
  Member,
  ObservedMember,
  Role,
} from "./types.ts";

/** A heartbeat and its sender. */
export interface ReceivedHeartbeat {
  member: Member;
  throughVersion: number;
}

/**
 * Records a heartbeat. One of an older incarnation is ignored.
 *
 * @param state Changed in place.
 * @param heartbeat The heartbeat.
 * @param nowMs Monotonic time, in ms.
 */
export function recordHeartbeat(
  state: MembershipState,
  heartbeat: ReceivedHeartbeat,
  nowMs: number,
): void {
  const { member, throughVersion } = heartbeat;
  if (detectReplacement(state, member)) return;
  const existing = state.direct.get(member.id);
  if (existing && existing.member.incarnation > member.incarnation) return;
  state.direct.set(member.id, {
    member,
    throughVersion,
    lastHeartbeatMs: nowMs,
    isConnected: true,
  });
}

/**
 * Records that a direct link was lost; its peer is suspect until it is heard again.
 *
 * @param state Changed in place.
 * @param memberId Member id of the peer.
 */
export function recordLinkClosed(
  state: MembershipState,
  memberId: string,
): void {
  const existing = state.direct.get(memberId);
  if (existing) existing.isConnected = false;
}

/**
 * Records a view of a failure domain, if it is newer than the known one.
 *
 * @param state Changed in place.
 * @param view The view.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether it was newer, and is to be relayed.
 */
export function recordView(
  state: MembershipState,
  view: DomainView,
  nowMs: number,
): boolean {
  for (const member of view.members) detectReplacement(state, member);
  const existing = state.views.get(view.failureDomain);
  if (existing && !isNewer(view, existing.view)) return false;
  state.views.set(view.failureDomain, { view, receivedMs: nowMs });
  return true;
}

/**
 * Views of one author are ordered by incarnation and sequence. Views of different
 * authors can't be ordered: the last to arrive counts as newer.
 */
function isNewer(view: DomainView, stored: DomainView): boolean {
  if (view.authorId !== stored.authorId) return true;
  if (view.authorIncarnation !== stored.authorIncarnation) {
    return view.authorIncarnation > stored.authorIncarnation;
  }
  return view.sequence > stored.sequence;
}

/**
 * Detects that a newer process has taken this one's member id.
 *
 * @returns Whether the member has this process's id.
 */
function detectReplacement(state: MembershipState, member: Member): boolean {
  if (member.id !== state.self.id) return false;
  if (member.incarnation > state.self.incarnation) state.replaced = true;
  return true;
}

/**
 * Creates this process's view of its own failure domain.
 *
 * @param state Changed in place: its sequence is incremented.
 * @param throughVersion Version that this process has in force.
 * @param nowMs Monotonic time, in ms.
 * @returns The view to send.
 */
export function makeOwnView(
  state: MembershipState,
  throughVersion: number,
  nowMs: number,
): DomainView {
  state.ownSequence += 1;
  const alive = [...state.direct.values()].filter((peer) =>
    peer.member.failureDomain === state.self.failureDomain &&
    assessPeer(state, peer, nowMs) === "alive"
  );
  const versions = alive.map((peer) => peer.throughVersion);
  return {
    failureDomain: state.self.failureDomain,
    authorId: state.self.id,
    authorIncarnation: state.self.incarnation,
    sequence: state.ownSequence,
    // The same order for all authors, so that equal lists have equal JSON.
    members: [state.self, ...alive.map((peer) => peer.member)]
      .sort((a, b) => a.id < b.id ? -1 : 1),
    lowestVersion: Math.min(throughVersion, ...versions),
    behindCount: versions.filter((version) => version < throughVersion).length,
  };
}

/**
 * @param state The local view of the fleet.
 * @param nowMs Monotonic time, in ms.
 * @returns Every known process, this one included, and its liveness.
 */
export function observeMembers(
  state: MembershipState,
  nowMs: number,
): ObservedMember[] {
  const observed = new Map<string, ObservedMember>();
  for (const { view, receivedMs } of state.views.values()) {
    const isFresh = nowMs - receivedMs < state.timings.viewExpiryMs;
    for (const member of view.members) {
      const liveness = isFresh ? "alive" : "unreachable";
      observed.set(member.id, { member, liveness });
    }
  }
  for (const peer of state.direct.values()) {
    observed.set(peer.member.id, {
      member: peer.member,
      liveness: assessPeer(state, peer, nowMs),
    });
  }
  observed.set(state.self.id, { member: state.self, liveness: "alive" });
  return [...observed.values()];
}

/**
 * @param state The local view of the fleet.
 * @param role The role to list.
 * @param nowMs Monotonic time, in ms.
 * @returns Members of that role that look alive and are not leaving.
 */
export function listServing(
  state: MembershipState,
  role: Role,
  nowMs: number,
): Member[] {
  return observeMembers(state, nowMs)
    .filter(({ member, liveness }) =>
      member.role === role && member.state === "serving" &&
      liveness === "alive"
    )
    .map(({ member }) => member);
}

function assessPeer(
  state: MembershipState,
  peer: DirectPeer,
  nowMs: number,
): Liveness {
  const silenceMs = nowMs - peer.lastHeartbeatMs;
  if (silenceMs >= state.timings.deadAfterMs) return "dead";
  if (silenceMs >= state.timings.suspectAfterMs) return "suspect";
  return peer.isConnected ? "alive" : "suspect";
}
