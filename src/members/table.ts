/**
 * Which VMs run, as this one sees them.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { mergeParts, type ReportParts } from "./report_parts.ts";
import type { VmIdentity, VmReport } from "./types.ts";

/** A VM and when it was last heard. */
export interface Member {
  identity: VmIdentity;
  report: VmReport | undefined;
  /** Undefined where it was only heard of. */
  heardAtMs: number | undefined;
}

/** The VMs that this one knows. */
export interface MemberTable {
  /** Notes a VM that another one or the register told of. */
  noteHeardOf(identity: VmIdentity): boolean;
  /** Notes a VM that speaks to this one. */
  noteHello(identity: VmIdentity): void;
  noteReport(id: string, parts: ReportParts): void;
  /** Notes that the link to a VM broke. */
  noteSilent(id: string): void;
  get(id: string): Member | undefined;
  /** @returns All VMs heard of, this one not included. */
  listKnown(): Member[];
  /** @returns VMs that speak to this one now, this one not included. */
  listAlive(): Member[];
  /** @returns Those of them that serve clients. */
  listServing(): VmIdentity[];
  /** Forgets VMs that nobody heard for long. */
  prune(): void;
}

/** A VM that was silent for this long counts as down: two reports and a half. */
export const SILENCE_LIMIT_MS = 2_000;
/** VMs that can't be reached for this long are not dialed any more. */
const FORGET_MS = 60_000;

/**
 * @param ownId This VM.
 * @param clock The clock.
 * @returns A table without VMs.
 */
export function createMemberTable(ownId: string, clock: Clock): MemberTable {
  const members = new Map<string, Member & { knownSinceMs: number }>();

  function isAlive(member: Member): boolean {
    return member.heardAtMs !== undefined &&
      clock.monotonicMs() - member.heardAtMs < SILENCE_LIMIT_MS;
  }

  function put(identity: VmIdentity, heardAtMs: number | undefined): void {
    const report = members.get(identity.id)?.report;
    members.set(identity.id, {
      identity,
      report,
      heardAtMs,
      knownSinceMs: clock.monotonicMs(),
    });
  }

  function listAlive(): Member[] {
    return [...members.values()].filter(isAlive);
  }

  return {
    noteHeardOf(identity) {
      if (identity.id === ownId) return false;
      const known = members.get(identity.id);
      if (known !== undefined) {
        const isSame = known.identity.peerAddress === identity.peerAddress;
        if (isSame || isAlive(known)) return false;
      }
      put(identity, undefined);
      return true;
    },
    noteHello(identity) {
      if (identity.id !== ownId) put(identity, clock.monotonicMs());
    },
    noteReport(id, parts) {
      const member = members.get(id);
      if (member === undefined) return;
      member.report = mergeParts(member.report, parts);
      member.heardAtMs = clock.monotonicMs();
    },
    noteSilent(id) {
      const member = members.get(id);
      if (member !== undefined) member.heardAtMs = undefined;
    },
    get: (id) => members.get(id),
    listKnown: () => [...members.values()],
    listAlive,
    listServing: () =>
      listAlive()
        .filter((member) => member.report?.state === "serving")
        .map((member) => member.identity),
    prune() {
      const limitMs = clock.monotonicMs() - FORGET_MS;
      for (const [id, member] of members) {
        const lastMs = member.heardAtMs ?? member.knownSinceMs;
        if (lastMs < limitMs) members.delete(id);
      }
    },
  };
}
