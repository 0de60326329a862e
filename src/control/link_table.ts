/**
 * The open links of a process, with the state kept for each.
 *
 * @module
 */
import type { Member, Role } from "../membership/types.ts";
import type { PeerMessage } from "./messages.ts";
import type { PeerLink } from "./links.ts";

/** State of one open link. */
export interface LinkState {
  /** The peer; undefined until its `hello` has arrived. */
  member: Member | undefined;
  /** Version that the peer announced, or that was last sent to it. */
  throughVersion: number;
  /** Members last sent, as JSON, by failure domain. */
  sentMembers: Map<string, string>;
  /** Members last received, by failure domain. */
  receivedMembers: Map<string, Member[]>;
}

/** Selects some of the links. */
export interface LinkFilter {
  /** Role of the peer; absent: any. */
  role?: Role;
  /** A link to exclude. */
  except?: PeerLink;
}

/** The open links of a process. */
export interface LinkTable {
  /**
   * Adds a link.
   *
   * @returns Its initial state.
   */
  open(link: PeerLink): LinkState;
  /** Removes a link; the caller closes the connection. */
  close(link: PeerLink): void;
  /** @returns State of a link, or undefined where it isn't open. */
  get(link: PeerLink): LinkState | undefined;
  /** @returns All links, also those whose peer is not known yet. */
  all(): Iterable<[PeerLink, LinkState]>;
  /** @returns Links to members of this process's failure domain. */
  listOwnDomain(filter?: LinkFilter): [PeerLink, LinkState][];
  /** Sends to the members of this process's failure domain. */
  sendToOwnDomain(message: PeerMessage, filter?: LinkFilter): void;
  /**
   * Sends to members of other failure domains.
   *
   * @param message The message.
   * @param toDomain The only failure domain to send to; absent: all others.
   */
  sendToOtherDomains(message: PeerMessage, toDomain?: string): void;
}

/**
 * @param failureDomain Failure domain of this process.
 * @returns An empty table.
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
