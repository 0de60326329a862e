/**
 * Exchanges views of failure domains. Members are sent on a link only when they
 * changed, and one steer of a failure domain relays the views of others.
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

/** Dependencies of the exchange. */
export interface ViewExchangeOptions {
  links: LinkTable;
  membership: MembershipState;
  clock: Clock;
  /** @returns Whether this steer relays the views of other domains. */
  isRelay(): boolean;
}

/** Sends, receives and relays views. */
export interface ViewExchange {
  /**
   * Records this steer's view of its own failure domain and sends it on every
   * link.
   *
   * @param throughVersion Version that this process has in force.
   */
  sendOwn(throughVersion: number): void;
  /** Records views that arrived on a link, and relays them where due. */
  receive(link: PeerLink, views: readonly WireView[]): void;
}

/**
 * @param options Dependencies.
 * @returns The exchange.
 */
export function createViewExchange(
  options: ViewExchangeOptions,
): ViewExchange {
  const { links, membership, clock, isRelay } = options;
  const { self } = membership;

  function sendView(link: PeerLink, state: LinkState, view: DomainView): void {
    const { members, ...rest } = view;
    const text = JSON.stringify(members);
    const isUnchanged = state.sentMembers.get(view.failureDomain) === text;
    state.sentMembers.set(view.failureDomain, text);
    link.send({ kind: "views", views: [isUnchanged ? rest : view] });
  }

  /**
   * Adds the members last received, where the view omits them.
   *
   * @returns The whole view, or undefined where its members are not known.
   */
  function restoreMembers(
    state: LinkState,
    wire: WireView,
  ): DomainView | undefined {
    const members = wire.members ??
      state.receivedMembers.get(wire.failureDomain);
    if (members === undefined) return undefined;
    state.receivedMembers.set(wire.failureDomain, members);
    return { ...wire, members };
  }

  function receiveView(link: PeerLink, wire: WireView): void {
    const state = links.get(link);
    const view = state && restoreMembers(state, wire);
    if (!state || !view) return;
    const isNew = recordView(membership, view, clock.monotonicMs());
    const isFromSourceDomain =
      state.member?.failureDomain === view.failureDomain &&
      view.failureDomain !== self.failureDomain;
    if (!isNew || !isFromSourceDomain || !isRelay()) return;
    for (const [localLink, localState] of links.listOwnDomain()) {
      sendView(localLink, localState, view);
    }
  }

  return {
    sendOwn(throughVersion) {
      const nowMs = clock.monotonicMs();
      const view = makeOwnView(membership, throughVersion, nowMs);
      recordView(membership, view, nowMs);
      for (const [link, state] of links.all()) {
        if (state.member) sendView(link, state, view);
      }
    },
    receive(link, views) {
      for (const view of views) receiveView(link, view);
    },
  };
}
