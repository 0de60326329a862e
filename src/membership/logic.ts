/**
 * Failure detection: heartbeats inside a failure domain, views among domains.
 * Pure: time comes in as `nowMs`, a monotonic time.
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

/** A heartbeat as it came in. */
export interface HeardHeartbeat {
  member: Member;
  throughVersion: number;
}

/**
 * Takes in a heartbeat.
 *
 * @param state Changed in place.
 * @param heard The heartbeat.
 * @param nowMs Monotonic time, in ms.
 */
export function noteHeartbeat(
  state: MembershipState,
  heard: HeardHeartbeat,
  nowMs: number,
): void {
  const { member, throughVersion } = heard;
  if (noteSelfSeen(state, member)) return;
  const known = state.direct.get(member.id);
  if (known && known.member.incarnation > member.incarnation) return;
  state.direct.set(member.id, {
    member,
    throughVersion,
    lastHeardMs: nowMs,
    connected: true,
  });
}

/**
 * Takes in that a direct link broke.
 *
 * @param state Changed in place.
 * @param memberId Whose link it was.
 */
export function noteLinkClosed(state: MembershipState, memberId: string): void {
  const known = state.direct.get(memberId);
  if (known) known.connected = false;
}

/**
 * Takes in a view of a failure domain.
 *
 * @param state Changed in place.
 * @param view The view.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether it was news worth relaying.
 */
export function noteView(
  state: MembershipState,
  view: DomainView,
  nowMs: number,
): boolean {
  for (const member of view.members) noteSelfSeen(state, member);
  const known = state.views.get(view.failureDomain);
  if (known && !isNewer(view, known.view)) return false;
  state.views.set(view.failureDomain, { view, receivedMs: nowMs });
  return true;
}

/** One author's views go by sequence; two authors' views both count as news. */
function isNewer(view: DomainView, known: DomainView): boolean {
  if (view.authorId !== known.authorId) return true;
  if (view.authorIncarnation !== known.authorIncarnation) {
    return view.authorIncarnation > known.authorIncarnation;
  }
  return view.sequence > known.sequence;
}

function noteSelfSeen(state: MembershipState, member: Member): boolean {
  if (member.id !== state.self.id) return false;
  if (member.incarnation > state.self.incarnation) state.replaced = true;
  return true;
}

/**
 * Makes this process's view of its own failure domain.
 *
 * @param state Changed in place: the sequence rises.
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
    judgePeer(state, peer, nowMs) === "alive"
  );
  const versions = alive.map((peer) => peer.throughVersion);
  return {
    failureDomain: state.self.failureDomain,
    authorId: state.self.id,
    authorIncarnation: state.self.incarnation,
    sequence: state.ownSequence,
    // In one order for all authors, so that equal members read alike.
    members: [state.self, ...alive.map((peer) => peer.member)]
      .sort((a, b) => a.id < b.id ? -1 : 1),
    lowestVersion: Math.min(throughVersion, ...versions),
    behindCount: versions.filter((version) => version < throughVersion).length,
  };
}

/**
 * @param state What is known.
 * @param nowMs Monotonic time, in ms.
 * @returns Every known process, this one included, and how alive it looks.
 */
export function observeMembers(
  state: MembershipState,
  nowMs: number,
): ObservedMember[] {
  const observed = new Map<string, ObservedMember>();
  for (const { view, receivedMs } of state.views.values()) {
    const fresh = nowMs - receivedMs < state.times.viewExpiryMs;
    for (const member of view.members) {
      const liveness = fresh ? "alive" : "unreachable";
      observed.set(member.id, { member, liveness });
    }
  }
  for (const peer of state.direct.values()) {
    observed.set(peer.member.id, {
      member: peer.member,
      liveness: judgePeer(state, peer, nowMs),
    });
  }
  observed.set(state.self.id, { member: state.self, liveness: "alive" });
  return [...observed.values()];
}

/**
 * @param state What is known.
 * @param role The role wanted.
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

function judgePeer(
  state: MembershipState,
  peer: DirectPeer,
  nowMs: number,
): Liveness {
  const silenceMs = nowMs - peer.lastHeardMs;
  if (silenceMs >= state.times.deadAfterMs) return "dead";
  if (silenceMs >= state.times.suspectAfterMs) return "suspect";
  return peer.connected ? "alive" : "suspect";
}
