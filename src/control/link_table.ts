/**
 * The open links of a process and what each side of them knows.
 *
 * @module
 */
import type { Member, Role } from "../membership/types.ts";
import type { PeerMessage } from "./messages.ts";
import type { PeerLink } from "./links.ts";

/** What is known of a link. */
export interface LinkState {
  /** Who is at the other side; unknown until its first message. */
  member: Member | undefined;
  /** Version that it has in force. */
  throughVersion: number;
  /** Text of the members last sent for each failure domain. */
  sentMembers: Map<string, string>;
  /** Members last received for each failure domain. */
  receivedMembers: Map<string, Member[]>;
}

/** Which links are meant. */
export interface LinkFilter {
  role?: Role;
  /** Left out. */
  except?: PeerLink;
}

/** The open links of a process. */
export interface LinkTable {
  open(link: PeerLink): LinkState;
  close(link: PeerLink): void;
  get(link: PeerLink): LinkState | undefined;
  all(): Iterable<[PeerLink, LinkState]>;
  /** @returns Links to members of the own failure domain. */
  listOwnDomain(filter?: LinkFilter): [PeerLink, LinkState][];
  sendToOwnDomain(message: PeerMessage, filter?: LinkFilter): void;
  /** Sends to other failure domains, or to one of them. */
  sendToOtherDomains(message: PeerMessage, toDomain?: string): void;
}

/**
 * @param failureDomain The own failure domain.
 * @returns A table without links.
 */
export function createLinkTable(failureDomain: string): LinkTable {
  const links = new Map<PeerLink, LinkState>();

  function listOwnDomain({ role, except }: LinkFilter = {}) {
    return [...links].filter(([link, { member }]) =>
      link !== except && member?.failureDomain === failureDomain &&
      (role === undefined || member.role === role)
    );
  }

  function listOtherDomains(toDomain: string | undefined) {
    return [...links].filter(([, { member }]) =>
      member !== undefined && member.failureDomain !== failureDomain &&
      (toDomain === undefined || member.failureDomain === toDomain)
    );
  }

  return {
    open(link) {
      const state: LinkState = {
        member: undefined,
        throughVersion: 0,
        sentMembers: new Map(),
        receivedMembers: new Map(),
      };
      links.set(link, state);
      return state;
    },
    close: (link) => void links.delete(link),
    get: (link) => links.get(link),
    all: () => links,
    listOwnDomain,
    sendToOwnDomain(message, filter) {
      for (const [link] of listOwnDomain(filter)) link.send(message);
    },
    sendToOtherDomains(message, toDomain) {
      for (const [link] of listOtherDomains(toDomain)) link.send(message);
    },
  };
}
