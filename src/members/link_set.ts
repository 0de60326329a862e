/**
 * The open links of a VM.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { encodeBroadcast, type PeerLink } from "../runtime/peer_link.ts";
import type { VmMessage } from "./messages.ts";
import type { FactPeer } from "./repair.ts";
import { PEER_TIMEOUT_MS } from "./table.ts";
import type { VmIdentity } from "./types.ts";

/** A link to another VM. */
export type VmLink = PeerLink<VmMessage>;

/** What is known of a link. */
export interface LinkState {
  /** The VM at the other end, once it said so. */
  identity: VmIdentity | undefined;
  heardAtMs: number;
  /** The VM as one to compare facts with. */
  facts: FactPeer;
}

/** The open links. */
export interface LinkSet {
  add(link: VmLink): void;
  /** @returns The VM that it led to, if that is not linked any more. */
  remove(link: VmLink): VmIdentity | undefined;
  get(link: VmLink): LinkState | undefined;
  /** Whether there is none. */
  isEmpty(): boolean;
  /** @returns Whether a VM is linked. */
  has(id: string): boolean;
  /** @returns The VMs that are linked, as often as they are. */
  listIdentities(): VmIdentity[];
  /**
   * Sends on every link, also where a VM has two or has not said yet who it
   * is: one of two may be closing, and what a new link missed would be taken
   * for known.
   */
  send(message: VmMessage): void;
  /** Sends to the VMs that are wanted, but for one link. */
  sendWhere(
    message: VmMessage,
    isWanted: (identity: VmIdentity) => boolean,
    except?: VmLink,
  ): void;
  /** Calls a function with each link. */
  forEach(run: (link: VmLink) => void): void;
  closeSilent(): void;
  close(): void;
}

/**
 * @param clock The clock.
 * @returns A set without links.
 */
export function createLinkSet(clock: Clock): LinkSet {
  const links = new Map<VmLink, LinkState>();

  function listIdentities(): VmIdentity[] {
    return [...links.values()].flatMap(({ identity }) =>
      identity === undefined ? [] : [identity]
    );
  }

  function has(id: string): boolean {
    return listIdentities().some((identity) => identity.id === id);
  }

  return {
    add(link) {
      const facts: FactPeer = {
        peer: link.peer,
        requestTopic: (topic) => link.send({ kind: "want", topic }),
      };
      const heardAtMs = clock.monotonicMs();
      links.set(link, { identity: undefined, heardAtMs, facts });
    },
    remove(link) {
      const identity = links.get(link)?.identity;
      links.delete(link);
      if (identity === undefined || has(identity.id)) return undefined;
      return identity;
    },
    get: (link) => links.get(link),
    isEmpty: () => links.size === 0,
    has,
    listIdentities,
    send(message) {
      const frame = encodeBroadcast(message);
      for (const link of links.keys()) link.sendFrame(message.kind, frame);
    },
    sendWhere(message, isWanted, except) {
      const frame = encodeBroadcast(message);
      for (const [link, { identity }] of links) {
        if (identity === undefined || link === except) continue;
        if (isWanted(identity)) link.sendFrame(message.kind, frame);
      }
    },
    forEach(run) {
      for (const link of links.keys()) run(link);
    },
    closeSilent() {
      const limitMs = clock.monotonicMs() - PEER_TIMEOUT_MS;
      for (const [link, { heardAtMs }] of links) {
        if (heardAtMs < limitMs) link.close();
      }
    },
    close() {
      for (const link of links.keys()) link.close();
    },
  };
}
