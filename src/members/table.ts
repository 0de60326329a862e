/**
 * Which VMs run, as this one sees them: those that it is linked to, and those
 * that hubs tell of.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { mergeReport, type ReportDelta } from "./report_delta.ts";
import type {
  FleetView,
  ViewScope,
  VmIdentity,
  VmReport,
  VmState,
} from "./types.ts";

/** A VM and what is known of it. */
export interface Member {
  identity: VmIdentity;
  state: VmState | undefined;
  /** What it told itself; undefined where only a hub told of it. */
  report: VmReport | undefined;
  /** When it was heard itself; undefined where it never was or fell silent. */
  heardAtMs: number | undefined;
}

/** The VMs that this one knows. */
export interface MemberTable {
  /** Notes a VM that another one or the register told of. */
  recordDiscovered(identity: VmIdentity): boolean;
  /** Notes a VM that speaks to this one. */
  recordHello(identity: VmIdentity): void;
  recordReport(id: string, parts: ReportDelta): void;
  /** Notes that the link to a VM broke. */
  recordDisconnect(id: string): void;
  /**
   * Takes in what a hub tells of VMs.
   *
   * @param hubId The hub.
   * @param view What changed since the view before.
   * @returns Whether the view before is known here; if not, all has to be told.
   */
  applyView(hubId: string, view: FleetView): boolean;
  /** Forgets what a hub told. */
  dropView(hubId: string): void;
  get(id: string): Member | undefined;
  /** @returns All VMs heard of, this one not included. */
  listKnown(): Member[];
  /** @returns How many those are. */
  countKnown(): number;
  /** @returns VMs that speak to this one now. */
  listLinked(): Member[];
  /** @returns VMs that are up, this one not included. */
  listAlive(): Member[];
  /**
   * @returns VMs that are up, and those heard of so lately that nobody can say;
   *   all of a region of which none is up.
   */
  listHubCandidates(): VmIdentity[];
  /** @returns Those of them that serve clients. */
  listServing(): VmIdentity[];
  /**
   * @returns VMs that are linked here or to another hub. What hubs tell their
   *   region is left out: told on, they would vouch for each other's word.
   */
  listLinkedToAnyHub(): Member[];
  /** @returns Demand that hubs told of lately in views of a scope. */
  listDemands(scope: ViewScope): FleetView["demandPerS"][];
  /** Forgets VMs that nobody heard for long. */
  prune(): void;
}

/** A VM that was silent for this long counts as down: two reports and a half. */
export const PEER_TIMEOUT_MS = 2_000;
/** VMs that can't be reached for this long are not dialed any more. */
const MEMBER_RETENTION_MS = 600_000;
/** A VM that is up is linked to a hub, and told of, this soon. */
const UNCONFIRMED_TTL_MS = 4_000;
/** Time for which a list of VMs is kept where nothing was heard to change. */
const LIST_TTL_MS = 100;

interface MemberRecord {
  identity: VmIdentity;
  report: VmReport | undefined;
  heardAtMs: number | undefined;
  knownSinceMs: number;
}

interface HubView {
  scope: ViewScope;
  revision: number;
  heardAtMs: number;
  members: Map<string, { identity: VmIdentity; state: VmState }>;
  demandPerS: FleetView["demandPerS"];
}

/**
 * @param ownId This VM.
 * @param clock The clock.
 * @returns A table without VMs.
 */
export function createMemberTable(ownId: string, clock: Clock): MemberTable {
  const members = new Map<string, MemberRecord>();
  const views = new Map<string, HubView>();
  let alive: Member[] | undefined;
  let aliveAtMs = 0;

  function isRecent(heardAtMs: number | undefined): boolean {
    return heardAtMs !== undefined &&
      clock.monotonicMs() - heardAtMs < PEER_TIMEOUT_MS;
  }

  function put(identity: VmIdentity, heardAtMs: number | undefined): void {
    const known = members.get(identity.id);
    const report = known?.report;
    const knownSinceMs = known?.knownSinceMs ?? clock.monotonicMs();
    members.set(identity.id, { identity, report, heardAtMs, knownSinceMs });
    alive = undefined;
  }

  function toMember({ identity, report, heardAtMs }: MemberRecord): Member {
    return { identity, state: report?.state, report, heardAtMs };
  }

  function listLinked(): Member[] {
    return [...members.values()]
      .filter(({ heardAtMs }) => isRecent(heardAtMs))
      .map(toMember);
  }

  function listViews(scopes: readonly ViewScope[]): HubView[] {
    return [...views.values()].filter(({ scope, heardAtMs }) =>
      scopes.includes(scope) && isRecent(heardAtMs)
    );
  }

  /** What a VM tells itself goes before what hubs tell of it. */
  function collect(scopes: readonly ViewScope[]): Member[] {
    const found = new Map<string, Member>();
    for (const { heardAtMs, members: told } of listViews(scopes)) {
      for (const [id, { identity, state }] of told) {
        const other = found.get(id)?.identity.incarnation ?? "";
        if (id === ownId || identity.incarnation < other) continue;
        const member = { identity, state, report: undefined, heardAtMs };
        found.set(id, member);
      }
    }
    for (const member of listLinked()) found.set(member.identity.id, member);
    return [...found.values()];
  }

  function listAlive(): Member[] {
    const nowMs = clock.monotonicMs();
    if (alive === undefined || nowMs - aliveAtMs > LIST_TTL_MS) {
      alive = collect(["linked", "fleet"]);
      aliveAtMs = nowMs;
    }
    return alive;
  }

  function applyChanges(known: HubView, view: FleetView): void {
    for (const { identity, state } of view.up) {
      known.members.set(identity.id, { identity, state });
      if (identity.id !== ownId && !members.has(identity.id)) {
        put(identity, undefined);
      }
    }
    for (const id of view.gone) known.members.delete(id);
    if (view.up.length + view.gone.length > 0) alive = undefined;
  }

  return {
    recordDiscovered(identity) {
      if (identity.id === ownId) return false;
      const known = members.get(identity.id);
      if (known !== undefined) {
        const isSame = known.identity.peerAddress === identity.peerAddress;
        if (isSame || isRecent(known.heardAtMs)) return false;
      }
      put(identity, undefined);
      return true;
    },
    recordHello(identity) {
      if (identity.id !== ownId) put(identity, clock.monotonicMs());
    },
    recordReport(id, parts) {
      const member = members.get(id);
      if (member === undefined) return;
      const before = member.report?.state;
      member.report = mergeReport(member.report, parts);
      member.heardAtMs = clock.monotonicMs();
      if (member.report?.state !== before) alive = undefined;
    },
    recordDisconnect(id) {
      const member = members.get(id);
      if (member !== undefined) member.heardAtMs = undefined;
      alive = undefined;
    },
    applyView(hubId, view) {
      const known = views.get(hubId);
      if (view.base !== 0 && known?.revision !== view.base) return false;
      const isWhole = view.base === 0 || known === undefined;
      const next: HubView = isWhole
        ? { ...view, heardAtMs: 0, members: new Map() }
        : known;
      applyChanges(next, view);
      next.revision = view.revision;
      next.demandPerS = view.demandPerS;
      next.heardAtMs = clock.monotonicMs();
      views.set(hubId, next);
      return true;
    },
    dropView(hubId) {
      if (views.delete(hubId)) alive = undefined;
    },
    get(id) {
      const known = members.get(id);
      return known === undefined ? undefined : toMember(known);
    },
    listKnown: () => [...members.values()].map(toMember),
    countKnown: () => members.size,
    listLinked,
    listAlive,
    listHubCandidates() {
      const alive = listAlive().map(({ identity }) => identity);
      const ids = new Set(alive.map(({ id }) => id));
      const regions = new Set(alive.map(({ region }) => region));
      const limitMs = clock.monotonicMs() - UNCONFIRMED_TTL_MS;
      const others = [...members.values()].filter((member) =>
        !ids.has(member.identity.id) &&
        (member.knownSinceMs > limitMs || !regions.has(member.identity.region))
      );
      return [...alive, ...others.map(({ identity }) => identity)];
    },
    listServing: () =>
      listAlive()
        .filter(({ state }) => state === "serving")
        .map(({ identity }) => identity),
    listLinkedToAnyHub: () => collect(["linked"]),
    listDemands: (scope) =>
      listViews([scope]).map(({ demandPerS }) => demandPerS),
    prune() {
      const limitMs = clock.monotonicMs() - MEMBER_RETENTION_MS;
      const aliveIds = new Set(listAlive().map(({ identity }) => identity.id));
      for (const [id, member] of members) {
        const lastMs = Math.max(member.heardAtMs ?? 0, member.knownSinceMs);
        if (lastMs < limitMs && !aliveIds.has(id)) members.delete(id);
      }
    },
  };
}
