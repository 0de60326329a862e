import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  listServing,
  makeOwnView,
  observeMembers,
  recordHeartbeat,
  recordLinkClosed,
  recordView,
} from "./logic.ts";
import { createMembershipState, type MembershipState } from "./state.ts";
import type { DomainView, Member, MemberState, Role } from "./types.ts";

function makeMember(
  id: string,
  failureDomain = "a-1",
  changes: Partial<Member> = {},
): Member {
  const [vmId, role] = id.split("/");
  return {
    id,
    vmId,
    role: role as Role,
    failureDomain,
    region: failureDomain[0],
    incarnation: 1,
    state: "serving",
    ...changes,
  };
}

function makeView(sequence: number, members: Member[]): DomainView {
  return {
    failureDomain: "b-1",
    authorId: "vm9/steer",
    authorIncarnation: 1,
    sequence,
    members,
    lowestVersion: 1,
    behindCount: 0,
  };
}

const entry = makeMember("vm2/entry");

function receiveHeartbeat(
  state: MembershipState,
  member: Member,
  nowMs: number,
): void {
  recordHeartbeat(state, { member, throughVersion: 3 }, nowMs);
}

function getLiveness(state: MembershipState, id: string, nowMs: number) {
  return observeMembers(state, nowMs)
    .find(({ member }) => member.id === id)?.liveness;
}

const silences: [number, string][] = [
  [0, "alive"],
  [1_499, "alive"],
  [1_500, "suspect"],
  [2_999, "suspect"],
  [3_000, "dead"],
];

for (const [silenceMs, expected] of silences) {
  test(`after ${silenceMs} ms without a heartbeat a peer is ${expected}`, () => {
    const state = createMembershipState(makeMember("vm1/steer"));
    receiveHeartbeat(state, entry, 0);
    assert.is(getLiveness(state, entry.id, silenceMs), expected);
  });
}

test("a lost link makes a peer suspect at once, a heartbeat makes it alive", () => {
  const state = createMembershipState(makeMember("vm1/steer"));
  receiveHeartbeat(state, entry, 0);
  recordLinkClosed(state, entry.id);
  assert.is(getLiveness(state, entry.id, 1), "suspect");
  receiveHeartbeat(state, entry, 2);
  assert.is(getLiveness(state, entry.id, 3), "alive");
});

test("an old incarnation does not overwrite a newer one", () => {
  const state = createMembershipState(makeMember("vm1/steer"));
  receiveHeartbeat(state, { ...entry, incarnation: 2 }, 0);
  receiveHeartbeat(state, { ...entry, incarnation: 1, state: "leaving" }, 1);
  assert.is(listServing(state, "entry", 2)[0].incarnation, 2);
});

test("a process that resumes detects that it was replaced", () => {
  const state = createMembershipState(makeMember("vm1/steer"));
  recordView(state, makeView(1, [makeMember("vm1/steer", "a-1")]), 0);
  assert.is(state.replaced, false);
  const newer = makeMember("vm1/steer", "a-1", { incarnation: 2 });
  recordView(state, makeView(2, [newer]), 0);
  assert.is(state.replaced, true);
});

test("another domain's members are unreachable once its views are old", () => {
  const state = createMembershipState(makeMember("vm1/steer"));
  const far = makeMember("vm8/entry", "b-1");
  recordView(state, makeView(1, [far]), 0);
  assert.is(getLiveness(state, far.id, 2_900), "alive");
  assert.is(getLiveness(state, far.id, 3_000), "unreachable");
  recordView(state, makeView(2, [far]), 4_000);
  assert.is(getLiveness(state, far.id, 4_001), "alive");
});

test("late and duplicate views are ignored", () => {
  const state = createMembershipState(makeMember("vm1/steer"));
  const far = makeMember("vm8/entry", "b-1");
  assert.is(recordView(state, makeView(5, [far]), 0), true);
  assert.is(recordView(state, makeView(5, [far]), 0), false);
  assert.is(recordView(state, makeView(4, []), 0), false);
  assert.is(getLiveness(state, far.id, 1), "alive");
});

for (const ownState of ["serving", "leaving"] as MemberState[]) {
  test(`an entry that is ${ownState} is ${ownState === "serving" ? "" : "not "}listed`, () => {
    const state = createMembershipState(makeMember("vm1/steer"));
    receiveHeartbeat(state, { ...entry, state: ownState }, 0);
    const ids = listServing(state, "entry", 1).map(({ id }) => id);
    assert.equal(ids, ownState === "serving" ? [entry.id] : []);
  });
}

test("a view holds only members that look alive, and their versions", () => {
  const state = createMembershipState(makeMember("vm1/steer"));
  receiveHeartbeat(state, entry, 0);
  receiveHeartbeat(state, makeMember("vm3/entry"), 0);
  recordLinkClosed(state, "vm3/entry");
  const view = makeOwnView(state, 5, 1);
  assert.equal(view.members.map(({ id }) => id), ["vm1/steer", entry.id]);
  assert.is(view.lowestVersion, 3);
  assert.is(view.behindCount, 1);
});

test.run();
