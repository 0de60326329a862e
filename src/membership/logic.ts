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
export interface ReceivedHeartbeat {
  member: Member;
  throughVersion: number;
}

/**
 * Takes in a heartbeat.
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
 * Takes in that a direct link broke.
 *
 * @param state Changed in place.
 * @param memberId Whose link it was.
 */
export function recordLinkClosed(
  state: MembershipState,
  memberId: string,
): void {
  const existing = state.direct.get(memberId);
  if (existing) existing.isConnected = false;
}

/**
 * Takes in a view of a failure domain.
 *
 * @param state Changed in place.
 * @param view The view.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether it was news worth relaying.
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

/** One author's views go by sequence; two authors' views both count as news. */
function isNewer(view: DomainView, stored: DomainView): boolean {
  if (view.authorId !== stored.authorId) return true;
  if (view.authorIncarnation !== stored.authorIncarnation) {
    return view.authorIncarnation > stored.authorIncarnation;
  }
  return view.sequence > stored.sequence;
}

function detectReplacement(state: MembershipState, member: Member): boolean {
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
    assessPeer(state, peer, nowMs) === "alive"
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
