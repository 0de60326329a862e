/**
 * The membership table: the VMs that this VM knows, from its own links and from
 * the views of hubs.
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

/** A VM in the membership table. */
export interface Member {
  identity: VmIdentity;
  state: VmState | undefined;
  /** The VM's own report; undefined if the VM is known only from a hub. */
  report: VmReport | undefined;
  /**
   * When the VM's last message arrived, or the last view of the hub that reports
   * it (monotonic); undefined if there was none or its link closed.
   */
  heardAtMs: number | undefined;
}

/** The VMs that this VM knows, apart from itself. */
export interface MemberTable {
  /**
   * Adds a VM that another VM or the registry listed.
   *
   * @param identity The VM.
   * @returns Whether the VM is new, or its peer address changed while it was not
   *   heard.
   */
  recordDiscovered(identity: VmIdentity): boolean;
  /**
   * Records a VM that identified itself on a link.
   *
   * @param identity The VM.
   */
  recordHello(identity: VmIdentity): void;
  /**
   * Merges a report from a linked VM.
   *
   * @param id The VM's id.
   * @param delta The fields received.
   */
  recordReport(id: string, delta: ReportDelta): void;
  /**
   * Records that the last link to a VM closed.
   *
   * @param id The VM's id.
   */
  recordDisconnect(id: string): void;
  /**
   * Applies a view from a hub.
   *
   * @param hubId The hub's id.
   * @param view The changes since the view's base revision, or a snapshot.
   * @returns Whether the view was applied; if not, the base revision is missing
   *   here and the hub has to send a snapshot.
   */
  applyView(hubId: string, view: FleetView): boolean;
  /**
   * Drops a hub's view.
   *
   * @param hubId The hub's id.
   */
  dropView(hubId: string): void;
  /**
   * @param id A VM's id.
   * @returns The VM; undefined if it is unknown.
   */
  get(id: string): Member | undefined;
  /** @returns All known VMs, whether they are up or not. */
  listKnown(): Member[];
  /** @returns The number of known VMs. */
  countKnown(): number;
  /** @returns VMs with a link to this VM that were heard recently. */
  listLinked(): Member[];
  /** @returns VMs that are up. */
  listAlive(): Member[];
  /**
   * @returns VMs that may act as hubs: those that are up, those discovered so
   *   recently that hubs may not have reported them yet, and all VMs of a
   *   region in which none is known to be up.
   */
  listHubCandidates(): VmIdentity[];
  /** @returns VMs that are up and serve clients. */
  listServing(): readonly VmIdentity[];
  /**
   * @returns VMs linked to this VM or to another hub. Views of scope `fleet` are
   *   left out: if hubs passed them on, each would keep alive what the other
   *   reported.
   */
  listLinkedToAnyHub(): Member[];
  /**
   * @param scope The scope of the views.
   * @returns The client demand in each recent view of that scope, in requests a
   *   second.
   */
  listDemands(scope: ViewScope): FleetView["demandPerS"][];
  /** Removes VMs that are down and not heard for a long time. */
  prune(): void;
}

/** Most VMs that are known, and most VMs in a view. */
const MAX_MEMBERS = 4_096;
/** A VM or hub silent for this long counts as down: two and a half reports. */
export const PEER_TIMEOUT_MS = 2_000;
/** Unreachable VMs are removed, and no longer dialed, after this time. */
const MEMBER_RETENTION_MS = 600_000;
/** Within this time a running VM is linked to a hub and reported by it. */
const UNCONFIRMED_TTL_MS = 4_000;
/** How long the cached list of running VMs is used if no change is recorded. */
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
 * Creates a membership table.
 *
 * @param ownId The id of this VM.
 * @param clock The clock.
 * @returns An empty table.
 */
export function createMemberTable(ownId: string, clock: Clock): MemberTable {
  const members = new Map<string, MemberRecord>();
  const views = new Map<string, HubView>();
  let alive: Member[] | undefined;
  let aliveAtMs = 0;
  /** Read for each request, so it is kept until a VM comes, goes or expires. */
  let serving: readonly VmIdentity[] | undefined;
  let servingUntilMs = 0;

  function invalidateLists(): void {
    alive = undefined;
    serving = undefined;
  }

  function isRecent(heardAtMs: number | undefined): boolean {
    return heardAtMs !== undefined &&
      clock.monotonicMs() - heardAtMs < PEER_TIMEOUT_MS;
  }

  /** @returns Whether there is room for another VM, after dropping one. */
  function makeRoom(): boolean {
    if (members.size < MAX_MEMBERS) return true;
    // Maps are ordered by insertion.
    for (const [id, { heardAtMs }] of members) {
      if (heardAtMs === undefined) return members.delete(id);
    }
    return false;
  }

  /** VMs that are only reported are not added to a full table. */
  function put(identity: VmIdentity, heardAtMs: number | undefined): void {
    const known = members.get(identity.id);
    if (known === undefined && !makeRoom() && heardAtMs === undefined) return;
    const report = known?.report;
    const knownSinceMs = known?.knownSinceMs ?? clock.monotonicMs();
    members.set(identity.id, { identity, report, heardAtMs, knownSinceMs });
    invalidateLists();
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

  /**
   * Merges linked VMs and hub views. A linked VM's own report takes precedence;
   * among views the latest incarnation wins.
   */
  function collect(scopes: readonly ViewScope[]): Member[] {
    const found = new Map<string, Member>();
    for (const { heardAtMs, members: reported } of listViews(scopes)) {
      for (const [id, { identity, state }] of reported) {
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

  function listServing(): readonly VmIdentity[] {
    if (serving !== undefined && clock.monotonicMs() < servingUntilMs) {
      return serving;
    }
    const members = listAlive();
    let oldestMs = Infinity;
    for (const { heardAtMs = 0 } of members) {
      oldestMs = Math.min(oldestMs, heardAtMs);
    }
    servingUntilMs = oldestMs + PEER_TIMEOUT_MS;
    serving = members
      .filter(({ state }) => state === "serving")
      .map(({ identity }) => identity);
    return serving;
  }

  function applyChanges(known: HubView, view: FleetView): void {
    for (const { identity, state } of view.up) {
      if (
        known.members.size >= MAX_MEMBERS && !known.members.has(identity.id)
      ) continue;
      known.members.set(identity.id, { identity, state });
      if (identity.id !== ownId && !members.has(identity.id)) {
        put(identity, undefined);
      }
    }
    for (const id of view.gone) known.members.delete(id);
    if (view.up.length + view.gone.length > 0) invalidateLists();
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
    recordReport(id, delta) {
      const member = members.get(id);
      if (member === undefined) return;
      const before = member.report?.state;
      const wasRecent = isRecent(member.heardAtMs);
      member.report = mergeReport(member.report, delta);
      member.heardAtMs = clock.monotonicMs();
      if (!wasRecent || member.report?.state !== before) invalidateLists();
    },
    recordDisconnect(id) {
      const member = members.get(id);
      if (member !== undefined) member.heardAtMs = undefined;
      invalidateLists();
    },
    applyView(hubId, view) {
      const known = views.get(hubId);
      if (view.base !== 0 && known?.revision !== view.base) return false;
      const isWhole = view.base === 0 || known === undefined;
      const next: HubView = isWhole
        ? { ...view, heardAtMs: 0, members: new Map() }
        : known;
      if (isWhole || !isRecent(known.heardAtMs)) invalidateLists();
      applyChanges(next, view);
      next.revision = view.revision;
      next.demandPerS = view.demandPerS;
      next.heardAtMs = clock.monotonicMs();
      views.set(hubId, next);
      return true;
    },
    dropView(hubId) {
      if (views.delete(hubId)) invalidateLists();
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
    listServing,
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
