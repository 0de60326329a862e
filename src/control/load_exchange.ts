/**
 * Entries' figures on links: rounded, sent when they changed or grew old, and
 * passed on by one steer of a failure domain, only to where plans are made.
 *
 * @module
 */
import { quantiseLoad } from "../measurement/quantise.ts";
import {
  LOAD_REFRESH_MS,
  type LoadState,
  noteLoad,
} from "../measurement/state.ts";
import type { EntryLoad } from "../measurement/types.ts";
import type { Member } from "../membership/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LinkTable } from "./link_table.ts";
import type { PeerLink } from "./links.ts";

/** Figures leave the failure domain at most this often. */
const ELSEWHERE_PERIOD_MS = 1_000;

/** The steer that plans. */
export interface PlannerLocation {
  /** Member id. */
  id: string;
  failureDomain: string;
}

/** What the exchange needs. */
export interface LoadExchangeOptions {
  self: Member;
  links: LinkTable;
  loads: LoadState;
  clock: Clock;
  /** Whether this steer passes others' figures on. */
  isRelay(): boolean;
  /** The steer that plans, if known. */
  planner(): PlannerLocation | undefined;
}

/** Sends and receives figures. */
export interface LoadExchange {
  /** Sends this entry's own figures to the steers. */
  report(load: EntryLoad): void;
  receive(link: PeerLink, received: readonly EntryLoad[]): void;
}

/**
 * @param options See there.
 * @returns The exchange.
 */
export function createLoadExchange(
  options: LoadExchangeOptions,
): LoadExchange {
  const { self, links, loads, clock, isRelay, planner } = options;
  const sentElsewhereMs = new Map<string, number>();
  let sentText = "";
  let sentMs = -Infinity;

  function receive(link: PeerLink, received: readonly EntryLoad[]): void {
    const nowMs = clock.monotonicMs();
    for (const load of received) noteLoad(loads, load, nowMs);
    const from = links.get(link)?.member;
    if (!from || self.role !== "steer" || !isRelay()) return;
    if (from.failureDomain !== self.failureDomain) {
      return sendToPlanner(received);
    }
    if (from.role !== "entry") return;
    // Entries need to know of each other only who has room.
    const slim = received.map((load) => ({ ...load, services: [] }));
    const filter = { role: "entry" as const, except: link };
    links.sendToOwnDomain({ kind: "load", loads: slim }, filter);
    const due = received.filter((load) => isDueElsewhere(load, nowMs));
    const target = planner();
    if (due.length === 0 || target === undefined) return;
    links.sendToOtherDomains(
      { kind: "load", loads: due },
      target.failureDomain,
    );
  }

  /** The last step of figures from another failure domain. */
  function sendToPlanner(received: readonly EntryLoad[]): void {
    const target = planner();
    for (const [link, { member }] of links.listOwnDomain({ role: "steer" })) {
      if (member?.id !== target?.id) continue;
      link.send({ kind: "load", loads: [...received] });
    }
  }

  function isDueElsewhere({ entryId }: EntryLoad, nowMs: number): boolean {
    const lastMs = sentElsewhereMs.get(entryId) ?? -Infinity;
    if (nowMs - lastMs < ELSEWHERE_PERIOD_MS) return false;
    sentElsewhereMs.set(entryId, nowMs);
    return true;
  }

  return {
    report(exact) {
      const nowMs = clock.monotonicMs();
      const load = quantiseLoad(exact);
      noteLoad(loads, load, nowMs);
      const text = JSON.stringify(load);
      if (text === sentText && nowMs - sentMs < LOAD_REFRESH_MS) return;
      sentText = text;
      sentMs = nowMs;
      const message = { kind: "load" as const, loads: [load] };
      links.sendToOwnDomain(message, { role: "steer" });
    },
    receive,
  };
}
