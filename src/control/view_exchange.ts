/**
 * Views of failure domains on links: members travel only where they changed,
 * and only one steer of a failure domain passes others' views on.
 *
 * @module
 */
import { makeOwnView, recordView } from "../membership/logic.ts";
import type { MembershipState } from "../membership/state.ts";
import type { DomainView } from "../membership/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LinkState, LinkTable } from "./link_table.ts";
import type { WireView } from "./messages.ts";
import type { PeerLink } from "./links.ts";

/** What the exchange needs. */
export interface ViewExchangeOptions {
  links: LinkTable;
  membership: MembershipState;
  clock: Clock;
  /** Whether this steer passes others' views on. */
  isRelay(): boolean;
}

/** Sends and receives views. */
export interface ViewExchange {
  /** Sends this steer's own view on every link. */
  sendOwn(throughVersion: number): void;
  receive(link: PeerLink, views: readonly WireView[]): void;
}

/**
 * @param options See there.
 * @returns The exchange.
 */
export function createViewExchange(
  options: ViewExchangeOptions,
): ViewExchange {
  const { links, membership, clock, isRelay } = options;
  const { self } = membership;

  function send(link: PeerLink, state: LinkState, view: DomainView): void {
    const { members, ...rest } = view;
    const text = JSON.stringify(members);
    const isKnown = state.sentMembers.get(view.failureDomain) === text;
    state.sentMembers.set(view.failureDomain, text);
    link.send({ kind: "views", views: [isKnown ? rest : view] });
  }

  function restore(state: LinkState, wire: WireView): DomainView | undefined {
    const members = wire.members ??
      state.receivedMembers.get(wire.failureDomain);
    if (members === undefined) return undefined;
    state.receivedMembers.set(wire.failureDomain, members);
    return { ...wire, members };
  }

  function receiveOne(link: PeerLink, wire: WireView): void {
    const state = links.get(link);
    const view = state && restore(state, wire);
    if (!state || !view) return;
    const isNews = recordView(membership, view, clock.monotonicMs());
    const isFirstHand = state.member?.failureDomain === view.failureDomain &&
      view.failureDomain !== self.failureDomain;
    if (!isNews || !isFirstHand || !isRelay()) return;
    for (const [inside, insideState] of links.listOwnDomain()) {
      send(inside, insideState, view);
    }
  }

  return {
    sendOwn(throughVersion) {
      const nowMs = clock.monotonicMs();
      const view = makeOwnView(membership, throughVersion, nowMs);
      recordView(membership, view, nowMs);
      for (const [link, state] of links.all()) {
        if (state.member) send(link, state, view);
      }
    },
    receive(link, views) {
      for (const view of views) receiveOne(link, view);
    },
  };
}
