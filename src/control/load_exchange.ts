/**
 * Exchanges the load reports of entries. A report is quantised and sent when it
 * has changed or needs a refresh. One steer of each failure domain relays the
 * reports to the failure domain of the planner.
 *
 * @module
 */
import { quantiseLoad } from "../measurement/quantise.ts";
import {
  LOAD_REFRESH_MS,
  type LoadState,
  recordLoad,
} from "../measurement/state.ts";
import type { EntryLoad } from "../measurement/types.ts";
import type { Member } from "../membership/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LinkTable } from "./link_table.ts";
import type { PeerLink } from "./links.ts";

/** Minimum time between two reports of an entry to other domains, in ms. */
const REMOTE_SEND_PERIOD_MS = 1_000;

/** Identity and location of the steer that plans. */
export interface PlannerLocation {
  /** Member id. */
  id: string;
  failureDomain: string;
}

/** Dependencies of the exchange. */
export interface LoadExchangeOptions {
  self: Member;
  links: LinkTable;
  /** Latest load of each entry; updated by the exchange. */
  loads: LoadState;
  clock: Clock;
  /** @returns Whether this process relays the reports of others. */
  isRelay(): boolean;
  /** @returns The steer that plans, if known. */
  planner(): PlannerLocation | undefined;
}

/** Sends, receives and relays load reports. */
export interface LoadExchange {
  /**
   * Sends this entry's load to the steers of its failure domain, unless it
   * equals the last one sent and needs no refresh yet.
   */
  report(load: EntryLoad): void;
  /** Records loads that arrived on a link, and relays them where due. */
  receive(link: PeerLink, received: readonly EntryLoad[]): void;
}

/**
 * @param options Dependencies.
 * @returns The exchange.
 */
export function createLoadExchange(
  options: LoadExchangeOptions,
): LoadExchange {
  const { self, links, loads, clock, isRelay, planner } = options;
  const remoteSentMs = new Map<string, number>();
  let sentText = "";
  let sentMs = -Infinity;

  function receive(link: PeerLink, received: readonly EntryLoad[]): void {
    const nowMs = clock.monotonicMs();
    for (const load of received) recordLoad(loads, load, nowMs);
    const sender = links.get(link)?.member;
    if (!sender || self.role !== "steer" || !isRelay()) return;
    if (sender.failureDomain !== self.failureDomain) {
      return sendToPlanner(received);
    }
    if (sender.role !== "entry") return;
    // Of each other, entries need only the utilization, not the services.
    const withoutServices = received.map((load) => ({ ...load, services: [] }));
    const filter = { role: "entry" as const, except: link };
    links.sendToOwnDomain({ kind: "load", loads: withoutServices }, filter);
    const due = received.filter((load) => claimRemoteSend(load, nowMs));
    const target = planner();
    if (due.length === 0 || target === undefined) return;
    links.sendToOtherDomains(
      { kind: "load", loads: due },
      target.failureDomain,
    );
  }

  /** Forwards loads from another failure domain to the planner in this one. */
  function sendToPlanner(received: readonly EntryLoad[]): void {
    const target = planner();
    for (const [link, { member }] of links.listOwnDomain({ role: "steer" })) {
      if (member?.id !== target?.id) continue;
      link.send({ kind: "load", loads: [...received] });
    }
  }

  /** @returns Whether a load is due to be sent; if so, records it as sent. */
  function claimRemoteSend({ entryId }: EntryLoad, nowMs: number): boolean {
    const lastMs = remoteSentMs.get(entryId) ?? -Infinity;
    if (nowMs - lastMs < REMOTE_SEND_PERIOD_MS) return false;
    remoteSentMs.set(entryId, nowMs);
    return true;
  }

  return {
    report(measured) {
      const nowMs = clock.monotonicMs();
      const load = quantiseLoad(measured);
      recordLoad(loads, load, nowMs);
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
