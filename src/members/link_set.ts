/**
 * The open links of this VM.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { encodeBroadcastFrame, type PeerLink } from "../runtime/peer_link.ts";
import type { VmMessage } from "./messages.ts";
import type { FactPeer } from "./repair.ts";
import { PEER_TIMEOUT_MS } from "./table.ts";
import type { VmIdentity } from "./types.ts";

/** A link to another VM. */
export type VmLink = PeerLink<VmMessage>;

/** The state of a link. */
export interface LinkState {
  /** The VM at the other end; undefined until its hello arrives. */
  identity: VmIdentity | undefined;
  /** Kinds of messages of later builds that it understands. */
  understands: ReadonlySet<string>;
  /** When the last message arrived (monotonic). */
  heardAtMs: number;
  /** When its questions were answered last (monotonic), by what it asked for. */
  repliedAtMs: Map<string, number>;
  /** The peer as the fact repair sees it. */
  facts: FactPeer;
}

/** A set of open links. */
export interface LinkSet {
  /**
   * Adds a link that was just opened.
   *
   * @param link The link.
   */
  add(link: VmLink): void;
  /**
   * Removes a link.
   *
   * @param link The link.
   * @returns The VM at its other end, if no other link to that VM is left.
   */
  remove(link: VmLink): VmIdentity | undefined;
  /**
   * @param link A link.
   * @returns Its state; undefined if the link was removed.
   */
  get(link: VmLink): LinkState | undefined;
  /** @returns Whether no link is open. */
  isEmpty(): boolean;
  /**
   * @param id A VM's id.
   * @returns Whether a link to that VM is open.
   */
  has(id: string): boolean;
  /** @returns The linked VMs, once for each of their links. */
  listIdentities(): VmIdentity[];
  /**
   * Sends a message on every link, including all links of a VM that has two and
   * links without a hello yet. One of two links may be closing, and a message
   * missed on a new link is never sent again.
   *
   * @param message The message.
   */
  send(message: VmMessage): void;
  /**
   * Sends a message of a kind that earlier builds lack to the VMs that
   * understand it.
   *
   * @param message The message.
   * @param except A link to leave out.
   */
  sendIfUnderstood(message: VmMessage, except?: VmLink): void;
  /**
   * Sends a message to selected VMs.
   *
   * @param message The message.
   * @param isWanted Selects the VMs.
   * @param except A link to leave out.
   */
  sendWhere(
    message: VmMessage,
    isWanted: (identity: VmIdentity) => boolean,
    except?: VmLink,
  ): void;
  /**
   * Calls a function for each link.
   *
   * @param run The function.
   */
  forEach(run: (link: VmLink) => void): void;
  /** Closes the links whose peers were silent for too long. */
  closeSilent(): void;
  /** Closes all links. */
  close(): void;
}

/**
 * Creates a set of links.
 *
 * @param clock The clock.
 * @returns An empty set.
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
      const understands = new Set<string>();
      links.set(link, {
        identity: undefined,
        understands,
        heardAtMs,
        repliedAtMs: new Map(),
        facts,
      });
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
      const frame = encodeBroadcastFrame(message);
      for (const link of links.keys()) link.sendFrame(message.kind, frame);
    },
    sendIfUnderstood(message, except) {
      const frame = encodeBroadcastFrame(message);
      for (const [link, { understands }] of links) {
        if (link === except || !understands.has(message.kind)) continue;
        link.sendFrame(message.kind, frame);
      }
    },
    sendWhere(message, isWanted, except) {
      const frame = encodeBroadcastFrame(message);
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
